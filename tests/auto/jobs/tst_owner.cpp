#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

void checkKind(CallAnswer::Kind expected, const std::optional<CallAnswer> &answer)
{
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected), static_cast<int>(answer->kind));
}

void checkState(JobState expected, const std::optional<CallAnswer> &answer)
{
    checkKind(CallAnswer::Kind::State, answer);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected), static_cast<int>(answer->state));
}

} // namespace

class TestOwner : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOwner);
    CPPUNIT_TEST(acceptsOnlyWhatIsStored);
    CPPUNIT_TEST(startsNothingBeforeItIsStored);
    CPPUNIT_TEST(completedOnlyOnceRecorded);
    CPPUNIT_TEST(acknowledgesEndsOnceRecorded);
    CPPUNIT_TEST(repeatedSubmissionIsOneJob);
    CPPUNIT_TEST(failsAfterMaxAttempts);
    CPPUNIT_TEST(retriesElsewhere);
    CPPUNIT_TEST(retryWaitsForAnotherWorker);
    CPPUNIT_TEST(waitsForEarlierSteps);
    CPPUNIT_TEST(cancelStopsTasks);
    CPPUNIT_TEST(refusesWhileTheStoreHangs);
    CPPUNIT_TEST(bestEffortNeedsNoStore);
    CPPUNIT_TEST(bestEffortRepeatedWhileRunning);
    CPPUNIT_TEST(bestEffortAnswerIsKept);
    CPPUNIT_TEST(dropsAbandonedJobs);
    CPPUNIT_TEST(usesOnlyRecordedAgents);
    CPPUNIT_TEST(forgetsAgentsThatLeft);
    CPPUNIT_TEST(silentAgentsTasksRestartAfterTheirLease);
    CPPUNIT_TEST(tokensOfAFormerLinkAreNotEchoed);
    CPPUNIT_TEST(startInFlightIsNotRepeated);
    CPPUNIT_TEST(startInDoubtAtARestartOfItsWorkerIsNotRepeated);
    CPPUNIT_TEST(lostStartIsOrderedAgainOnceItIsStopped);
    CPPUNIT_TEST(lostStopIsOrderedAgain);
    CPPUNIT_TEST(endsOfTerminatedWorkerCount);
    CPPUNIT_TEST(higherEpochEndsTheOwnership);
    CPPUNIT_TEST(drainingWorkerGetsNothing);
    CPPUNIT_TEST(countsUnstartedJobs);
    CPPUNIT_TEST(queryLearnsOfTheEndAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against accepting a job before it is stored: the job would be lost with the owner.
    void acceptsOnlyWhatIsStored()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 2));
        CPPUNIT_ASSERT(!owner.answerTo(1).has_value());
        owner.commit();
        checkKind(CallAnswer::Kind::Accepted, owner.answerTo(1));
    }

    /// Guards against a task that runs although its job is refused in the end because it could not be stored.
    void startsNothingBeforeItIsStored()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.commit();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
    }

    /// Guards against a job that is reported as completed and runs again because its end was not recorded before the owner was
    /// lost.
    void completedOnlyOnceRecorded()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 1));
        owner.commitAll();
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        owner.advanceTime(50ms);
        owner.feed(CallArrived{2, QueryCall{7}});
        owner.advanceTime(queryHoldDuration);
        checkState(JobState::Running, owner.answerTo(2));
        owner.commitAll();
        owner.feed(CallArrived{3, QueryCall{7}});
        checkState(JobState::Completed, owner.answerTo(3));
    }

    /// Guards against a task that runs a second time: its end was acknowledged to the worker before it was recorded, so the
    /// next owner does not learn of it.
    void acknowledgesEndsOnceRecorded()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 2));
        owner.commit();
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        owner.advanceTime(ordersKeepAliveInterval);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), owner.endsRecorded["agent-1"]);
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), owner.endsRecorded["agent-1"]);
    }

    /// Guards against running a job twice that is submitted again while it is being stored, while it runs or after its end.
    void repeatedSubmissionIsOneJob()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 2));
        owner.submit(2, submission(7, 2));
        owner.commitAll();
        owner.submit(3, submission(7, 2));
        for (const RunRef &run : owner.orderedStarts("agent-1")) {
            owner.reportEnd("agent-1", run, RunOutcome::Done);
        }
        owner.commitAll();
        owner.submit(4, submission(7, 2));
        owner.commitAll();
        for (const CallId call : {1U, 2U, 3U, 4U}) {
            checkKind(CallAnswer::Kind::Accepted, owner.answerTo(call));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
    }

    /// Guards against more attempts than the queue allows.
    void failsAfterMaxAttempts()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 1));
        owner.commitAll();
        constexpr std::size_t maxAttempts = 3;
        for (std::size_t attempt = 0; attempt < maxAttempts; ++attempt) {
            CPPUNIT_ASSERT_EQUAL(attempt + 1, owner.orderedStartCount());
            owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(attempt), RunOutcome::Failed);
            owner.commitAll();
        }
        CPPUNIT_ASSERT_EQUAL(maxAttempts, owner.orderedStartCount());
        owner.feed(CallArrived{2, QueryCall{7}});
        checkState(JobState::Failed, owner.answerTo(2));
    }

    /// Guards against a second failure on the same bad worker while other workers have free capacity.
    void retriesElsewhere()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1");
        owner.join("agent-2");
        owner.submit(1, bestEffort(7, 1));
        const std::string first = owner.orderedStarts("agent-1").empty() ? "agent-2" : "agent-1";
        const std::string other = first == "agent-1" ? "agent-2" : "agent-1";
        owner.reportEnd(first, owner.orderedStarts(first).at(0), RunOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStarts(other).size());
    }

    /// Guards against using up all attempts on one bad worker while the others are full for a moment.
    void retryWaitsForAnotherWorker()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", 1000);
        owner.submit(1, bestEffort(7, 1));
        owner.join("agent-2", 1000);
        owner.submit(2, bestEffort(8, 1));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStarts("agent-1").size());
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStarts("agent-2").size());
    }

    /// Guards against a step that starts before all tasks of the steps it depends on are done.
    void waitsForEarlierSteps()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        SubmitCall call = bestEffort(7, 2);
        call.spec.steps.push_back(call.spec.steps.front());
        call.spec.steps.back().after = {0};
        owner.submit(1, call);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(1), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(1), owner.orderedStarts("agent-1").at(2).task.step);
    }

    /// Guards against tasks that run on after their job was cancelled.
    void cancelStopsTasks()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 2));
        owner.commitAll();
        owner.feed(CallArrived{2, CancelCall{7}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStops("agent-1").size());
        CPPUNIT_ASSERT(!owner.answerTo(2).has_value());
        owner.commitAll();
        checkKind(CallAnswer::Kind::Accepted, owner.answerTo(2));
        for (const RunRef &run : owner.orderedStarts("agent-1")) {
            owner.reportEnd("agent-1", run, RunOutcome::Stopped);
        }
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
    }

    /// Guards against callers that wait for a store which does not respond, and against refusing best-effort jobs, which need
    /// no store.
    void refusesWhileTheStoreHangs()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 1));
        owner.advanceTime(commitStallTimeout + 10ms);
        owner.submit(2, submission(8, 1));
        checkKind(CallAnswer::Kind::Unavailable, owner.answerTo(2));
        owner.submit(3, bestEffort(9, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    /// Guards against commits to the store for jobs that are never stored.
    void bestEffortNeedsNoStore()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, bestEffort(7, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        CPPUNIT_ASSERT(!owner.answerTo(1).has_value());
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(1), RunOutcome::Done);
        checkState(JobState::Completed, owner.answerTo(1));
        CPPUNIT_ASSERT(owner.commits.empty());
        owner.advanceTime(ordersKeepAliveInterval);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), owner.endsRecorded["agent-1"]);
    }

    /// Guards against two concurrent runs of a task whose job is resubmitted while it runs.
    void bestEffortRepeatedWhileRunning()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, bestEffort(7, 1));
        owner.submit(2, bestEffort(7, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        checkState(JobState::Completed, owner.answerTo(1));
        checkState(JobState::Completed, owner.answerTo(2));
    }

    /// Guards against running a job again because its answer was lost and its caller resubmits it.
    void bestEffortAnswerIsKept()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, bestEffort(7, 1));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        owner.submit(2, bestEffort(7, 1));
        checkState(JobState::Completed, owner.answerTo(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    /// Guards against workers that are busy with jobs whose callers have stopped waiting.
    void dropsAbandonedJobs()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        SubmitCall call = bestEffort(7, 2);
        call.callerTimeoutMs = 500;
        owner.submit(1, call);
        owner.advanceTime(510ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStops("agent-1").size());
        owner.confirmStops();
        CPPUNIT_ASSERT(owner.state.ready.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
        owner.advanceTime(defaultCallerTimeout + defaultResubmitDelayMax);
        CPPUNIT_ASSERT(owner.state.jobs.empty());
    }

    /// Guards against starting tasks on an agent that is not in the owner record yet: the next owner would not wait for the
    /// agent's runs to end.
    void usesOnlyRecordedAgents()
    {
        OwnerHarness owner({});
        owner.join("agent-1");
        owner.submit(1, bestEffort(7, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.commit());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    /// Guards against a next owner that waits for an agent which left without runs, or does not wait for one that has runs.
    void forgetsAgentsThatLeft()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1");
        owner.submit(1, bestEffort(7, 1));
        owner.join("agent-2");
        owner.feed(AgentUnlinked{"agent-1"});
        owner.feed(AgentUnlinked{"agent-2"});
        CPPUNIT_ASSERT(!owner.commit());
        owner.advanceTime(unlinkedAgentRetention + 10ms);
        CPPUNIT_ASSERT(owner.commit());
        CPPUNIT_ASSERT(owner.state.recorder.recordedAgents() == std::vector<std::string>{"agent-1"});
    }

    /// Guards against a second run of a task while the lease of the first may still be valid, and against waiting for ever.
    void silentAgentsTasksRestartAfterTheirLease()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1");
        owner.submit(1, bestEffort(7, 1));
        owner.join("agent-2");
        owner.feed(AgentUnlinked{"agent-1"});
        owner.advanceTime(runExpiryTimeout - 20ms);
        owner.feed(AgentReported{"agent-2", owner.report("agent-2")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStarts("agent-2").size());
        owner.advanceTime(30ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStarts("agent-2").size());
    }

    /// Guards against an agent that goes on renewing leases without its owner, which starts the tasks elsewhere: after its machine has started again, the
    /// clock from which it takes its tokens begins anew, and a token of the former process never grows old.
    void tokensOfAFormerLinkAreNotEchoed()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        const std::int64_t former = owner.report("agent-1").token;
        owner.feed(AgentUnlinked{"agent-1"});
        owner.feed(AgentLinked{"agent-1"});
        CPPUNIT_ASSERT(owner.echoes.at("agent-1") == 0);
        AgentReport first = owner.report("agent-1");
        first.token = former / 2;
        owner.feed(AgentReported{"agent-1", first});
        owner.advanceTime(ordersKeepAliveInterval);
        CPPUNIT_ASSERT_EQUAL(first.token, owner.echoes.at("agent-1"));
    }

    /// Guards against a second run of a task elsewhere while the restarted worker may still execute the first start call late.
    void startInDoubtAtARestartOfItsWorkerIsNotRepeated()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, bestEffort(7, 1));
        const RunRef run = owner.orderedStarts("agent-1").at(0);
        owner.join("agent-2");
        owner.commitAll();
        AgentReport restarted = owner.report("agent-1");
        restarted.full = true;
        restarted.worker = owner.state.agents[0].worker;
        restarted.worker->startTimeMs += 5000;
        restarted.running = {{run, {1000, 64, 0}}};
        owner.feed(AgentReported{"agent-1", restarted});
        owner.feed(AgentReported{"agent-2", owner.report("agent-2")});
        CPPUNIT_ASSERT(owner.orderedStarts("agent-2").empty());
        AgentReport refused = owner.report("agent-1");
        refused.refusals = {{run, RunRefusal::Reason::NoAnswer}};
        owner.feed(AgentReported{"agent-1", refused});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStarts("agent-2").size());
    }

    /// Guards against starting a task again because a full report, sent before the agent received the start, does not list the
    /// run.
    void startInFlightIsNotRepeated()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        AgentReport crossing = owner.report("agent-1");
        owner.submit(1, bestEffort(7, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        crossing.full = true;
        owner.feed(AgentReported{"agent-1", crossing});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    /// Guards against a task that never starts because its start order was lost with the link, and against a second run of it: the agent may
    /// be a new process whose predecessor sent the start call. The task starts again once a stop has made that impossible.
    void lostStartIsOrderedAgainOnceItIsStopped()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, bestEffort(7, 1));
        const RunRef run = owner.orderedStarts("agent-1").at(0);
        owner.feed(AgentUnlinked{"agent-1"});
        owner.join("agent-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").at(0) == run);
        AgentReport refused = owner.report("agent-1");
        refused.refusals = {{run, RunRefusal::Reason::Stale}};
        owner.feed(AgentReported{"agent-1", refused});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.orderedStarts("agent-1").at(1).run > owner.orderedStarts("agent-1").at(0).run);
    }

    /// Guards against a cancelled task that runs on because its stop order was lost with the link.
    void lostStopIsOrderedAgain()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 1));
        owner.commitAll();
        const RunRef run = owner.orderedStarts("agent-1").at(0);
        owner.feed(AgentUnlinked{"agent-1"});
        owner.feed(CallArrived{2, CancelCall{7}});
        owner.join("agent-1", 8000, {{run, {1000, 64, 0}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
    }

    /// Guards against losing the ends that a report brings together with the termination of their worker.
    void endsOfTerminatedWorkerCount()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, bestEffort(7, 1));
        AgentReport last = owner.report("agent-1");
        last.workerTerminated = true;
        last.ends.push_back({1, owner.orderedStarts("agent-1").at(0), RunOutcome::Done, 50});
        owner.feed(AgentReported{"agent-1", last});
        checkState(JobState::Completed, owner.answerTo(1));
    }

    /// Guards against a former owner that keeps sending orders after another entry took over.
    void higherEpochEndsTheOwnership()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        AgentReport report = owner.report("agent-1");
        report.epoch = owner.state.epoch + 1;
        owner.feed(AgentReported{"agent-1", report});
        CPPUNIT_ASSERT(owner.steppedDown.has_value());
    }

    /// Guards against starting tasks on a worker that is draining.
    void drainingWorkerGetsNothing()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        AgentReport draining = owner.report("agent-1");
        draining.worker = *owner.state.agents.front().worker;
        draining.worker->draining = true;
        owner.feed(AgentReported{"agent-1", draining});
        owner.submit(1, bestEffort(7, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
    }

    /// Guards against a wrong count of jobs of which no task has started.
    void countsUnstartedJobs()
    {
        OwnerHarness owner({"agent-1"});
        owner.submit(1, submission(7, 1));
        owner.submit(2, submission(8, 1));
        owner.commitAll();
        owner.feed(CallArrived{3, CountCall{"queue"}});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), owner.answerTo(3)->count);
        owner.join("agent-1");
        owner.feed(CallArrived{4, CountCall{"queue"}});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), owner.answerTo(4)->count);
    }

    /// Guards against callers that learn of a job's end only with their next query.
    void queryLearnsOfTheEndAtOnce()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 1));
        owner.commitAll();
        owner.feed(CallArrived{2, QueryCall{7}});
        CPPUNIT_ASSERT(!owner.answerTo(2).has_value());
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        owner.advanceTime(20ms);
        owner.commit();
        checkState(JobState::Completed, owner.answerTo(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOwner);
