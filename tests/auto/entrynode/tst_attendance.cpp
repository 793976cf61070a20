#include "entrynode/attendance.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode;
using namespace std::chrono_literals;

class TestAttendance : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAttendance);
    CPPUNIT_TEST(callsOfGoneCallersAreDropped);
    CPPUNIT_TEST(callsPastTheirDeadlineAreDropped);
    CPPUNIT_TEST(cancellationsAreHandedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against jobs that are handed in although their callers have left, and may have cancelled them elsewhere.
    void callsOfGoneCallersAreDropped()
    {
        for (const Jobs::Call &call : {Jobs::Call(Jobs::SubmitCall{}), Jobs::Call(Jobs::QueryCall{7}), Jobs::Call(Jobs::CountCall{"queue"})}) {
            CPPUNIT_ASSERT(whyUnattended(call, {.callerGone = true}) == Unattended::CallerGone);
            CPPUNIT_ASSERT(!whyUnattended(call, {}));
        }
    }

    /// Guards against jobs that are handed in although their callers don't wait any more, and against timeouts that begin anew when the entry reads the call.
    void callsPastTheirDeadlineAreDropped()
    {
        const Jobs::Call call = Jobs::SubmitCall{};
        CPPUNIT_ASSERT(!whyUnattended(call, {.waited = 1499ms, .callerTimeout = 1500ms}));
        CPPUNIT_ASSERT(remainingTimeout({.waited = 1499ms, .callerTimeout = 1500ms}) == Base::Duration(1ms));
        CPPUNIT_ASSERT(whyUnattended(call, {.waited = 1500ms, .callerTimeout = 1500ms}) == Unattended::DeadlinePassed);
        CPPUNIT_ASSERT(!whyUnattended(call, {.waited = 1h}));
        CPPUNIT_ASSERT(!remainingTimeout({.waited = 1h}));
    }

    /// Guards against cancellations that are lost because their callers don't wait for the answer.
    void cancellationsAreHandedOn()
    {
        CPPUNIT_ASSERT(!whyUnattended(Jobs::CancelCall{7}, {.callerGone = true}));
        CPPUNIT_ASSERT(!whyUnattended(Jobs::CancelCall{7}, {.waited = 2s, .callerTimeout = 1s}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAttendance);
