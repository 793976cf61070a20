#include "agentharness.h"

#include "jobs/jobsconstants.h"
#include "taskagent/taskagentconstants.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace LaburnumFlow;
using namespace LaburnumFlow::TaskAgent;
using namespace LaburnumFlow::TaskAgent::Testing;

/// Tests what the agent believes of a worker that restarts, answers late or executes calls late.
class TestLateCalls : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLateCalls);
    CPPUNIT_TEST(overtakenListAddsNoEndedRun);
    CPPUNIT_TEST(overtakenListOfFormerIncarnationIsIgnored);
    CPPUNIT_TEST(listMadeEarlierAddsNoEndedRun);
    CPPUNIT_TEST(lateStartIsCancelledAtARestartedWorker);
    CPPUNIT_TEST(runsOfASilentWorkerLapseDespiteACancelledStart);
    CPPUNIT_TEST(startInProgressAtARestartIsCancelledBeforeItCountsAsEnded);
    CPPUNIT_TEST(startAnsweredByTheNewProcessIsNoLostRun);
    CPPUNIT_TEST(stopAnsweredByTheFormerProcessCancelsNothing);
    CPPUNIT_TEST(unknownRunIsStoppedAgainAtARestartedWorker);
    CPPUNIT_TEST(lateStartIsCancelledAtAWorkerThatReturns);
    CPPUNIT_TEST(answeredAndOldStartsAreNotCancelledAgain);
    CPPUNIT_TEST(unknownRunIsStoppedAtTheWorker);
    CPPUNIT_TEST(missingRunMayHaveEndedBeyondATruncatedList);
    CPPUNIT_TEST(returningWorkerIsKnownAtItsFirstHeartbeat);
    CPPUNIT_TEST(lateHeartbeatDoesNotBringAWorkerBack);
    CPPUNIT_TEST(lateHeartbeatAtARestartedAgentBringsAWorkerBackForAMoment);
    CPPUNIT_TEST(ignoresLateHeartbeatOfFormerIncarnation);
    CPPUNIT_TEST(restartedWorkerRunsNothing);
    CPPUNIT_TEST(lateLeaveCallEndsNoRuns);
    CPPUNIT_TEST(workerThatLeavesGetsNoRuns);
    CPPUNIT_TEST(workerThatLeavesHasEndedOnceItRefusesConnections);
    CPPUNIT_TEST(unknownSilentWorkerRunsNothingAfterItsLease);
    CPPUNIT_TEST(restartedWorkerThatFallsSilentKeepsALateStart);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a run that occupies the worker for ever, and a task that never ends: an answer that a newer one has overtaken lists the
    /// run as active after its end was recorded.
    void overtakenListAddsNoEndedRun()
    {
        AgentHarness agent;
        agent.begin(1);
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        const std::uint64_t overtaken = agent.holds.back().number;
        // A change of owner starts a new hold call while the former one is in progress.
        agent.orders(2, {}, {}, "2");
        agent.answerHold({}, {{1, runOf(7), Jobs::RunOutcome::Done, 10}});
        Jobs::OwnerOrders recorded;
        recorded.epoch = 2;
        recorded.echo = std::chrono::duration_cast<std::chrono::milliseconds>(agent.now()).count();
        recorded.workerStartTimeMs = firstStartTimeMs;
        recorded.endsRecorded = 1;
        agent.feed(OrdersArrived{"2", recorded});
        agent.answerHoldNumber(overtaken, {{runOf(7), 40}}, {});
        CPPUNIT_ASSERT(agent.state.runs.empty());
    }

    /// Guards against the same when the newer answer belongs to the call that was sent first: it waited at the worker for the end.
    void listMadeEarlierAddsNoEndedRun()
    {
        AgentHarness agent;
        agent.begin(1);
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        const std::uint64_t waiting = agent.holds.back().number;
        agent.orders(2, {}, {}, "2");
        const std::uint64_t second = agent.holds.back().number;
        CPPUNIT_ASSERT(second > waiting);
        agent.answerHoldNumber(waiting, {}, {{1, runOf(7), Jobs::RunOutcome::Done, 10}});
        HoldAnswered earlier;
        earlier.answered = true;
        earlier.workerStartTimeMs = firstStartTimeMs;
        earlier.workerClock = *agent.state.newestListClock - 1ms;
        earlier.number = second;
        earlier.running = {{runOf(7), 40}};
        agent.feed(earlier);
        CPPUNIT_ASSERT(agent.state.runs.empty());
    }

    /// Guards against a restarted worker that is taken for its former incarnation because an old answer arrives late.
    void overtakenListOfFormerIncarnationIsIgnored()
    {
        AgentHarness agent;
        agent.begin(1);
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        agent.answerHold({{runOf(7), 20}});
        const std::uint64_t overtaken = agent.holds.back().number;
        agent.orders(2, {}, {}, "2");
        agent.heartbeat(1, firstStartTimeMs + 5000);
        agent.answerHoldNumber(overtaken, {{runOf(7), 40}}, {});
        CPPUNIT_ASSERT_EQUAL(firstStartTimeMs + 5000, agent.state.worker->startTimeMs);
        CPPUNIT_ASSERT(agent.state.runs.empty());
    }

    /// Guards against a worker that has left and is in use again for long, because its agent has restarted, knows nothing of the leave call, and a heartbeat
    /// arrives late.
    void lateHeartbeatAtARestartedAgentBringsAWorkerBackForAMoment()
    {
        AgentHarness agent;
        agent.heartbeat();
        agent.orders(1);
        const Base::MonoTime begun = agent.now();
        const auto silent = [](const Jobs::AgentReport &report) { return report.workerSilent; };
        while (!agent.reported(silent)) {
            agent.refuseHold();
            agent.advance(holdRetryDelay);
            CPPUNIT_ASSERT(agent.now() - begun < 2 * silenceReportTimeout);
        }
        agent.advance(workerSilenceTimeout);
        CPPUNIT_ASSERT(!agent.state.worker);
    }

    /// Guards against two runs of a task: a start call without a response was cancelled and the task started elsewhere, then the worker
    /// restarts, forgets the cancellation, and the call reaches it late.
    void lateStartIsCancelledAtARestartedWorker()
    {
        AgentHarness agent;
        agent.begin();
        cancelStart(agent, runOf(7));
        agent.advance(5s);
        const std::size_t before = agent.stops.size();
        agent.heartbeat(1, firstStartTimeMs + 5000);
        CPPUNIT_ASSERT_EQUAL(before + 1, agent.stops.size());
        CPPUNIT_ASSERT(agent.stops.back().run == runOf(7));
        agent.feed(StopAnswered{runOf(7), firstStartTimeMs + 5000, false});
        agent.advance(stopRetryDelay);
        CPPUNIT_ASSERT_EQUAL(before + 2, agent.stops.size());
    }

    /// Guards against tasks of a silent worker that wait for seconds because a start is cancelled there that may be executed late.
    void runsOfASilentWorkerLapseDespiteACancelledStart()
    {
        AgentHarness agent;
        agent.begin();
        cancelStart(agent, runOf(7));
        const std::int64_t restartedAt = firstStartTimeMs + 5000;
        agent.heartbeat(1, restartedAt);
        agent.answerHold({{runOf(8), 5}}, {}, restartedAt);
        agent.advance(2500ms);
        const auto lapsed = [](const RunRef &run) {
            return [run](const Jobs::AgentReport &report) {
                return std::any_of(report.ends.begin(), report.ends.end(), [&](const auto &end) { return end.run == run; });
            };
        };
        CPPUNIT_ASSERT(agent.reported(lapsed(runOf(8))));
        CPPUNIT_ASSERT(!agent.reported(lapsed(runOf(7))));
        CPPUNIT_ASSERT(nextDue(agent.state).value() > agent.now());
    }

    /// Guards against a task that starts elsewhere because its worker restarted, while its start call is on its way and no stop has
    /// reached the new incarnation.
    void startInProgressAtARestartIsCancelledBeforeItCountsAsEnded()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7)), startOf(runOf(8))});
        agent.answerStart(runOf(8));
        agent.answerHold({{runOf(8), 5}});
        const std::size_t before = agent.reports.size();
        agent.heartbeat(1, firstStartTimeMs + 5000);
        agent.answerHold({}, {}, firstStartTimeMs + 5000);
        for (auto report = agent.reports.begin() + static_cast<std::ptrdiff_t>(before); report != agent.reports.end(); ++report) {
            const auto &ends = report->report.ends;
            CPPUNIT_ASSERT(std::none_of(ends.begin(), ends.end(), [](const auto &end) { return end.run == runOf(7); }));
            CPPUNIT_ASSERT(!report->report.worker || report->report.full);
        }
        CPPUNIT_ASSERT(agent.reported([](const auto &report) { return report.ends.size() == 1 && report.ends[0].run == runOf(8); }));
        CPPUNIT_ASSERT(agent.lastFull().running.at(0).run == runOf(7));
        agent.feed(StopAnswered{runOf(7), firstStartTimeMs + 5000, true});
        agent.answerHold({}, {}, firstStartTimeMs + 5000);
        CPPUNIT_ASSERT(agent.reported([](const auto &report) { return report.refusals.size() == 1 && report.refusals[0].run == runOf(7); }));
        CPPUNIT_ASSERT(agent.state.runs.empty());
    }

    /// Guards against two runs of a task: the new process of a worker has executed the start, whose answer names no process, and the restart that is
    /// noticed later counts as the end of the run.
    void startAnsweredByTheNewProcessIsNoLostRun()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        const std::int64_t restartedAt = firstStartTimeMs + 5000;
        agent.heartbeat(1, restartedAt);
        CPPUNIT_ASSERT(!agent.reported([](const auto &report) { return !report.ends.empty(); }));
        CPPUNIT_ASSERT(agent.stops.back().run == runOf(7));
        agent.feed(StopAnswered{runOf(7), restartedAt, true});
        agent.answerHold({}, {{1, runOf(7), Jobs::RunOutcome::Stopped, 10}}, restartedAt);
        CPPUNIT_ASSERT(agent.reported([](const auto &report) { return report.ends.size() == 1 && report.ends[0].run == runOf(7); }));
        CPPUNIT_ASSERT(agent.state.runs.empty());
    }

    /// Guards against the same when the stop that cancels a start was answered by the former process: it bars nothing at the new one.
    void stopAnsweredByTheFormerProcessCancelsNothing()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.feed(StartAnswered{runOf(7), firstStartTimeMs, StartAnswered::Outcome::NoAnswer, {}, {}});
        const std::int64_t restartedAt = firstStartTimeMs + 5000;
        agent.heartbeat(1, restartedAt);
        agent.feed(StopAnswered{runOf(7), firstStartTimeMs, true});
        agent.answerHold({}, {}, restartedAt);
        CPPUNIT_ASSERT(!agent.reported([](const auto &report) { return !report.refusals.empty() || !report.ends.empty(); }));
        agent.feed(StopAnswered{runOf(7), restartedAt, true});
        agent.answerHold({}, {}, restartedAt);
        CPPUNIT_ASSERT(agent.reported([](const auto &report) { return report.refusals.size() == 1 && report.refusals[0].run == runOf(7); }));
    }

    /// Guards against the same when a former process of the agent has sent the start: the restart of the worker counted as the end of the run.
    void unknownRunIsStoppedAgainAtARestartedWorker()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {}, {runOf(7)});
        const std::size_t before = agent.stops.size();
        agent.heartbeat(1, firstStartTimeMs + 5000);
        CPPUNIT_ASSERT(!agent.reported([](const auto &report) { return !report.ends.empty(); }));
        CPPUNIT_ASSERT_EQUAL(before + 1, agent.stops.size());
        CPPUNIT_ASSERT(agent.stops.back().run == runOf(7));
    }

    /// Guards against the same when the worker's end was known before it returned.
    void lateStartIsCancelledAtAWorkerThatReturns()
    {
        AgentHarness agent;
        agent.begin();
        cancelStart(agent, runOf(7));
        agent.orders(1, {startOf(runOf(8))});
        agent.feed(WorkerLeft{"worker-1"});
        agent.refuseHold();
        CPPUNIT_ASSERT(!agent.state.worker);
        const std::size_t before = agent.stops.size();
        agent.heartbeat(1, firstStartTimeMs + 5000);
        CPPUNIT_ASSERT_EQUAL(before + 2, agent.stops.size());
    }

    /// Guards against stop calls for every start of the past at each restart of a worker.
    void answeredAndOldStartsAreNotCancelledAgain()
    {
        AgentHarness agent;
        agent.begin();
        cancelStart(agent, runOf(7));
        agent.advance(lateExecutionTimeout);
        agent.orders(1, {startOf(runOf(8))});
        agent.answerStart(runOf(8));
        agent.answerHold({{runOf(8), 5}});
        const std::size_t before = agent.stops.size();
        agent.heartbeat(1, firstStartTimeMs + 20'000);
        CPPUNIT_ASSERT_EQUAL(before, agent.stops.size());
    }

    /// Guards against two runs of a task whose start call was sent by a former process of the agent, without a response, and is executed
    /// late: the new process must stop it at the worker before it reports that the run is not there.
    void unknownRunIsStoppedAtTheWorker()
    {
        AgentHarness agent;
        agent.begin();
        const auto refused = [](const Jobs::AgentReport &report) { return !report.refusals.empty(); };
        agent.orders(1, {}, {runOf(7)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), agent.stops.size());
        CPPUNIT_ASSERT(!agent.reported(refused));
        agent.feed(StopAnswered{runOf(7), firstStartTimeMs, true});
        agent.answerHold();
        CPPUNIT_ASSERT(
            agent.reported([](const auto &report) { return report.refusals.size() == 1 && report.refusals[0].reason == Jobs::RunRefusal::Reason::Stale; }));
    }

    /// Guards against a task that starts again although its run was done: the worker has more ends than it lists at a time, so a run in neither of its lists
    /// counted as never started.
    void missingRunMayHaveEndedBeyondATruncatedList()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {}, {runOf(7)});
        agent.feed(StopAnswered{runOf(7), firstStartTimeMs, true});
        HoldAnswered truncated;
        truncated.answered = true;
        truncated.workerStartTimeMs = firstStartTimeMs;
        truncated.number = agent.holds.back().number;
        truncated.ends = {{1, runOf(8), Jobs::RunOutcome::Done, 10}};
        truncated.endsTruncated = true;
        agent.feed(truncated);
        CPPUNIT_ASSERT(!agent.reported([](const auto &report) { return !report.refusals.empty(); }));
        const std::size_t holds = agent.holds.size();
        agent.advance(holdRetryDelay + 1ms);
        CPPUNIT_ASSERT_EQUAL(holds + 1, agent.holds.size());
        agent.answerHold({}, {{1, runOf(8), Jobs::RunOutcome::Done, 10}, {2, runOf(7), Jobs::RunOutcome::Done, 10}});
        CPPUNIT_ASSERT(!agent.reported([](const auto &report) { return !report.refusals.empty(); }));
        CPPUNIT_ASSERT(agent.reported([](const auto &report) { return report.ends.size() == 1 && report.ends[0].number == 2; }));
    }

    /// Guards against a worker that gets no tasks after it was away for long, until it has sent more heartbeats than its former incarnation.
    void returningWorkerIsKnownAtItsFirstHeartbeat()
    {
        AgentHarness agent;
        agent.begin();
        agent.heartbeat(40);
        agent.advance(workerSilenceTimeout + 10ms);
        CPPUNIT_ASSERT(!agent.state.worker);
        agent.heartbeat(1, firstStartTimeMs + 8000);
        agent.answerHold({}, {}, firstStartTimeMs + 8000);
        CPPUNIT_ASSERT_EQUAL(std::string("service"), agent.lastFull().worker->service);
    }

    /// Guards against a worker that has left and is taken for present because one of its heartbeats arrives late.
    void lateHeartbeatDoesNotBringAWorkerBack()
    {
        AgentHarness agent;
        agent.begin();
        agent.heartbeat(40);
        agent.feed(WorkerLeft{"worker-1"});
        agent.refuseHold();
        agent.heartbeat(39);
        CPPUNIT_ASSERT(!agent.state.worker);
    }

    /// Guards against a delayed heartbeat that replaces the worker's current incarnation by a former one.
    void ignoresLateHeartbeatOfFormerIncarnation()
    {
        AgentHarness agent;
        agent.heartbeat(1, firstStartTimeMs + 5000);
        agent.heartbeat(9, firstStartTimeMs);
        CPPUNIT_ASSERT_EQUAL(firstStartTimeMs + 5000, agent.state.worker->startTimeMs);
    }

    /// Guards against runs that stay assigned to a worker which has crashed and restarted.
    void restartedWorkerRunsNothing()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        agent.answerHold({{runOf(7), 5}});
        agent.heartbeat(1, firstStartTimeMs + 5000);
        CPPUNIT_ASSERT(agent.state.runs.empty());
        agent.answerHold({}, {}, firstStartTimeMs + 5000);
        CPPUNIT_ASSERT(agent.lastFull().running.empty());
        CPPUNIT_ASSERT_EQUAL(firstStartTimeMs + 5000, agent.lastFull().worker->startTimeMs);
    }

    /// Guards against two runs of a task: the leave call of a former incarnation, which names none, arrives after the worker has restarted
    /// under the same id, and the runs of the new incarnation are taken as ended.
    void lateLeaveCallEndsNoRuns()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        agent.feed(WorkerLeft{"worker-1"});
        agent.answerHold({{runOf(7), 40}});
        CPPUNIT_ASSERT(agent.state.runs.contains(runOf(7)));
        CPPUNIT_ASSERT(!agent.reported([](const auto &report) { return report.workerTerminated || !report.ends.empty(); }));
        // The next heartbeat shows that the worker stays.
        agent.heartbeat(2);
        CPPUNIT_ASSERT(agent.reports.back().report.worker && !agent.reports.back().report.worker->draining);
        agent.orders(1, {startOf(runOf(8))});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), agent.starts.size());
    }

    /// Guards against new runs on a worker that is about to end.
    void workerThatLeavesGetsNoRuns()
    {
        AgentHarness agent;
        agent.begin();
        agent.feed(WorkerLeft{"worker-1"});
        CPPUNIT_ASSERT(agent.reported([](const auto &report) { return report.worker && report.worker->draining; }));
        agent.orders(1, {startOf(runOf(7))});
        CPPUNIT_ASSERT(agent.starts.empty());
    }

    /// Guards against tasks of a worker that has left which wait for the end of its lease. The failure of a call that was
    /// sent before the leave call says nothing about the time after it.
    void workerThatLeavesHasEndedOnceItRefusesConnections()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        const std::uint64_t earlier = agent.holds.back().number;
        agent.feed(WorkerLeft{"worker-1"});
        HoldAnswered refused;
        refused.refused = true;
        refused.number = earlier;
        agent.feed(refused);
        const auto ended = [](const auto &report) { return report.workerTerminated && report.ends.size() == 1; };
        CPPUNIT_ASSERT(!agent.reported(ended));
        agent.refuseHold();
        CPPUNIT_ASSERT(agent.reported(ended));
    }

    /// Guards against two runs of a task: a new process of the agent takes a worker that doesn't answer for one that runs nothing, while runs
    /// go on under the lease that the former process has renewed. After the lease a new owner must not wait for the worker any longer.
    void unknownSilentWorkerRunsNothingAfterItsLease()
    {
        AgentHarness agent;
        const Base::MonoTime begun = agent.now();
        agent.orders(1);
        const auto isFull = [](const auto &report) { return report.full; };
        while (!agent.reported(isFull) && agent.now() - begun < 5s) {
            HoldAnswered unanswered;
            unanswered.number = agent.holds.back().number;
            agent.feed(unanswered);
            agent.advance(holdRetryDelayWithoutWorker);
        }
        CPPUNIT_ASSERT(agent.reported(isFull));
        CPPUNIT_ASSERT(agent.now() - begun > Jobs::workerLease);
        CPPUNIT_ASSERT(agent.now() - begun < 2s);
    }

    /// Guards against two runs of a task: a restarted worker that may execute a start call late falls silent before the call is cancelled there, and
    /// the run is reported as lapsed while the worker may still execute it.
    void restartedWorkerThatFallsSilentKeepsALateStart()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        const Base::MonoTime calledAt = agent.now();
        agent.feed(StartAnswered{runOf(7), firstStartTimeMs, StartAnswered::Outcome::NoAnswer, {}, {}});
        agent.heartbeat(1, firstStartTimeMs + 1000);
        const auto ended = [](const Jobs::AgentReport &report) {
            return report.workerTerminated || std::any_of(report.ends.begin(), report.ends.end(), [](const auto &end) { return end.run == runOf(7); });
        };
        while (!agent.reported(ended) && agent.now() - calledAt < lateExecutionTimeout + workerSilenceTimeout) {
            agent.advance(std::max<Base::Duration>(nextDue(agent.state).value() - agent.now(), 1ms));
        }
        CPPUNIT_ASSERT(agent.reported(ended));
        CPPUNIT_ASSERT(agent.now() - calledAt >= lateExecutionTimeout);
        CPPUNIT_ASSERT(agent.now() - calledAt < lateExecutionTimeout + 100ms);
        CPPUNIT_ASSERT(!agent.state.worker);
    }

private:
    /// Lets a start call get no response; the stop call is answered and the next list lacks the run.
    static void cancelStart(AgentHarness &agent, const RunRef &run)
    {
        agent.orders(1, {startOf(run)});
        agent.feed(StartAnswered{run, firstStartTimeMs, StartAnswered::Outcome::NoAnswer, {}, {}});
        agent.feed(StopAnswered{run, firstStartTimeMs, true});
        agent.answerHold();
        CPPUNIT_ASSERT(agent.state.runs.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLateCalls);
