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

/// A worker with a run that has a latency target and a background run.
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

    /// Lets the worker list both runs every 50 ms for the given time, with the tail latency of the serving run, and answers all pace calls.
    void listRuns(std::uint32_t latencyMs, Base::Duration time)
    {
        for (Base::Duration passed{}; passed < time; passed += 50ms) {
            agent.orders(1);
            agent.advance(50ms);
            agent.answerHold({{serving, completePercent, {}, latencyMs}, {background, 5, {}, 3000}});
            answerPaceCalls();
        }
    }

    void answerPaceCalls()
    {
        for (; answeredPaceCalls_ < agent.paces.size(); ++answeredPaceCalls_) {
            agent.feed(PaceAnswered{agent.paces[answeredPaceCalls_].run, agent.paces[answeredPaceCalls_].percent, true});
        }
    }

    int percent() const
    {
        return agent.paces.empty() ? fullPacePercent : agent.paces.back().percent;
    }

    AgentHarness agent;

private:
    std::size_t answeredPaceCalls_ = 0;
};

} // namespace

class TestPace : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPace);
    CPPUNIT_TEST(slowsBackgroundRunsAboveLatencyTarget);
    CPPUNIT_TEST(keepsFullPaceBelowLatencyTarget);
    CPPUNIT_TEST(raisesPaceAfterLowLatency);
    CPPUNIT_TEST(resendsPaceCallWithoutAnswer);
    CPPUNIT_TEST(laterRunsAreSlowedDownToo);
    CPPUNIT_TEST(slowRunsAreNotStalled);
    CPPUNIT_TEST(learnsRunRequirementsAfterRestart);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against background runs that keep the latency of a serving run above its target.
    void slowsBackgroundRunsAboveLatencyTarget()
    {
        SharedWorker worker;
        worker.listRuns(targetMs + 20, 500ms);
        CPPUNIT_ASSERT_EQUAL(fullPacePercent / 2, worker.percent());
        CPPUNIT_ASSERT(worker.agent.paces.front().run == background);
        worker.listRuns(targetMs + 20, 2500ms);
        CPPUNIT_ASSERT_EQUAL(0, worker.percent());
    }

    /// Guards against background runs that are slowed down although all latencies are below their targets.
    void keepsFullPaceBelowLatencyTarget()
    {
        SharedWorker worker;
        worker.listRuns(targetMs / 2, 10s);
        CPPUNIT_ASSERT(worker.agent.paces.empty());
    }

    /// Guards against background runs that stay slow after the latency has dropped, and against a pace that oscillates with every list.
    void raisesPaceAfterLowLatency()
    {
        SharedWorker worker;
        worker.listRuns(targetMs + 20, 500ms);
        worker.listRuns(targetMs * 8 / 10, 5s);
        CPPUNIT_ASSERT_EQUAL(fullPacePercent / 2, worker.percent());
        worker.listRuns(targetMs / 2, paceRaiseDelay + 100ms);
        CPPUNIT_ASSERT_EQUAL(fullPacePercent / 2 + paceRaiseStepPercent, worker.percent());
        worker.listRuns(targetMs / 2, 10s);
        CPPUNIT_ASSERT_EQUAL(fullPacePercent, worker.percent());
    }

    /// Guards against a background run that keeps its pace because the call that lowers it was lost.
    void resendsPaceCallWithoutAnswer()
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

    /// Guards against a background run that starts and stays at full pace while others are slowed down.
    void laterRunsAreSlowedDownToo()
    {
        SharedWorker worker;
        worker.listRuns(targetMs + 20, 500ms);
        const RunRef later = runOf(9);
        worker.agent.orders(1, {{{later}, {0, 64, 0, 4000}, "payload"}});
        worker.agent.answerStart(later);
        worker.agent.answerHold({{serving, completePercent, {}, targetMs * 8 / 10}, {background, 5}, {later, 0}});
        CPPUNIT_ASSERT(worker.agent.paces.back().run == later);
        CPPUNIT_ASSERT_EQUAL(fullPacePercent / 2, worker.agent.paces.back().percent);
    }

    /// Guards against a healthy worker that is suspended because a run which was paused on purpose counts as stalled.
    void slowRunsAreNotStalled()
    {
        SharedWorker worker;
        worker.listRuns(targetMs + 20, 5s);
        const auto stalled = [](const Jobs::AgentReport &report) { return !report.stalled.empty(); };
        CPPUNIT_ASSERT_EQUAL(0, worker.percent());
        worker.agent.reports.clear();
        worker.listRuns(targetMs + 20, 2 * stallTimeout);
        CPPUNIT_ASSERT(!worker.agent.reported(stalled));
    }

    /// Guards against a restarted agent that can't tell background runs from runs with a latency target.
    void learnsRunRequirementsAfterRestart()
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
