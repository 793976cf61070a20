#include "../../../src/app/laburnumnode/turntimer.h"

#include "base/timerservice.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Node;
using namespace std::chrono_literals;

/// Tests how events are grouped into turns.
class TestTurnTimer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTurnTimer);
    CPPUNIT_TEST(requestsOfOneBatchShareATurn);
    CPPUNIT_TEST(turnsKeepTheirInterval);
    CPPUNIT_TEST(loopHandlesOtherEventsBetweenTurns);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a turn for each event of a batch.
    void requestsOfOneBatchShareATurn()
    {
        EventLoop::Loop loop;
        int turns = 0;
        TurnTimer timer(loop, 1ms, [&] {
            ++turns;
            loop.callAfter(20ms, [&loop] { loop.stop(); });
        });
        loop.defer([&timer] {
            for (int i = 0; i < 100; ++i) {
                timer.request();
            }
        });
        loop.run();
        CPPUNIT_ASSERT_EQUAL(1, turns);
        CPPUNIT_ASSERT(!timer.isRequested());
    }

    /// Guards against turns whose number grows with the rate of events.
    void turnsKeepTheirInterval()
    {
        EventLoop::Loop loop;
        int turns = 0;
        TurnTimer timer(loop, 10ms, [&turns] { ++turns; });
        const Base::MonoTime begin = Base::monoNow();
        std::function<void()> event = [&] {
            timer.request();
            if (turns < 5) {
                loop.callAfter(Base::Duration(100), event);
            } else {
                loop.stop();
            }
        };
        loop.defer(event);
        loop.run();
        CPPUNIT_ASSERT(Base::monoNow() - begin >= 40ms);
    }

    /// Guards against a turn that requests the next one and so keeps the loop from all other events.
    void loopHandlesOtherEventsBetweenTurns()
    {
        EventLoop::Loop loop;
        int turns = 0;
        int others = 0;
        TurnTimer *self = nullptr;
        TurnTimer timer(loop, 1ms, [&] {
            if (++turns < 10) {
                self->request();
            } else {
                loop.stop();
            }
        });
        self = &timer;
        std::function<void()> other = [&] {
            ++others;
            loop.callAfter(Base::Duration(100), other);
        };
        loop.defer(other);
        loop.defer([&timer] { timer.request(); });
        loop.run();
        CPPUNIT_ASSERT(others >= turns);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTurnTimer);
