#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

/// Several runs of one task that former owners have started, as agents report them to a new owner.
class TestFormerRuns : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestFormerRuns);
    CPPUNIT_TEST(doneEndCountsBesideAnAdoptedCancelledStart);
    CPPUNIT_TEST(laterRunReplacesAnAdoptedCancelledStart);
    CPPUNIT_TEST(doneEndOfAGangCountsBesideAdoptedCancelledStarts);
    CPPUNIT_TEST(failureOfAnEarlierRunCountsBesideAnAdoptedRun);
    CPPUNIT_TEST(failureOfAnEarlierRunCanFailTheJob);
    CPPUNIT_TEST(recordedFailureCountsOnce);
    CPPUNIT_TEST(failuresOfOneGangRunCountOnce);
    CPPUNIT_TEST(waitsForAllEndsOfAnAgent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that starts again although it is done: the start that was adopted had been cancelled before.
    void doneEndCountsBesideAnAdoptedCancelledStart()
    {
        OwnerHarness owner({"agent-1", "agent-2", "agent-3"}, 2, {jobRecord(7, 1)});
        owner.join("agent-3");
        owner.join("agent-1", 8000, {possibleRun(7, 0, 1)});
        owner.join("agent-2", 8000, {}, {{1, {{7, 0, 0}, 2}, RunOutcome::Done, 10}});
        refuse(owner, "agent-1", {{7, 0, 0}, 1});
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Completed);
        CPPUNIT_ASSERT((owner.orderedStops("agent-1") == std::vector<RunRef>{{{7, 0, 0}, 1}}));
    }

    // Guards against the stop of a run that goes on, in favour of an earlier start that had been cancelled.
    void laterRunReplacesAnAdoptedCancelledStart()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {jobRecord(7, 1)});
        owner.join("agent-1", 8000, {possibleRun(7, 0, 1)});
        owner.join("agent-2", 8000, {possibleRun(7, 0, 2)});
        CPPUNIT_ASSERT(owner.orderedStops("agent-2").empty());
        CPPUNIT_ASSERT((owner.orderedStops("agent-1") == std::vector<RunRef>{{{7, 0, 0}, 1}}));
        refuse(owner, "agent-1", {{7, 0, 0}, 1});
        owner.reportEnd("agent-2", {{7, 0, 0}, 2}, RunOutcome::Done);
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Completed);
    }

    // Guards against a gang that starts again although it is done: the starts that were adopted had been cancelled before.
    void doneEndOfAGangCountsBesideAdoptedCancelledStarts()
    {
        JobRecord record = jobRecord(7, 2);
        record.spec.steps.front().gang = true;
        OwnerHarness owner({"agent-1", "agent-2", "agent-3"}, 2, {record});
        owner.join("agent-3");
        owner.join("agent-1", 8000, {possibleRun(7, 0, 1), possibleRun(7, 1, 1)});
        owner.join("agent-2", 8000, {}, {{1, {{7, 0, 0}, 2}, RunOutcome::Done, 10}, {2, {{7, 0, 1}, 2}, RunOutcome::Done, 10}});
        refuse(owner, "agent-1", {{7, 0, 0}, 1});
        refuse(owner, "agent-1", {{7, 0, 1}, 1});
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Completed);
    }

    // Guards against more attempts than the queue allows: the former owner had started the task again before it recorded the failure.
    void failureOfAnEarlierRunCountsBesideAnAdoptedRun()
    {
        JobRecord record = jobRecord(7, 1);
        record.failures = {1};
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {record});
        owner.join("agent-2");
        owner.join("agent-1", 8000, {possibleRun(7, 0, 3)}, {{1, {{7, 0, 0}, 2}, RunOutcome::Failed, 10}});
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").empty());
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), owner.endsRecorded["agent-1"]);
        owner.reportEnd("agent-1", {{7, 0, 0}, 3}, RunOutcome::Failed);
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Failed);
    }

    // Guards against a run that goes on after its task has failed as often as the queue allows.
    void failureOfAnEarlierRunCanFailTheJob()
    {
        JobRecord record = jobRecord(7, 1);
        record.failures = {2};
        OwnerHarness owner({"agent-1"}, 2, {record});
        owner.join("agent-1", 8000, {possibleRun(7, 0, 4)}, {{1, {{7, 0, 0}, 3}, RunOutcome::Failed, 10}});
        owner.commitAll();
        CPPUNIT_ASSERT((owner.orderedStops("agent-1") == std::vector<RunRef>{{{7, 0, 0}, 4}}));
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Failed);
    }

    // Guards against a job that is failed too early: the worker lists the end again, as the former owner's acknowledgement was lost.
    void recordedFailureCountsOnce()
    {
        OwnerHarness former({"agent-1"});
        former.join("agent-1");
        former.submit(1, submission(7, 1));
        former.commitAll();
        former.reportEnd("agent-1", {{7, 0, 0}, 1}, RunOutcome::Failed);
        former.commitAll();
        OwnerHarness owner({"agent-1"}, 2);
        owner.state = takeOver(former.storedForSuccessor(), owner.state.now, owner.state.wall);
        CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(owner.state.jobs.at(7).tasks[0].failures));
        owner.join("agent-1", 8000, {}, {{1, {{7, 0, 0}, 1}, RunOutcome::Failed, 10}});
        CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(owner.state.jobs.at(7).tasks[0].failures));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    // Guards against a gang that is failed too early after an owner change because each member's end counts for itself.
    void failuresOfOneGangRunCountOnce()
    {
        JobRecord record = jobRecord(7, 3);
        record.spec.steps.front().gang = true;
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {record});
        owner.join("agent-1",
                   8000,
                   {},
                   {{1, {{7, 0, 0}, 1}, RunOutcome::Failed, 10}, {2, {{7, 0, 1}, 1}, RunOutcome::Failed, 10}, {3, {{7, 0, 2}, 1}, RunOutcome::Failed, 10}});
        owner.join("agent-2");
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(owner.state.jobs.at(7).tasks[0].failures));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.orderedStartCount());
    }

    // Guards against a task that starts again although it is done: the agent's new process hasn't been shown the end by its worker yet.
    void waitsForAllEndsOfAnAgent()
    {
        OwnerHarness owner({"agent-1"}, 2, {jobRecord(7, 1), jobRecord(8, 1)});
        owner.join("agent-1", 8000, {}, {{1, {{8, 0, 0}, 1}, RunOutcome::Done, 10}}, true);
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), owner.endsRecorded["agent-1"]);
        owner.join("agent-1", 8000, {}, {{2, {{7, 0, 0}, 1}, RunOutcome::Done, 10}});
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Completed);
    }

private:
    static void refuse(OwnerHarness &owner, const std::string &agent, const RunRef &run)
    {
        AgentReport refused = owner.report(agent);
        refused.refusals.push_back({run, RunRefusal::Reason::Stale});
        owner.feed(AgentReported{agent, std::move(refused)});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFormerRuns);
