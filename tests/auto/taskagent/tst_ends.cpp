#include "agentharness.h"

#include "taskagent/taskagentconstants.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::TaskAgent;
using namespace LaburnumFlow::TaskAgent::Testing;

/// Tests full reports of a process of the agent that finds ends of runs that it hasn't started.
class TestEnds : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEnds);
    CPPUNIT_TEST(reportsAgainOnceAllEndsAreListed);
    CPPUNIT_TEST(laterTruncatedListIsComplete);
    CPPUNIT_TEST(restartedWorkerIsListedAnew);
    CPPUNIT_TEST(ownerHasNotJudgedUnlistedEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that starts again although it is done: the worker doesn't list the end yet, so the report seems to tell that nothing runs.
    void reportsAgainOnceAllEndsAreListed()
    {
        AgentHarness agent;
        agent.heartbeat();
        agent.orders(1);
        answerTruncated(agent);
        CPPUNIT_ASSERT(agent.lastFull().endsIncomplete);
        const std::size_t before = fullReports(agent);
        agent.advance(holdRetryDelay + 1ms);
        agent.answerHold({}, {doneEnd(1, 7), doneEnd(2, 8)});
        CPPUNIT_ASSERT_EQUAL(before + 1, fullReports(agent));
        CPPUNIT_ASSERT(!agent.lastFull().endsIncomplete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), agent.lastFull().ends.size());
    }

    // Guards against an owner that waits for reports without need: the process has started all runs since the complete list.
    void laterTruncatedListIsComplete()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        answerTruncated(agent);
        agent.orders(2, {}, {}, "2");
        answerTruncated(agent);
        CPPUNIT_ASSERT(!agent.lastFull().endsIncomplete);
    }

    // Guards against a list of the former process of the worker that counts for its successor.
    void restartedWorkerIsListedAnew()
    {
        AgentHarness agent;
        agent.begin();
        agent.heartbeat(1, firstStartTimeMs + 8000);
        answerTruncated(agent, firstStartTimeMs + 8000);
        CPPUNIT_ASSERT(agent.lastFull().endsIncomplete);
        agent.advance(holdRetryDelay + 1ms);
        agent.answerHold({}, {doneEnd(1, 7)}, firstStartTimeMs + 8000);
        CPPUNIT_ASSERT(!agent.lastFull().endsIncomplete);
    }

    // Guards against an end that counts although its task has started again: the former owner was never shown it and has repeated the task.
    void ownerHasNotJudgedUnlistedEnds()
    {
        AgentHarness agent;
        agent.heartbeat();
        agent.orders(1);
        answerTruncated(agent);
        agent.orders(1);
        agent.orders(2, {}, {}, "2");
        answerTruncated(agent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), agent.lastFull().formerEpoch);
        agent.advance(holdRetryDelay + 1ms);
        agent.answerHold();
        agent.orders(2, {}, {}, "2");
        agent.orders(3, {}, {}, "3");
        agent.answerHold();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), agent.lastFull().formerEpoch);
    }

private:
    static Jobs::RunEnd doneEnd(std::uint64_t number, Jobs::JobId job)
    {
        return {number, runOf(job), Jobs::RunOutcome::Done, 10};
    }

    static void answerTruncated(AgentHarness &agent, std::int64_t startTimeMs = firstStartTimeMs)
    {
        HoldAnswered truncated;
        truncated.answered = true;
        truncated.workerStartTimeMs = startTimeMs;
        truncated.number = agent.holds.back().number;
        truncated.ends = {doneEnd(1, 7)};
        truncated.endsTruncated = true;
        agent.feed(truncated);
    }

    static std::size_t fullReports(const AgentHarness &agent)
    {
        return static_cast<std::size_t>(std::count_if(agent.reports.begin(), agent.reports.end(), [](const SendReport &report) { return report.report.full; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEnds);
