#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

WorkerInfo workerInfo()
{
    return {"worker-1", 1'700'000'000'000, service, "domain-1", "a", "rack-1", {"a", "rack-1"}, {8000, 65'536, 0}, false};
}

} // namespace

/// Tests what an owner does with tasks of stored jobs while the store doesn't confirm it, and with ends that its agents have kept for long.
class TestStoredWork : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoredWork);
    CPPUNIT_TEST(storedJobsWaitForTheStore);
    CPPUNIT_TEST(storedJobsStartInAShortOutage);
    CPPUNIT_TEST(outageOfStoredJobsCountsFromTheLastProof);
    CPPUNIT_TEST(lateProofsKeepStoredJobsStarting);
    CPPUNIT_TEST(storedTaskOfASilentAgentWaitsForTheStore);
    CPPUNIT_TEST(storedTaskOfAnUnreportedAgentWaitsForTheStore);
    CPPUNIT_TEST(storedRunsEndBeforeASuccessorRepeatsThem);
    CPPUNIT_TEST(adoptedStoredRunsEndWithoutTheStore);
    CPPUNIT_TEST(longRunningTasksEndBeforeASuccessorRepeatsThem);
    CPPUNIT_TEST(endOfARepeatedTaskIsAcknowledgedAfterALapse);
    CPPUNIT_TEST(endReportedInTimeNeedsNoLapse);
    CPPUNIT_TEST(lastingTaskThatEndsNeedsNoLapse);
    CPPUNIT_TEST(newProcessOfAnAgentIsNotLate);
    CPPUNIT_TEST(endOfASkippedOwnerNeedsALapse);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an owner that goes on starting tasks of stored jobs, which a successor reads from the store and starts too once its
    /// longest wait is over. Best-effort jobs are served in an outage of any length.
    void storedJobsWaitForTheStore()
    {
        OwnerHarness owner({"agent-1"}, 2, {jobRecord(7, 1)});
        owner.feed(AuthorityRenewed{owner.state.now + 1h, false, owner.state.now - ownerAuthorityTimeout});
        owner.advanceTime(storedWorkTimeout);
        owner.join("agent-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.submit(1, bestEffort(8, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        owner.feed(AuthorityRenewed{owner.state.now + 1h, true});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
    }

    /// Guards against stored jobs that stop in a short outage.
    void storedJobsStartInAShortOutage()
    {
        OwnerHarness owner({"agent-1"}, 2, {jobRecord(7, 1)});
        owner.feed(AuthorityRenewed{owner.state.now + 1h, false, owner.state.now - ownerAuthorityTimeout});
        owner.advanceTime(storedWorkTimeout - ownerAuthorityTimeout - 100ms);
        owner.join("agent-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    /// Guards against tasks of stored jobs that an owner which stood still starts after its successor's longest wait is over.
    void outageOfStoredJobsCountsFromTheLastProof()
    {
        OwnerHarness owner({"agent-1"}, 2, {jobRecord(7, 1)});
        const Base::MonoTime lastProof = owner.state.now;
        owner.feed(AuthorityRenewed{owner.state.now + ownerAuthorityTimeout, true, lastProof});
        owner.advanceTime(5s);
        owner.feed(AuthorityRenewed{owner.state.now + 1h, false, lastProof});
        owner.advanceTime(lastProof + storedWorkTimeout - owner.state.now);
        owner.join("agent-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
    }

    /// Guards against stored jobs that stop for as long as the store answers each call after a second.
    void lateProofsKeepStoredJobsStarting()
    {
        OwnerHarness owner({"agent-1"}, 2, {jobRecord(7, 1)});
        for (Base::Duration passed{}; passed < 2 * storedWorkTimeout; passed += 500ms) {
            owner.feed(AuthorityRenewed{owner.state.now + 1h, false, owner.state.now - 1s});
            owner.advanceTime(500ms);
        }
        owner.join("agent-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    /// Guards against a start after an end that a successor has recorded: an owner cut off from the store takes a run as lost whose agent follows the
    /// successor. Tasks that were never started go on, and so do best-effort jobs, whose ends are not recorded.
    void storedTaskOfASilentAgentWaitsForTheStore()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {jobRecord(7, 1)});
        owner.join("agent-1");
        owner.join("agent-2", 1000, {possibleRun(9, 0, 1)});
        owner.submit(1, bestEffort(8, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStarts("agent-1").size());
        const Base::MonoTime lastProof = owner.state.now;
        owner.feed(AuthorityRenewed{owner.state.now + 1h, false, lastProof});
        reportFrom(owner, "agent-2", runExpiryTimeout + 100ms);
        owner.reportEnd("agent-2", {{9, 0, 0}, 1}, RunOutcome::Stopped);
        CPPUNIT_ASSERT((owner.orderedStarts("agent-2") == std::vector<RunRef>{{{8, 0, 0}, static_cast<std::uint32_t>(runsPerEpoch) + 2}}));
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStarts("agent-2").size());
        owner.feed(AuthorityRenewed{owner.state.now + 1h, false, owner.state.now});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStarts("agent-2").size());
    }

    /// Guards against the same when the run is a former owner's and its agent hasn't reported.
    void storedTaskOfAnUnreportedAgentWaitsForTheStore()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {jobRecord(7, 1)});
        owner.join("agent-1");
        const Base::MonoTime lastProof = owner.state.now;
        owner.feed(FormerOwnersFenced{});
        owner.feed(AuthorityRenewed{owner.state.now + 1h, false, lastProof});
        reportFrom(owner, "agent-1", formerRunExpiryTimeout + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.feed(AuthorityRenewed{owner.state.now + 1h, false, owner.state.now});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    /// Guards against a long task of a stored job that its owner keeps running without the store, while a successor that can't reach the agent
    /// starts it again after its longest wait.
    void storedRunsEndBeforeASuccessorRepeatsThem()
    {
        OwnerHarness owner({"agent-1"}, 2, {jobRecord(7, 1)});
        owner.join("agent-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        owner.feed(AuthorityRenewed{owner.state.now + 1h, false, owner.state.now});
        owner.advanceTimeWithReports(unfencedRunExpiryTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
    }

    /// Guards against the same for a run that an agent reports when the owner has no proof from the store any more.
    void adoptedStoredRunsEndWithoutTheStore()
    {
        OwnerHarness owner({"agent-1"}, 2, {jobRecord(7, 1)});
        owner.feed(AuthorityRenewed{owner.state.now + 1h, false, owner.state.now});
        owner.advanceTime(storedWorkTimeout);
        owner.join("agent-1", 8000, {possibleRun(7, 0, 1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
    }

    /// Guards against the same for a task that runs until it is cancelled.
    void longRunningTasksEndBeforeASuccessorRepeatsThem()
    {
        JobRecord record = jobRecord(7, 1);
        record.spec.steps[0].longRunning = true;
        OwnerHarness owner({"agent-1"}, 2, {record});
        owner.join("agent-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        owner.feed(AuthorityRenewed{owner.state.now + 1h, false, owner.state.now});
        owner.advanceTimeWithReports(unfencedRunExpiryTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
    }

    /// Guards against an end that is acknowledged although its task has started again: an agent was cut off for longer than the owner waits, and lists an end
    /// of a former owner's run afterwards.
    void endOfARepeatedTaskIsAcknowledgedAfterALapse()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {jobRecord(7, 1)});
        owner.join("agent-1");
        owner.advanceTimeWithReports(unfencedRunExpiryTimeout + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStarts("agent-1").size());
        owner.join("agent-2", 8000, {}, {{1, {{7, 0, 0}, 1}, RunOutcome::Done, 10}});
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), owner.endsToLapse.at("agent-2"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), owner.endsRecorded.at("agent-2"));
        CPPUNIT_ASSERT(owner.state.jobs.at(7).tasks[0].phase == Task::Phase::Active);
    }

    /// Guards against a lapse, which ends all runs of the worker, at each change of the owner.
    void endReportedInTimeNeedsNoLapse()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {jobRecord(7, 1)});
        owner.join("agent-1");
        owner.join("agent-2", 8000, {}, {{1, {{7, 0, 0}, 1}, RunOutcome::Done, 10}});
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), owner.endsToLapse.at("agent-2"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), owner.endsRecorded.at("agent-2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
    }

    /// Guards against a lapse, which ends all runs of the worker, for the end of a task that starts again however it ends.
    void lastingTaskThatEndsNeedsNoLapse()
    {
        JobRecord record = jobRecord(7, 1);
        record.spec.steps[0].longRunning = true;
        OwnerHarness owner({"agent-1"}, 3, {record});
        owner.join("agent-1", 8000, {possibleRun(7, 0, 1)});
        owner.reportEnd("agent-1", {{7, 0, 0}, 1}, RunOutcome::Failed);
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), owner.endsToLapse.at("agent-1"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), owner.endsRecorded.at("agent-1"));
    }

    /// Guards against a lapse, and a finished run that is repeated, since an agent that had reported in time has started again and names no former owner.
    void newProcessOfAnAgentIsNotLate()
    {
        OwnerHarness owner({"agent-1"}, 3, {jobRecord(7, 1)});
        AgentReport report = owner.report("agent-1");
        report.full = true;
        report.formerEpoch = 2;
        report.worker = workerInfo();
        report.running = {possibleRun(7, 0, 1)};
        owner.feed(AgentLinked{"agent-1"});
        owner.feed(AgentReported{"agent-1", report});
        owner.feed(AgentUnlinked{"agent-1"});
        report.formerEpoch = 0;
        owner.feed(AgentLinked{"agent-1"});
        owner.feed(AgentReported{"agent-1", report});
        owner.reportEnd("agent-1", {{7, 0, 0}, 1}, RunOutcome::Done);
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), owner.endsToLapse.at("agent-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
    }

    /// Guards against the same when an owner that the agent hasn't followed has started the task again: the agent reports to the next one in time.
    void endOfASkippedOwnerNeedsALapse()
    {
        OwnerHarness owner({"agent-1"}, 3, {jobRecord(7, 1)});
        owner.join("agent-1", 8000, {}, {{1, {{7, 0, 0}, 1}, RunOutcome::Done, 10}});
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), owner.endsToLapse.at("agent-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

private:
    /// Lets the time pass with reports of one agent only.
    static void reportFrom(OwnerHarness &owner, const std::string &agent, Base::Duration time)
    {
        for (Base::Duration waited{}; waited < time; waited += 100ms) {
            owner.advanceTime(100ms);
            owner.feed(AgentReported{agent, owner.report(agent)});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoredWork);
