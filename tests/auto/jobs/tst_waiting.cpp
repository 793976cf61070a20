#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

constexpr const char *commonLabel = "a";
constexpr const char *rareLabel = "b";
constexpr std::uint32_t workerMilli = 32'000;
constexpr JobId firstBlockedJob = 1000;
constexpr std::uint32_t blockedJobs = 100;

/// Stored jobs that can't start, one of each ID from firstBlockedJob on.
void submitBlocked(OwnerHarness &owner, const SubmitCall &blocked)
{
    for (JobId job = firstBlockedJob; job < firstBlockedJob + blockedJobs; ++job) {
        SubmitCall call = blocked;
        call.job = job;
        owner.submit(job, call);
    }
    owner.commitAll();
}

/// Lets all commits succeed while the agents report.
void commitWithReports(OwnerHarness &owner)
{
    do {
        owner.advanceTimeWithReports(50ms);
    } while (owner.commit());
}

void submitAndCommit(OwnerHarness &owner, const SubmitCall &call)
{
    owner.submit(call.job, call);
    commitWithReports(owner);
}

SubmitCall requiring(SubmitCall call, const std::string &label)
{
    call.spec.steps.front().requiredLabel = label;
    return call;
}

SubmitCall longRunning(SubmitCall call)
{
    call.spec.steps.front().longRunning = true;
    call.spec.steps.front().maxPerWorker = 1;
    return call;
}

SubmitCall gang(SubmitCall call)
{
    call.spec.steps.front().gang = true;
    return call;
}

SubmitCall advised(SubmitCall call)
{
    call.rules.advice = AdviceRules{20, 5, 3000};
    return call;
}

std::size_t startsOf(const OwnerHarness &owner, JobId job)
{
    std::size_t count = 0;
    for (const Agent &agent : owner.state.agents) {
        const std::vector<RunRef> runs = owner.orderedStarts(agent.name);
        count += static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [job](const RunRef &run) { return run.task.job == job; }));
    }
    return count;
}

} // namespace

/// Jobs that can't start must not keep others from starting, and each accepted job starts once there is room for it.
class TestWaiting : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestWaiting);
    CPPUNIT_TEST(jobsWithoutAWorkerOfTheirKindLetOthersStart);
    CPPUNIT_TEST(jobsOfAServiceWithoutWorkersLetOthersStart);
    CPPUNIT_TEST(jobsThatAreTooLargeLetOthersStart);
    CPPUNIT_TEST(gangsThatCanNotBePlacedLetOthersStart);
    CPPUNIT_TEST(jobsWithoutTicketsLetOthersStart);
    CPPUNIT_TEST(jobsThatWaitStartOnceAWorkerOfTheirKindComes);
    CPPUNIT_TEST(slowWorkersAreLeftToJobsThatAreNotInAHurry);
    CPPUNIT_TEST(jobsWithoutAWorkerOfTheirKindAreNoBacklog);
    CPPUNIT_TEST(jobsOfAnotherServiceAreNoBacklog);
    CPPUNIT_TEST(gangsThatCanNotBePlacedAreNoBacklogWhileThereIsRoom);
    CPPUNIT_TEST(failedTaskReturnsToTheOnlyWorkerOfItsKind);
    CPPUNIT_TEST(failedTaskReturnsToTheOnlyWorkerWithATicket);
    CPPUNIT_TEST(failedTaskReturnsWhileOtherWorkersRunItsStep);
    CPPUNIT_TEST(failedTaskReturnsWhileOtherWorkersStayFull);
    CPPUNIT_TEST(failedGangMemberReturnsWhileOtherWorkersAreTaken);
    CPPUNIT_TEST(refusedTaskReturnsToTheOnlyWorkerOfItsKind);
    CPPUNIT_TEST(failedTaskPrefersAnotherWorker);
    CPPUNIT_TEST(gangBesideLongRunningTasksReservesNothingInVain);
    CPPUNIT_TEST(gangBesideLongRunningTasksReservesWhatComesFree);
    CPPUNIT_TEST(longRunningTaskReservesNothingInVain);
    CPPUNIT_TEST(longRunningTaskReservesOnlyForItself);
    CPPUNIT_TEST(probedWorkerGetsWorkBesideALongRunningTask);
    CPPUNIT_TEST(probedWorkerGetsWorkBesideALongProbe);
    CPPUNIT_TEST(probedWorkerGetsWorkOnceItsProbeIsCancelled);
    CPPUNIT_TEST(probedWorkerGetsOneRunAtATime);
    CPPUNIT_TEST(longRunningGangRestartsAfterARefusedStart);
    CPPUNIT_TEST(longRunningGangRestartsHoweverAMemberEnds);
    CPPUNIT_TEST(longRunningGangIsDelayedAfterQuickEnds);
    CPPUNIT_TEST(longRunningGangPreemptsOtherWork);
    CPPUNIT_TEST(cancelledGangLetsOthersStartAtOnce);
    CPPUNIT_TEST(stepWhoseCallsFailLetsOthersBeAskedAbout);
    CPPUNIT_TEST(stepWithoutRoomLetsOthersBeAskedAbout);
    CPPUNIT_TEST(longJobDoesNotWaitLongForAFasterWorker);
    CPPUNIT_TEST(longGangDoesNotWaitLongForOneRack);
    CPPUNIT_TEST(shortWorkRunsWhileAGangWaitsForLongRuns);
    CPPUNIT_TEST(longWorkRunsBesideTheRoomOfAGang);
    CPPUNIT_TEST(longWorkDoesNotDelayAGang);
    CPPUNIT_TEST(runsThatTakeLongerKeepOthersOutForAShortTime);
    CPPUNIT_TEST(gangStartsBesideWorkThatAlwaysTakesLonger);
    CPPUNIT_TEST(longWaitsAreLoggedWithTheirReason);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against idle workers once many stored jobs wait for a kind of worker that is lost: they are older, so they come first in the queue.
    void jobsWithoutAWorkerOfTheirKindLetOthersStart()
    {
        checkOthersStart(requiring(submission(0, 1), rareLabel));
    }

    /// Guards against the same with jobs of another service, all of whose workers are lost.
    void jobsOfAServiceWithoutWorkersLetOthersStart()
    {
        SubmitCall blocked = submission(0, 1);
        blocked.rules.service = "other-service";
        checkOthersStart(blocked);
    }

    /// Guards against the same with tasks that need more memory than any worker has.
    void jobsThatAreTooLargeLetOthersStart()
    {
        SubmitCall blocked = submission(0, 1);
        blocked.spec.steps.front().need.memoryMb = 1'000'000;
        checkOthersStart(blocked);
    }

    /// Guards against the same with gangs that need more workers than there are.
    void gangsThatCanNotBePlacedLetOthersStart()
    {
        SubmitCall blocked = submission(0, 3);
        blocked.spec.steps.front().gang = true;
        blocked.spec.steps.front().maxPerWorker = 1;
        checkOthersStart(blocked);
    }

    /// Guards against the same with jobs that the advice service allows on no worker.
    void jobsWithoutTicketsLetOthersStart()
    {
        checkOthersStart(advised(submission(0, 1)));
    }

    /// Guards against jobs that are left out for good because others of their kind found no worker.
    void jobsThatWaitStartOnceAWorkerOfTheirKindComes()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        submitBlocked(owner, requiring(submission(0, 1), rareLabel));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.joinOnRack("agent-2", rareLabel, workerMilli);
        CPPUNIT_ASSERT_EQUAL(std::size_t(workerMilli / 1000), owner.orderedStartCount());
    }

    /// Guards against leaving out jobs that may run on a slow worker because an earlier job of their kind would end too late there.
    void slowWorkersAreLeftToJobsThatAreNotInAHurry()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        SubmitCall hurried = submission(1, 1, 1000);
        hurried.rules.targetMs = 900;
        SubmitCall patient = submission(2, 1, 1000);
        patient.rules.targetMs = 5000;
        for (SubmitCall *call : {&hurried, &patient}) {
            call->spec.steps.front().dataRack = "rack-of-no-worker";
            call->rules.stretch = 1.0;
        }
        owner.state.settings.remoteFactor = 2.5;
        owner.submit(1, hurried);
        owner.submit(2, patient);
        owner.commit();
        owner.advanceTime(commitInterval);
        owner.commit();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 2));
    }

    /// Guards against refusing jobs because of a backlog that no worker may run: it needs none of the capacity.
    void jobsWithoutAWorkerOfTheirKindAreNoBacklog()
    {
        checkNoBacklog(requiring(submission(0, 1, 100, 20'000), rareLabel), true);
    }

    /// Guards against refusing jobs because of the backlog of another service, which has workers of its own.
    void jobsOfAnotherServiceAreNoBacklog()
    {
        SubmitCall blocked = submission(0, 1, 100, 20'000);
        blocked.rules.service = "other-service";
        checkNoBacklog(blocked, true);
    }

    /// Guards against refusing jobs that can start at once because of gangs that wait for more workers than there are.
    void gangsThatCanNotBePlacedAreNoBacklogWhileThereIsRoom()
    {
        SubmitCall blocked = submission(0, 3, 100, 20'000);
        blocked.spec.steps.front().gang = true;
        blocked.spec.steps.front().maxPerWorker = 1;
        checkNoBacklog(blocked, false);
    }

    /// Guards against a task that failed on the only worker that has its label and waits for ever for others, which lack it.
    void failedTaskReturnsToTheOnlyWorkerOfItsKind()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.joinOnRack("agent-2", rareLabel, workerMilli);
        owner.submit(1, requiring(submission(1, 1), rareLabel));
        owner.commit();
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), RunOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 1));
    }

    /// Guards against the same if other workers have the label, but the advice service doesn't allow the step there.
    void failedTaskReturnsToTheOnlyWorkerWithATicket()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        owner.submit(1, advised(submission(1, 1)));
        owner.commit();
        owner.feed(AdviceGiven{owner.adviceRequests.back().number, true, {{"worker-agent-2", "ticket"}}, std::nullopt});
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), RunOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 1));
    }

    /// Guards against the same if each other worker has as many tasks of the step as it may have. Such tasks may never end.
    void failedTaskReturnsWhileOtherWorkersRunItsStep()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        SubmitCall call = submission(1, 2);
        call.spec.steps.front().maxPerWorker = 1;
        call.spec.steps.front().longRunning = true;
        owner.submit(1, call);
        owner.commit();
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), RunOutcome::Failed);
        owner.advanceTimeWithReports(avoidanceTimeout + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStarts("agent-2").size());
    }

    /// Guards against the same if the other workers have no room for long, while the one on which the task failed is idle.
    void failedTaskReturnsWhileOtherWorkersStayFull()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 60'000, workerMilli));
        owner.join("agent-2", workerMilli);
        submitAndCommit(owner, submission(2, 1));
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), RunOutcome::Failed);
        owner.advanceTimeWithReports(avoidanceTimeout + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStarts("agent-2").size());
    }

    /// Guards against a gang that never starts again because earlier members take all workers but the one that its last member avoids.
    void failedGangMemberReturnsWhileOtherWorkersAreTaken()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        SubmitCall call = submission(1, 2, 100, workerMilli);
        call.spec.steps.front().gang = true;
        call.spec.steps.front().maxPerWorker = 1;
        owner.submit(1, call);
        owner.commit();
        const std::string lastAgent = owner.orderedStarts("agent-1").at(0).task.index == 1 ? "agent-1" : "agent-2";
        owner.reportEnd(lastAgent, owner.orderedStarts(lastAgent).at(0), RunOutcome::Failed);
        owner.confirmStops();
        owner.advanceTimeWithReports(avoidanceTimeout + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), startsOf(owner, 1));
    }

    /// Guards against the same after a worker has refused the start of the task.
    void refusedTaskReturnsToTheOnlyWorkerOfItsKind()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.joinOnRack("agent-2", rareLabel, workerMilli);
        owner.submit(1, requiring(submission(1, 1), rareLabel));
        owner.commit();
        AgentReport report = owner.report("agent-2");
        report.refusals.push_back({owner.orderedStarts("agent-2").at(0), RunRefusal::Reason::NoRoom});
        owner.feed(AgentReported{"agent-2", report});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 1));
    }

    /// Guards against using up the attempts of a task on a worker that fails all it starts, while another one becomes free soon.
    void failedTaskPrefersAnotherWorker()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 100, workerMilli));
        owner.join("agent-2", workerMilli);
        submitAndCommit(owner, submission(2, 1));
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), RunOutcome::Failed);
        owner.advanceTimeWithReports(avoidanceTimeout / 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStarts("agent-2").size());
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStarts("agent-1").size());
    }

    /// Guards against workers that are reserved for ever for a gang which needs the room of tasks that never end.
    void gangBesideLongRunningTasksReservesNothingInVain()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        submitAndCommit(owner, longRunning(submission(1, 2, 100, 13'000)));
        submitAndCommit(owner, gang(submission(2, 2, 100, 22'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        owner.submit(3, bestEffort(3, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 3));
    }

    /// Guards against a gang that never starts beside tasks that never end because others take all room that comes free.
    void gangBesideLongRunningTasksReservesWhatComesFree()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        submitAndCommit(owner, longRunning(submission(1, 2, 100, 13'000)));
        submitAndCommit(owner, submission(2, 2, 60'000, 15'000));
        submitAndCommit(owner, gang(submission(3, 2, 100, 18'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        submitAndCommit(owner, submission(4, 2, 120'000, 15'000));
        for (const std::string agent : {"agent-1", "agent-2"}) {
            for (const RunRef &run : owner.orderedStarts(agent)) {
                if (run.task.job == 2) {
                    owner.reportEnd(agent, run, RunOutcome::Done, 60'000);
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 4));
    }

    /// Guards against workers that are reserved for ever, and runs that are stopped, for a task whose room other tasks hold that never end.
    void longRunningTaskReservesNothingInVain()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        SubmitCall first = longRunning(submission(1, 1));
        SubmitCall second = longRunning(submission(2, 1));
        for (SubmitCall *call : {&first, &second}) {
            call->spec.steps.front().need.memoryMb = 40'000;
        }
        submitAndCommit(owner, first);
        submitAndCommit(owner, second);
        submitAndCommit(owner, submission(3, 1, 60'000));
        owner.advanceTimeWithReports(preemptionDelay + 1s);
        owner.submit(4, bestEffort(4, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 4));
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").empty());
    }

    /// Guards against reserving the room of a whole step of which all tasks but one run already.
    void longRunningTaskReservesOnlyForItself()
    {
        OwnerHarness owner({"agent-1", "agent-2", "agent-3"});
        for (const std::string agent : {"agent-1", "agent-2", "agent-3"}) {
            owner.join(agent, 2000);
        }
        submitAndCommit(owner, longRunning(submission(1, 3)));
        submitAndCommit(owner, submission(2, 4, 60'000));
        // The task must not start again at once where it has failed, so one that waits takes its room.
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Failed);
        owner.advanceTimeWithReports(avoidanceTimeout + 200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), startsOf(owner, 2));
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").back(), RunOutcome::Done);
        owner.submit(3, bestEffort(3, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 3));
    }

    /// Guards against a worker that gets no work any more after some failures because a task that never ends runs on it.
    void probedWorkerGetsWorkBesideALongRunningTask()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, longRunning(submission(1, 1)));
        suspendWorker(owner);
        submitAndCommit(owner, submission(4, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 4));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").back(), RunOutcome::Done);
        owner.submit(5, bestEffort(5, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 5));
    }

    /// Guards against a worker that gets no other work for as long as its probe runs, which may last.
    void probedWorkerGetsWorkBesideALongProbe()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        suspendWorker(owner);
        submitAndCommit(owner, longRunning(submission(4, 1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 4));
        submitAndCommit(owner, submission(5, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 5));
        owner.advanceTimeWithReports(probeTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 5));
    }

    /// Guards against a worker that waits for the end of a probe which has been cancelled.
    void probedWorkerGetsWorkOnceItsProbeIsCancelled()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, longRunning(submission(1, 1)));
        suspendWorker(owner);
        submitAndCommit(owner, submission(4, 1, 60'000));
        submitAndCommit(owner, submission(5, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 5));
        owner.feed(CallArrived{9, CancelCall{4}});
        owner.confirmStops();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 5));
    }

    /// Guards against many attempts that are used up on a worker which still fails all it starts.
    void probedWorkerGetsOneRunAtATime()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        suspendWorker(owner);
        submitAndCommit(owner, submission(4, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 4));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").back(), RunOutcome::Failed);
        owner.advanceTimeWithReports(suspensionInitial);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 4));
        owner.advanceTimeWithReports(suspensionInitial + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 4));
    }

    /// Guards against a gang that lasts and never starts again once the start of a member was refused, and against counts of ready tasks that wrap: all later
    /// submissions would then be refused.
    void longRunningGangRestartsAfterARefusedStart()
    {
        for (const std::uint32_t refused : {0U, 1U, 2U}) {
            OwnerHarness owner({"agent-1", "agent-2", "agent-3"});
            for (const std::string agent : {"agent-1", "agent-2", "agent-3"}) {
                owner.join(agent, workerMilli);
            }
            submitAndCommit(owner, gang(longRunning(submission(1, 3))));
            refuseMember(owner, refused);
            owner.confirmStops();
            owner.advanceTimeWithReports(avoidanceTimeout + 100ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t(6), startsOf(owner, 1));
            CPPUNIT_ASSERT_EQUAL(0U, owner.state.jobs.at(1).readyTasks);
            owner.submit(2, bestEffort(2, 1));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 2));
        }
    }

    /// Guards against members that run without one whose run has ended, and against a gang that stays down after that.
    void longRunningGangRestartsHoweverAMemberEnds()
    {
        for (const RunOutcome outcome : {RunOutcome::Done, RunOutcome::Failed, RunOutcome::Lapsed, RunOutcome::Stopped, RunOutcome::Broken}) {
            OwnerHarness owner({"agent-1", "agent-2"});
            owner.join("agent-1", workerMilli);
            owner.join("agent-2", workerMilli);
            submitAndCommit(owner, gang(longRunning(submission(1, 2))));
            owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), outcome);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 1));
            owner.confirmStops();
            owner.advanceTimeWithReports(avoidanceTimeout + 100ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), startsOf(owner, 1));
        }
    }

    /// Guards against restarts without delay of a gang of which one member fails at once, again and again.
    void longRunningGangIsDelayedAfterQuickEnds()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        SubmitCall call = gang(longRunning(submission(1, 2)));
        call.spec.steps.front().maxPerWorker = 0;
        submitAndCommit(owner, call);
        for (std::uint32_t i = 0; i <= maxImmediateRestarts; ++i) {
            owner.reportEnd("agent-1", owner.orderedStarts("agent-1").back(), RunOutcome::Failed, 20);
            owner.confirmStops();
        }
        const std::size_t starts = startsOf(owner, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2 + 2 * maxImmediateRestarts), starts);
        owner.advanceTimeWithReports(longRunningRestartDelayInitial + 50ms);
        CPPUNIT_ASSERT_EQUAL(starts + 2, startsOf(owner, 1));
    }

    /// Guards against a gang that lasts and stays down because long tasks occupy all workers.
    void longRunningGangPreemptsOtherWork()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", 3000);
        owner.join("agent-2", 1000);
        submitAndCommit(owner, submission(1, 4, 60'000));
        SubmitCall call = gang(longRunning(submission(2, 3)));
        call.spec.steps.front().maxPerWorker = 2;
        submitAndCommit(owner, call);
        owner.advanceTimeWithReports(preemptionDelay + 100ms);
        owner.confirmStops();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), startsOf(owner, 2));
    }

    /// Guards against jobs that go on waiting for workers which were reserved for a gang that has been cancelled since, until something else happens.
    void cancelledGangLetsOthersStartAtOnce()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 60'000, 20'000));
        submitAndCommit(owner, gang(submission(2, 2, 100, 15'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        submitAndCommit(owner, submission(3, 1, 120'000, 3000));
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 3));
        owner.feed(CallArrived{9, CancelCall{2}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 3));
    }

    /// Guards against an advice service that is asked about one step again and again while its calls for that step fail.
    void stepWhoseCallsFailLetsOthersBeAskedAbout()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, advised(submission(1, 1)));
        submitAndCommit(owner, advised(submission(2, 1)));
        for (int i = 0; i < 5; ++i) {
            const AskAdvice asked = owner.adviceRequests.back();
            const bool answered = asked.step.job == 2;
            owner.feed(AdviceGiven{asked.number, answered, {{"worker-agent-1", "ticket"}}, std::nullopt});
            owner.advanceTimeWithReports(adviceRetryDelayMax);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 2));
    }

    /// Guards against the same with steps whose tickets expire before they find room.
    void stepWithoutRoomLetsOthersBeAskedAbout()
    {
        constexpr auto answerTime = 40ms;
        constexpr std::uint32_t validMs = 350;
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 60'000, 2000));
        for (const JobId job : {JobId(2), JobId(3)}) {
            submitAndCommit(owner, advised(submission(job, 1, 100, workerMilli - 1000)));
        }
        submitAndCommit(owner, advised(submission(4, 1)));
        for (int i = 0; i < 6; ++i) {
            owner.feed(AdviceGiven{owner.adviceRequests.back().number, true, {{"worker-agent-1", "ticket"}}, validMs});
            owner.advanceTime(answerTime);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 4));
    }

    /// Guards against idle workers while long jobs wait to run near their data, where no worker is left.
    void longJobDoesNotWaitLongForAFasterWorker()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        SubmitCall call = submission(1, 1, 60'000);
        call.spec.steps.front().dataRack = "rack-of-no-worker";
        owner.state.settings.remoteFactor = 2.0;
        submitAndCommit(owner, call);
        owner.advanceTimeWithReports(maxPlacementWait + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 1));
    }

    /// Guards against idle workers while a long gang waits for one rack that long tasks occupy.
    void longGangDoesNotWaitLongForOneRack()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.joinOnRack("agent-1", "rack-1", 2000);
        submitAndCommit(owner, submission(1, 1, 60'000));
        owner.joinOnRack("agent-2", "rack-2", 2000);
        submitAndCommit(owner, submission(2, 1, 60'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStarts("agent-2").size());
        SubmitCall call = gang(submission(3, 2, 60'000));
        call.spec.steps.front().sameRack = true;
        submitAndCommit(owner, call);
        owner.advanceTimeWithReports(maxPlacementWait + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 3));
    }

    /// Guards against idle capacity that is kept for a gang while short tasks would be over long before the gang can start.
    void shortWorkRunsWhileAGangWaitsForLongRuns()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 60'000, 20'000));
        submitAndCommit(owner, gang(submission(2, 2, 100, 15'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        owner.submit(3, bestEffort(3, 12));
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), startsOf(owner, 3));
    }

    /// Guards against capacity that stays idle although the gang doesn't need it.
    void longWorkRunsBesideTheRoomOfAGang()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 60'000, 20'000));
        submitAndCommit(owner, gang(submission(2, 2, 100, 15'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        submitAndCommit(owner, submission(3, 5, 120'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 3));
    }

    /// Guards against a gang that waits longer because of work that starts after it.
    void longWorkDoesNotDelayAGang()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 60'000, 20'000));
        submitAndCommit(owner, gang(submission(2, 2, 100, 15'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        submitAndCommit(owner, submission(3, 1, 120'000, 3000));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 3));
    }

    /// Guards against work that is kept out for as long as a run takes that should have ended long ago.
    void runsThatTakeLongerKeepOthersOutForAShortTime()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 100, 20'000));
        submitAndCommit(owner, gang(submission(2, 2, 100, 15'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        submitAndCommit(owner, submission(3, 1, 100, 3000));
        owner.advanceTimeWithReports(reservationHold);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 2));
    }

    /// Guards against a gang that never starts because there is always a task which takes longer than estimated.
    void gangStartsBesideWorkThatAlwaysTakesLonger()
    {
        constexpr std::uint32_t estimateMs = 100;
        constexpr auto runTime = 300ms;
        constexpr auto pause = 50ms;
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 4000);
        JobId next = 100;
        std::size_t ended = 0;
        for (Base::Duration passed{}; passed < starvationTimeout + 2 * reservationCycle && startsOf(owner, 2) == 0; passed += pause) {
            owner.submit(next, bestEffort(next, 1, estimateMs));
            ++next;
            if (passed == pause * 6) {
                owner.submit(2, gang(submission(2, 4)));
            }
            owner.advanceTimeWithReports(pause);
            owner.commit();
            const std::vector<RunRef> starts = owner.orderedStarts("agent-1");
            while (ended < starts.size() && owner.state.now - owner.state.agents.at(0).runs.at(starts.at(ended)).since >= runTime) {
                owner.reportEnd("agent-1", starts.at(ended), RunOutcome::Done, estimateMs);
                ++ended;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), startsOf(owner, 2));
    }

    /// Guards against jobs that wait without a word in the log on what they wait for.
    void longWaitsAreLoggedWithTheirReason()
    {
        SubmitCall tooLarge = submission(0, 1);
        tooLarge.spec.steps.front().need.memoryMb = 1'000'000;
        const std::vector<std::pair<std::string, SubmitCall>> cases{
            {"no-worker", requiring(submission(0, 1), rareLabel)},
            {"too-large", tooLarge},
            {"no-ticket", advised(submission(0, 1))},
            {"no-room", gang(submission(0, 3, 100, 20'000))},
        };
        for (const auto &[reason, call] : cases) {
            OwnerHarness owner({"agent-1", "agent-2"});
            owner.join("agent-1", workerMilli);
            owner.join("agent-2", workerMilli);
            submitBlocked(owner, call);
            owner.advanceTimeWithReports(waitLogDelay);
            owner.submit(1, bestEffort(1, 1));
            const auto logged
                = std::find_if(owner.decisions.begin(), owner.decisions.end(), [](const Decision &decision) { return decision.event == "job.waits"; });
            CPPUNIT_ASSERT(logged != owner.decisions.end());
            CPPUNIT_ASSERT_EQUAL(reason, logged->fields.at(3).second);
        }
    }

private:
    /// Lets an agent refuse the start of the member with this index.
    static void refuseMember(OwnerHarness &owner, std::uint32_t index)
    {
        for (const Agent &agent : std::vector<Agent>(owner.state.agents)) {
            for (const RunRef &run : owner.orderedStarts(agent.name)) {
                if (run.task.index == index) {
                    AgentReport report = owner.report(agent.name);
                    report.refusals.push_back({run, RunRefusal::Reason::Unhealthy});
                    owner.feed(AgentReported{agent.name, report});
                }
            }
        }
    }

    /// Lets tasks of two jobs fail on the first agent's worker, and waits until it may be probed.
    static void suspendWorker(OwnerHarness &owner)
    {
        for (const JobId job : {JobId(2), JobId(3)}) {
            SubmitCall failing = submission(job, 1);
            failing.rules.maxAttempts = 1;
            submitAndCommit(owner, failing);
            CPPUNIT_ASSERT_EQUAL(job, owner.orderedStarts("agent-1").back().task.job);
            owner.reportEnd("agent-1", owner.orderedStarts("agent-1").back(), RunOutcome::Failed);
            commitWithReports(owner);
        }
        owner.advanceTimeWithReports(suspensionInitial);
    }

    /// Checks that a job isn't refused because jobs like the given one wait, also while the workers are full for a moment if \a whileFull is set.
    static void checkNoBacklog(const SubmitCall &blocked, bool whileFull)
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        submitBlocked(owner, blocked);
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        owner.submit(1, bestEffort(1, 2, 100, workerMilli));
        CPPUNIT_ASSERT(!owner.answerTo(1).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 1));
        if (whileFull) {
            owner.submit(2, bestEffort(2, 1));
            CPPUNIT_ASSERT(!owner.answerTo(2).has_value());
            owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 2));
        }
    }

    /// Lets jobs like the given one wait until they go before all others, and checks that another job starts at once.
    static void checkOthersStart(const SubmitCall &blocked)
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        submitBlocked(owner, blocked);
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.submit(1, requiring(bestEffort(1, 2), commonLabel));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestWaiting);
