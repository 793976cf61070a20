#include "agentharness.h"

#include "taskagent/taskagentconstants.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace LaburnumFlow;
using namespace LaburnumFlow::TaskAgent;
using namespace LaburnumFlow::TaskAgent::Testing;

namespace {

constexpr Base::Duration quickResponse = 2ms;

/// An agent whose worker gets one start call after the other.
class StartSeries
{
public:
    StartSeries()
    {
        agent_.begin();
    }

    /// Sends a start call that is answered after the time, and returns its timeout. Without an answer in time, the call counts as unanswered.
    Base::Duration start(Base::Duration responseTime)
    {
        const RunRef run = runOf(++lastJob_);
        agent_.orders(1, {startOf(run)});
        const Base::Duration timeout = agent_.starts.back().timeout;
        const bool answered = responseTime <= timeout;
        agent_.advance(answered ? responseTime : timeout);
        if (answered) {
            agent_.answerStart(run);
            endRun(run);
        } else {
            agent_.feed(StartAnswered{run, firstStartTimeMs, StartAnswered::Outcome::NoAnswer, Jobs::RunRefusal::Reason::NoRoom, {}});
            agent_.feed(StopAnswered{run, firstStartTimeMs, true});
            agent_.answerHold();
        }
        return timeout;
    }

    AgentHarness &agent()
    {
        return agent_;
    }

private:
    void endRun(const RunRef &run)
    {
        agent_.answerHold({}, {{++lastEnd_, run, Jobs::RunOutcome::Done, 10}});
    }

    AgentHarness agent_;
    Jobs::JobId lastJob_ = 0;
    std::uint64_t lastEnd_ = 0;
};

} // namespace

/// Tests how long the agent waits for a worker's responses while some calls get none.
class TestCallTimeouts : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCallTimeouts);
    CPPUNIT_TEST(lostResponsesDoNotRaiseTheTimeout);
    CPPUNIT_TEST(slowWorkerGetsMoreTime);
    CPPUNIT_TEST(timeoutReturnsWhenTheWorkerIsQuickAgain);
    CPPUNIT_TEST(answeredStartEndsTheSilence);
    CPPUNIT_TEST(answeredStopEndsTheSilence);
    CPPUNIT_TEST(answerOfAFormerIncarnationDoesNotEndTheSilence);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against timeouts that rise to their maximum, so that each lost response costs hundreds of milliseconds, when a share of the calls to a quick
    /// worker gets no response.
    void lostResponsesDoNotRaiseTheTimeout()
    {
        constexpr int calls = 1000;
        for (const double lostShare : {0.05, 0.15, 0.3}) {
            StartSeries series;
            std::mt19937 random(5);
            std::bernoulli_distribution lost(lostShare);
            Base::Duration sum{};
            for (int i = 0; i < calls; ++i) {
                sum += series.start(lost(random) ? 1h : quickResponse);
            }
            CPPUNIT_ASSERT(sum / calls < 2 * minCallTimeout);
        }
    }

    /// Guards against a slow worker that never executes anything, as each call to it is cancelled before its response.
    void slowWorkerGetsMoreTime()
    {
        StartSeries series;
        for (int i = 0; i < 20; ++i) {
            series.start(quickResponse);
        }
        constexpr Base::Duration slowResponse = 200ms;
        int unanswered = 0;
        while (series.start(slowResponse) < slowResponse) {
            ++unanswered;
            CPPUNIT_ASSERT(unanswered < 6);
        }
        // The answered call counts, so the next ones are answered as well.
        for (int i = 0; i < 50; ++i) {
            unanswered += series.start(slowResponse) < slowResponse ? 1 : 0;
        }
        CPPUNIT_ASSERT(unanswered < 12);
    }

    /// Guards against a timeout that stays high after the worker has been slow, so that lost responses are noticed late.
    void timeoutReturnsWhenTheWorkerIsQuickAgain()
    {
        StartSeries series;
        for (int i = 0; i < 50; ++i) {
            series.start(200ms);
        }
        for (int i = 0; i < 100; ++i) {
            series.start(quickResponse);
        }
        CPPUNIT_ASSERT(series.start(quickResponse) == minCallTimeout);
    }

    /// Guards against a healthy worker that gets no runs, and whose lease runs out, because two hold calls in a row were lost.
    void answeredStartEndsTheSilence()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(1)), startOf(runOf(2))});
        agent.answerStart(runOf(1));
        loseHolds(agent);
        CPPUNIT_ASSERT(agent.state.silenceReported);
        agent.answerStart(runOf(2));
        CPPUNIT_ASSERT(!agent.state.silenceReported);
        CPPUNIT_ASSERT(!agent.state.silentSince);
        CPPUNIT_ASSERT(!agent.reports.back().report.workerSilent);
    }

    /// Guards against the same when the answer to a stop call shows that the worker is there.
    void answeredStopEndsTheSilence()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(1))});
        agent.answerStart(runOf(1));
        loseHolds(agent);
        agent.orders(1, {}, {runOf(1)});
        agent.feed(StopAnswered{runOf(1), firstStartTimeMs, false});
        CPPUNIT_ASSERT(agent.state.silenceReported);
        agent.advance(stopRetryDelay);
        agent.feed(StopAnswered{runOf(1), firstStartTimeMs, true});
        CPPUNIT_ASSERT(!agent.state.silenceReported);
    }

    /// Guards against a dead worker that counts as alive because a former process of it has answered late.
    void answerOfAFormerIncarnationDoesNotEndTheSilence()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(1))});
        agent.answerStart(runOf(1));
        loseHolds(agent);
        agent.feed(StopAnswered{runOf(1), firstStartTimeMs - 1, true});
        agent.feed(StartAnswered{runOf(1), firstStartTimeMs - 1, StartAnswered::Outcome::Started, {}, {}});
        CPPUNIT_ASSERT(agent.state.silenceReported);
    }

private:
    /// Lets hold calls end without an answer until the worker counts as silent.
    static void loseHolds(AgentHarness &agent)
    {
        while (!agent.state.silenceReported) {
            const CallHold hold = agent.holds.back();
            agent.advance(hold.timeout);
            HoldAnswered lost;
            lost.number = hold.number;
            lost.calledAt = hold.calledAt;
            agent.feed(lost);
            agent.advance(holdRetryDelay);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCallTimeouts);
