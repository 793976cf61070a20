#include "agentharness.h"

#include "jobs/jobsconstants.h"
#include "taskagent/taskagentconstants.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>

using namespace LaburnumFlow;
using namespace LaburnumFlow::TaskAgent;
using namespace LaburnumFlow::TaskAgent::Testing;

class TestProgress : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestProgress);
    CPPUNIT_TEST(reportsStalledRuns);
    CPPUNIT_TEST(fullProgressIsNoStall);
    CPPUNIT_TEST(reportsNewCheckpoints);
    CPPUNIT_TEST(startsFromTheCheckpoint);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a task that makes no progress on a worker which seems healthy.
    void reportsStalledRuns()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        const auto stalled = [](const Jobs::AgentReport &report) { return report.stalled.size() == 1; };
        for (Base::Duration waited{}; waited < stallTimeout + 300ms; waited += 100ms) {
            agent.orders(1);
            agent.advance(100ms);
            agent.answerHold({{runOf(7), 5}});
        }
        CPPUNIT_ASSERT(agent.reported(stalled));
    }

    /// Guards against reporting a long-running task as stalled, as it always shows full progress.
    void fullProgressIsNoStall()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        for (Base::Duration waited{}; waited < stallTimeout + 300ms; waited += 100ms) {
            agent.orders(1);
            agent.advance(100ms);
            agent.answerHold({{runOf(7), completePercent}});
        }
        CPPUNIT_ASSERT(!agent.reported([](const Jobs::AgentReport &report) { return !report.stalled.empty(); }));
    }

    /// Guards against losing a checkpoint with its worker because the owner was never told, and against sending the same one repeatedly.
    void reportsNewCheckpoints()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        for (int i = 0; i < 4; ++i) {
            agent.orders(1);
            agent.answerHold({{runOf(7), 5 + i, "at-5"}});
            agent.advance(reportKeepAliveInterval);
        }
        const auto count = std::count_if(agent.reports.begin(), agent.reports.end(), [](const SendReport &report) {
            return report.report.checkpoints == std::vector<Jobs::RunCheckpoint>{{runOf(7), "at-5"}};
        });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), count);
        agent.orders(2);
        agent.answerHold({{runOf(7), 9, "at-5"}});
        CPPUNIT_ASSERT_EQUAL(std::string("at-5"), agent.lastFull().running.at(0).checkpoint);
    }

    /// Guards against a run that begins from the start although its order names a checkpoint.
    void startsFromTheCheckpoint()
    {
        AgentHarness agent;
        agent.begin();
        Jobs::StartOrder order = startOf(runOf(7));
        order.checkpoint = "at-5";
        agent.orders(1, {order});
        CPPUNIT_ASSERT_EQUAL(std::string("at-5"), agent.starts.at(0).checkpoint);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestProgress);
