#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

SubmitCall checkpointingSubmission(JobId id, std::uint32_t tasks)
{
    SubmitCall call = submission(id, tasks, 5000);
    call.spec.steps.front().checkpointing = true;
    return call;
}

} // namespace

class TestCheckpoints : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCheckpoints);
    CPPUNIT_TEST(resumesFromCheckpointOfTheEnd);
    CPPUNIT_TEST(resumesAfterTheWorkerIsLost);
    CPPUNIT_TEST(ignoresLateCheckpointsOfEarlierRuns);
    CPPUNIT_TEST(tasksKeepTheirOwnCheckpoints);
    CPPUNIT_TEST(gangsResumeTogether);
    CPPUNIT_TEST(nextOwnerResumes);
    CPPUNIT_TEST(checkpointsAreRecordedWithFailures);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against repeating work after a failure although the end of the run brought a checkpoint.
    void resumesFromCheckpointOfTheEnd()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, checkpointingSubmission(7, 1));
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::string(), owner.orderedCheckpoint(owner.orderedStarts("agent-1").at(0)));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Failed, 100, "at-40");
        CPPUNIT_ASSERT_EQUAL(std::string("at-40"), owner.orderedCheckpoint(owner.orderedStarts("agent-1").at(1)));
    }

    /// Guards against losing a checkpoint with its worker: a terminated worker reports no end of the run.
    void resumesAfterTheWorkerIsLost()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1");
        owner.submit(1, checkpointingSubmission(7, 1));
        owner.commitAll();
        owner.saveCheckpoint("agent-1", owner.orderedStarts("agent-1").at(0), "at-70");
        owner.join("agent-2");
        AgentReport terminated = owner.report("agent-1");
        terminated.workerTerminated = true;
        owner.feed(AgentReported{"agent-1", terminated});
        CPPUNIT_ASSERT_EQUAL(std::string("at-70"), owner.orderedCheckpoint(owner.orderedStarts("agent-2").at(0)));
    }

    /// Guards against falling back to an older checkpoint when reports about an earlier run arrive late or twice.
    void ignoresLateCheckpointsOfEarlierRuns()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, checkpointingSubmission(7, 1));
        owner.commitAll();
        const RunRef first = owner.orderedStarts("agent-1").at(0);
        owner.reportEnd("agent-1", first, RunOutcome::Stopped, 100, "at-50");
        owner.saveCheckpoint("agent-1", first, "at-30");
        owner.saveCheckpoint("agent-1", owner.orderedStarts("agent-1").at(1), "at-60");
        owner.reportEnd("agent-1", first, RunOutcome::Stopped, 100, "at-50");
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(1), RunOutcome::Lapsed);
        CPPUNIT_ASSERT_EQUAL(std::string("at-60"), owner.orderedCheckpoint(owner.orderedStarts("agent-1").at(2)));
    }

    /// Guards against a task that resumes from the checkpoint of another task of its step.
    void tasksKeepTheirOwnCheckpoints()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, checkpointingSubmission(7, 2));
        owner.commitAll();
        const std::vector<RunRef> runs = owner.orderedStarts("agent-1");
        owner.saveCheckpoint("agent-1", runs.at(0), "first");
        owner.reportEnd("agent-1", runs.at(1), RunOutcome::Lapsed);
        owner.reportEnd("agent-1", runs.at(0), RunOutcome::Lapsed);
        CPPUNIT_ASSERT_EQUAL(std::string(), owner.orderedCheckpoint(owner.orderedStarts("agent-1").at(2)));
        CPPUNIT_ASSERT_EQUAL(std::string("first"), owner.orderedCheckpoint(owner.orderedStarts("agent-1").at(3)));
    }

    /// Guards against members of a gang that resume from different checkpoints because only one of them reported the latest.
    void gangsResumeTogether()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        SubmitCall call = checkpointingSubmission(7, 2);
        call.spec.steps.front().gang = true;
        owner.submit(1, call);
        owner.commitAll();
        owner.saveCheckpoint("agent-1", owner.orderedStarts("agent-1").at(0), "both");
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Lapsed);
        owner.confirmStops();
        CPPUNIT_ASSERT_EQUAL(std::string("both"), owner.orderedCheckpoint(owner.orderedStarts("agent-1").at(2)));
        CPPUNIT_ASSERT_EQUAL(std::string("both"), owner.orderedCheckpoint(owner.orderedStarts("agent-1").at(3)));
    }

    /// Guards against losing a checkpoint with the memory of the former owner: the new owner learns of it from the agent's
    /// report.
    void nextOwnerResumes()
    {
        const SubmitCall call = checkpointingSubmission(7, 1);
        OwnerHarness owner({"agent-1"}, 2, {{7, call.rules, call.spec, {0}, {0}, {}}});
        owner.join("agent-1", 8000, {{{{7, 0, 0}, 1}, {1000, 64, 0}, "at-60"}});
        owner.reportEnd("agent-1", {{7, 0, 0}, 1}, RunOutcome::Lapsed);
        CPPUNIT_ASSERT_EQUAL(std::string("at-60"), owner.orderedCheckpoint(owner.orderedStarts("agent-1").at(0)));
    }

    /// Guards against recording a failure without the checkpoint that came with the end of the run.
    void checkpointsAreRecordedWithFailures()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, checkpointingSubmission(7, 1));
        owner.commitAll();
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Failed, 100, "at-40");
        owner.commitAll();
        const std::optional<JobPack> pack = decodeJobPack(owner.commits.back().writes.at(1).value);
        CPPUNIT_ASSERT(pack && !pack->records.empty());
        const std::optional<JobRecord> record = decodeJobRecord(pack->records.at(0));
        CPPUNIT_ASSERT(record.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("at-40"), record->checkpoints.at(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCheckpoints);
