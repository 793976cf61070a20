#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

constexpr Base::Duration longestResubmitWindow = defaultCallerTimeout + defaultResubmitDelayMax + 100ms; ///< For callers with short timeouts.

/// Returns the agent that was ordered first to start the task of the only job.
std::string startedOn(const OwnerHarness &owner, std::uint32_t index)
{
    for (const Agent &agent : owner.state.agents) {
        const std::vector<RunRef> starts = owner.orderedStarts(agent.name);
        if (!starts.empty() && starts.front().task.index == index) {
            return agent.name;
        }
    }
    return {};
}

std::uint64_t acknowledgedEnds(OwnerHarness &owner)
{
    owner.advanceTime(ordersKeepAliveInterval);
    return owner.endsRecorded["agent-1"];
}

/// Reports that the worker of agent-1 has terminated, then that it is back and lists all ends that it was not told to forget.
void listEndsAgain(OwnerHarness &owner, std::vector<RunEnd> ends)
{
    AgentReport terminated = owner.report("agent-1");
    terminated.workerTerminated = true;
    owner.feed(AgentReported{"agent-1", std::move(terminated)});
    owner.join("agent-1", 8000, {}, std::move(ends));
}

} // namespace

/// Each record that keeps a task from a second start.
class TestRepeatedStarts : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRepeatedStarts);
    CPPUNIT_TEST(abandonedJobWaitsForItsFormerRuns);
    CPPUNIT_TEST(failedJobWaitsForItsFormerRuns);
    CPPUNIT_TEST(gangWaitsForRunsOfOtherNumbers);
    CPPUNIT_TEST(endOfAFormerRunCounts);
    CPPUNIT_TEST(lostWorkerHoldsNoTaskBack);
    CPPUNIT_TEST(endsListedAgainWaitForTheRecord);
    CPPUNIT_TEST(endsListedAgainWaitForTheFinalState);
    CPPUNIT_TEST(failuresListedAgainWaitForTheRecord);
    CPPUNIT_TEST(cancelledJobIsNotRunAgain);
    CPPUNIT_TEST(jobBeingFinishedIsNotRunAgain);
    CPPUNIT_TEST(finalStateIsKeptForLateSubmissions);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a second run of a best-effort task whose job was forgotten, and is submitted again, while the stop of its run takes long.
    void abandonedJobWaitsForItsFormerRuns()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1");
        owner.join("agent-2");
        SubmitCall call = bestEffort(7, 1);
        call.callerTimeoutMs = 300;
        owner.submit(1, call);
        owner.advanceTimeWithReports(400ms + longestResubmitWindow);
        CPPUNIT_ASSERT(owner.state.jobs.empty());
        owner.submit(2, call);
        owner.advanceTimeWithReports(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        owner.confirmStops();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
    }

    /// Guards against the same with a job that has failed and whose answer is forgotten, while one of its other tasks is still being stopped.
    void failedJobWaitsForItsFormerRuns()
    {
        OwnerHarness owner({"agent-1", "agent-2", "agent-3"});
        for (const char *agent : {"agent-1", "agent-2", "agent-3"}) {
            owner.join(agent, 1000);
        }
        SubmitCall call = bestEffort(7, 2);
        call.rules = queueRules("queue", 1);
        owner.submit(1, call);
        const std::string failedOn = startedOn(owner, 0);
        owner.reportEnd(failedOn, owner.orderedStarts(failedOn).at(0), RunOutcome::Failed);
        owner.advanceTimeWithReports(longestResubmitWindow);
        CPPUNIT_ASSERT(owner.state.recentBestEffort.empty());
        owner.submit(2, call);
        owner.advanceTimeWithReports(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.orderedStartCount());
        owner.confirmStops();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), owner.orderedStartCount());
    }

    /// Guards against a gang that starts while a run of a member from another start of the gang, which could not be adopted, is being stopped.
    void gangWaitsForRunsOfOtherNumbers()
    {
        SubmitCall call = submission(7, 2);
        call.spec.steps[0].gang = true;
        OwnerHarness owner({"agent-1", "agent-2"}, 3, {{7, call.rules, call.spec, {0, 0}, {0, 0}, {}}});
        owner.join("agent-1", 8000, {possibleRun(7, 0, 1)});
        owner.join("agent-2", 8000, {possibleRun(7, 1, 2)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-2").size());
        owner.reportEnd("agent-1", {{7, 0, 0}, 1}, RunOutcome::Stopped);
        owner.advanceTimeWithReports(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.reportEnd("agent-2", {{7, 0, 1}, 2}, RunOutcome::Stopped);
        owner.advanceTimeWithReports(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
    }

    /// Guards against a second run of a task whose former run was done before it was stopped.
    void endOfAFormerRunCounts()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1");
        owner.join("agent-2");
        SubmitCall call = bestEffort(7, 1);
        call.callerTimeoutMs = 300;
        owner.submit(1, call);
        owner.advanceTimeWithReports(400ms + longestResubmitWindow);
        owner.submit(2, call);
        const std::string agent = startedOn(owner, 0);
        owner.reportEnd(agent, owner.orderedStarts(agent).at(0), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.answerTo(2) && owner.answerTo(2)->state == JobState::Completed);
    }

    /// Guards against a task that never starts because the worker of its former run is lost.
    void lostWorkerHoldsNoTaskBack()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", 1000);
        owner.join("agent-2", 1000);
        SubmitCall call = bestEffort(7, 1);
        call.callerTimeoutMs = 300;
        owner.submit(1, call);
        const std::string other = startedOn(owner, 0) == "agent-1" ? "agent-2" : "agent-1";
        owner.advanceTimeWithReports(400ms + longestResubmitWindow);
        call.callerTimeoutMs = 10'000;
        owner.submit(2, call);
        for (Base::Duration waited{}; waited <= runExpiryTimeout - 200ms; waited += 100ms) {
            owner.feed(AgentReported{other, owner.report(other)});
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
            owner.advanceTime(100ms);
        }
        owner.feed(AgentReported{other, owner.report(other)});
        owner.advanceTime(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStarts(other).size());
    }

    /// Guards against an end that the worker may forget before it is recorded, as it lists the end again; the next owner would repeat the task.
    void endsListedAgainWaitForTheRecord()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 2));
        owner.commit();
        const RunRef run = owner.orderedStarts("agent-1").at(0);
        owner.reportEnd("agent-1", run, RunOutcome::Done);
        listEndsAgain(owner, {{1, run, RunOutcome::Done, 100}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), acknowledgedEnds(owner));
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), acknowledgedEnds(owner));
    }

    /// Guards against the same while the commit with the job's final state takes long.
    void endsListedAgainWaitForTheFinalState()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 1));
        owner.commit();
        const RunRef run = owner.orderedStarts("agent-1").at(0);
        owner.reportEnd("agent-1", run, RunOutcome::Done);
        listEndsAgain(owner, {{1, run, RunOutcome::Done, 100}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), acknowledgedEnds(owner));
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), acknowledgedEnds(owner));
    }

    /// Guards against a failure that no owner counts, as the worker forgets it before it is recorded.
    void failuresListedAgainWaitForTheRecord()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", 1000);
        owner.submit(1, submission(7, 1));
        owner.commit();
        const RunRef run = owner.orderedStarts("agent-1").at(0);
        owner.join("agent-2", 1000);
        owner.reportEnd("agent-1", run, RunOutcome::Failed);
        listEndsAgain(owner, {{1, run, RunOutcome::Failed, 100}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), acknowledgedEnds(owner));
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), acknowledgedEnds(owner));
    }

    /// Guards against a cancelled job that runs when a late submission of it arrives, also before its final state is stored.
    void cancelledJobIsNotRunAgain()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 1));
        owner.commit();
        owner.feed(CallArrived{2, CancelCall{7}});
        owner.confirmStops();
        owner.submit(3, submission(7, 1));
        owner.commitAll();
        owner.submit(4, submission(7, 1));
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Cancelled);
    }

    /// Guards against a job that starts again because it is submitted again between its last end and its final state.
    void jobBeingFinishedIsNotRunAgain()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 1));
        owner.commit();
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        owner.submit(2, submission(7, 1));
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Completed);
    }

    /// Guards against a completed job that runs again because its final state is forgotten while callers may still ask for it.
    void finalStateIsKeptForLateSubmissions()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, submission(7, 1));
        owner.commit();
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        owner.commitAll();
        owner.advanceTimeWithReports(defaultFinalStateRetention - 10s);
        owner.submit(2, submission(7, 1));
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRepeatedStarts);
