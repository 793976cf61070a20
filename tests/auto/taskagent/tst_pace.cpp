#include "agentharness.h"

#include "taskagent/taskagentconstants.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::TaskAgent;
using namespace LaburnumFlow::TaskAgent::Testing;

namespace {

constexpr std::uint32_t targetMs = 100;
const RunRef serving = runOf(7);
const RunRef background = runOf(8);

Jobs::StartOrder servingStart()
{
    Jobs::StartOrder order = startOf(serving);
    order.latencyTargetMs = targetMs;
    return order;
}

Jobs::StartOrder backgroundStart()
{
    return {{background}, {0, 64, 0, 4000}, "payload"};
}

/// A worker on which a background run works beside one that serves.
class SharedWorker
{
public:
    SharedWorker()
    {
        agent.begin();
        agent.orders(1, {servingStart(), backgroundStart()});
        agent.answerStart(serving);
        agent.answerStart(background);
    }

    /// Lets the worker list both, at short intervals, with the serving run's tail latency. Calls are answered.
    void list(std::uint32_t latencyMs, Base::Duration time)
    {
        for (Base::Duration passed{}; passed < time; passed += 50ms) {
            agent.orders(1);
            agent.advance(50ms);
            agent.answerHold({{serving, completePercent, {}, latencyMs}, {background, 5, {}, 3000}});
            answerPaces();
        }
    }

    void answerPaces()
    {
        for (; answered_ < agent.paces.size(); ++answered_) {
            agent.feed(PaceAnswered{agent.paces[answered_].run, agent.paces[answered_].percent, true});
        }
    }

    int percent() const
    {
        return agent.paces.empty() ? fullPacePercent : agent.paces.back().percent;
    }

    AgentHarness agent;

private:
    std::size_t answered_ = 0;
};

} // namespace

class TestPace : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPace);
    CPPUNIT_TEST(slowsDownWhatDisturbs);
    CPPUNIT_TEST(leavesUndisturbedWorkersAlone);
    CPPUNIT_TEST(raisesWhenCalm);
    CPPUNIT_TEST(repeatsWhatWasNotAnswered);
    CPPUNIT_TEST(laterRunsAreSlowedDownToo);
    CPPUNIT_TEST(slowRunsAreNotStalled);
    CPPUNIT_TEST(learnsWhatItRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against users of a serving task who wait for as long as background work disturbs it.
    void slowsDownWhatDisturbs()
    {
        SharedWorker worker;
        worker.list(targetMs + 20, 500ms);
        CPPUNIT_ASSERT_EQUAL(fullPacePercent / 2, worker.percent());
        CPPUNIT_ASSERT(worker.agent.paces.front().run == background);
        worker.list(targetMs + 20, 2500ms);
        CPPUNIT_ASSERT_EQUAL(0, worker.percent());
    }

    /// Guards against background work that is slowed down although nobody suffers.
    void leavesUndisturbedWorkersAlone()
    {
        SharedWorker worker;
        worker.list(targetMs / 2, 10s);
        CPPUNIT_ASSERT(worker.agent.paces.empty());
    }

    /// Guards against background work that stays slow, and against a pace that swings with every report.
    void raisesWhenCalm()
    {
        SharedWorker worker;
        worker.list(targetMs + 20, 500ms);
        worker.list(targetMs * 8 / 10, 5s);
        CPPUNIT_ASSERT_EQUAL(fullPacePercent / 2, worker.percent());
        worker.list(targetMs / 2, paceRaiseDelay + 100ms);
        CPPUNIT_ASSERT_EQUAL(fullPacePercent / 2 + paceRaiseStepPercent, worker.percent());
        worker.list(targetMs / 2, 10s);
        CPPUNIT_ASSERT_EQUAL(fullPacePercent, worker.percent());
    }

    /// Guards against a run that disturbs on because the call that slows it down was lost.
    void repeatsWhatWasNotAnswered()
    {
        SharedWorker worker;
        AgentHarness &agent = worker.agent;
        agent.orders(1);
        agent.advance(paceChangeInterval);
        agent.answerHold({{serving, completePercent, {}, 2 * targetMs}, {background, 5}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), agent.paces.size());
        agent.answerHold({{serving, completePercent, {}, 2 * targetMs}, {background, 5}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), agent.paces.size());
        agent.feed(PaceAnswered{background, fullPacePercent / 2, false});
        agent.answerHold({{serving, completePercent, {}, 2 * targetMs}, {background, 5}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), agent.paces.size());
    }

    /// Guards against a background run that starts at its full pace while others are slowed down.
    void laterRunsAreSlowedDownToo()
    {
        SharedWorker worker;
        worker.list(targetMs + 20, 500ms);
        const RunRef later = runOf(9);
        worker.agent.orders(1, {{{later}, {0, 64, 0, 4000}, "payload"}});
        worker.agent.answerStart(later);
        worker.agent.answerHold({{serving, completePercent, {}, targetMs * 8 / 10}, {background, 5}, {later, 0}});
        CPPUNIT_ASSERT(worker.agent.paces.back().run == later);
        CPPUNIT_ASSERT_EQUAL(fullPacePercent / 2, worker.agent.paces.back().percent);
    }

    /// Guards against a sound worker that is suspended as a run that it was told to pause stands still.
    void slowRunsAreNotStalled()
    {
        SharedWorker worker;
        worker.list(targetMs + 20, 5s);
        const auto stalled = [](const Jobs::AgentReport &report) { return !report.stalled.empty(); };
        CPPUNIT_ASSERT_EQUAL(0, worker.percent());
        worker.agent.reports.clear();
        worker.list(targetMs + 20, 2 * stallTimeout);
        CPPUNIT_ASSERT(!worker.agent.reported(stalled));
    }

    /// Guards against an agent that has been restarted and does not know which of its runs serve, and which are background.
    void learnsWhatItRuns()
    {
        AgentHarness agent;
        agent.begin();
        agent.answerHold({{serving, completePercent, {}, 2 * targetMs}, {background, 5}});
        Jobs::OwnerOrders orders;
        orders.epoch = 1;
        orders.number = 100;
        orders.workerStartTimeMs = firstStartTimeMs;
        orders.runRequirements = {{serving, {1000, 64, 0}, targetMs}, {background, {0, 64, 0, 4000}, 0}};
        agent.feed(OrdersArrived{entry, orders});
        agent.advance(paceChangeInterval);
        agent.answerHold({{serving, completePercent, {}, 2 * targetMs}, {background, 5}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), agent.paces.size());
        CPPUNIT_ASSERT(agent.paces.front().run == background);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPace);
