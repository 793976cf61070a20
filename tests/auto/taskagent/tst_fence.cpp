#include "agentharness.h"

#include "taskagent/taskagentconstants.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::TaskAgent;
using namespace LaburnumFlow::TaskAgent::Testing;

/// Tests which calls the worker refuses by their fence once a newer call has reached it.
class TestFence : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestFence);
    CPPUNIT_TEST(callsAfterAnUnansweredStartBarIt);
    CPPUNIT_TEST(startThatIsBarredRaisesTheFenceNoMore);
    CPPUNIT_TEST(callsAfterARestartBarEarlierOnes);
    CPPUNIT_TEST(callsOfANewProcessBarThoseOfTheFormerOne);
    CPPUNIT_TEST(higherEpochBarsAnyCallOfALowerOne);
    CPPUNIT_TEST(holdsGoOnWhileALateStartIsPossible);
    CPPUNIT_TEST(failedHoldBarsLateStarts);
    CPPUNIT_TEST(refusedFenceIsRaised);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against two runs of a task: a restarted worker, which has forgotten the stop of a start without a response, executes that start. Any
    /// later call must keep it from doing so.
    void callsAfterAnUnansweredStartBarIt()
    {
        AgentHarness agent;
        agent.begin();
        loseStart(agent, runOf(7));
        const std::uint64_t late = agent.starts.back().fence;
        CPPUNIT_ASSERT(agent.stops.back().fence > late);
        agent.orders(1, {startOf(runOf(8))});
        CPPUNIT_ASSERT(agent.starts.back().fence > late);
        agent.feed(StopAnswered{runOf(7), firstStartTimeMs, true});
        CPPUNIT_ASSERT(agent.holds.back().fence > late);
    }

    /// Guards against starts that bar each other on their way, one after the other, once a single one has got no answer.
    void startThatIsBarredRaisesTheFenceNoMore()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7)), startOf(runOf(8))});
        agent.feed(StartAnswered{runOf(7), firstStartTimeMs, StartAnswered::Outcome::NoAnswer, {}, {}});
        const std::uint64_t raised = agent.stops.back().fence;
        agent.feed(StartAnswered{runOf(8), firstStartTimeMs, StartAnswered::Outcome::NoAnswer, {}, {}});
        CPPUNIT_ASSERT(agent.stops.back().run == runOf(8));
        CPPUNIT_ASSERT_EQUAL(raised, agent.stops.back().fence);
    }

    /// Guards against a hold call for the worker's former process that the new one executes late: it would renew the lease and make the new process
    /// forget ends that nobody has read.
    void callsAfterARestartBarEarlierOnes()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        const std::uint64_t former = agent.holds.back().fence;
        agent.heartbeat(1, firstStartTimeMs + 5000);
        CPPUNIT_ASSERT(agent.holds.back().fence > former);
    }

    /// Guards against a start that a former process of the agent has sent and that the worker executes after the new process has read its lists.
    void callsOfANewProcessBarThoseOfTheFormerOne()
    {
        AgentHarness former;
        former.begin(3);
        loseStart(former, runOf(7));
        AgentHarness agent(former.now() + 1s);
        agent.begin(3);
        CPPUNIT_ASSERT(agent.holds.front().fence > former.stops.back().fence);
    }

    /// Guards against orders of a former owner that are executed under its successor, however often the fence was raised.
    void higherEpochBarsAnyCallOfALowerOne()
    {
        AgentHarness former(Base::MonoTime(365 * 24h));
        former.begin(1);
        loseStart(former, runOf(7));
        AgentHarness agent(1ms);
        agent.begin(2);
        CPPUNIT_ASSERT(agent.holds.front().fence > former.stops.back().fence);
    }

    /// Guards against a worker that restarts while it gets no calls, and executes a late start before the agent hears of the restart.
    void holdsGoOnWhileALateStartIsPossible()
    {
        AgentHarness agent;
        agent.begin();
        loseStart(agent, runOf(7));
        agent.feed(StopAnswered{runOf(7), firstStartTimeMs, true});
        agent.answerHold();
        CPPUNIT_ASSERT(agent.state.runs.empty());
        CPPUNIT_ASSERT(agent.state.holdInProgress);
        CPPUNIT_ASSERT(!agent.holds.back().until);
        agent.advance(lateExecutionTimeout);
        agent.answerHold();
        CPPUNIT_ASSERT(!agent.state.holdInProgress);
    }

    /// Guards against the same while the hold call that follows the restart gets lost.
    void failedHoldBarsLateStarts()
    {
        AgentHarness agent;
        agent.begin();
        loseStart(agent, runOf(7));
        agent.feed(StopAnswered{runOf(7), firstStartTimeMs, true});
        agent.answerHold();
        const std::size_t before = agent.stops.size();
        failHold(agent);
        CPPUNIT_ASSERT_EQUAL(before + barringCalls, agent.stops.size());
        CPPUNIT_ASSERT(agent.stops.back().fence > agent.starts.back().fence);
        // Further failures in a row cause no more calls than before.
        agent.advance(holdRetryDelay);
        failHold(agent);
        CPPUNIT_ASSERT_EQUAL(before + barringCalls, agent.stops.size());
    }

    /// Guards against a worker that refuses every call, as a former process of the agent had a clock that was ahead.
    void refusedFenceIsRaised()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        const CallHold refused = agent.holds.back();
        HoldAnswered answer;
        answer.number = refused.number;
        answer.calledAt = refused.calledAt;
        answer.refusedFence = refused.fence;
        agent.feed(answer);
        agent.advance(holdRetryDelay);
        CPPUNIT_ASSERT(agent.holds.back().number > refused.number);
        CPPUNIT_ASSERT(agent.holds.back().fence >= refused.fence + static_cast<std::uint64_t>(fenceRecoveryStep.count()));
        CPPUNIT_ASSERT(!agent.state.silentSince);
        CPPUNIT_ASSERT(agent.state.runs.contains(runOf(7)));
    }

private:
    static void loseStart(AgentHarness &agent, const RunRef &run)
    {
        agent.orders(agent.state.epoch, {startOf(run)});
        agent.feed(StartAnswered{run, firstStartTimeMs, StartAnswered::Outcome::NoAnswer, {}, {}});
    }

    static void failHold(AgentHarness &agent)
    {
        HoldAnswered failed;
        failed.number = agent.holds.back().number;
        failed.calledAt = agent.holds.back().calledAt;
        agent.feed(failed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFence);
