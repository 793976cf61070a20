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

private:
    static void refuse(OwnerHarness &owner, const std::string &agent, const RunRef &run)
    {
        AgentReport refused = owner.report(agent);
        refused.refusals.push_back({run, RunRefusal::Reason::Stale});
        owner.feed(AgentReported{agent, std::move(refused)});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFormerRuns);
