#include "agentharness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::TaskAgent;
using namespace LaburnumFlow::TaskAgent::Testing;

namespace {

StartAnswered refusalOf(const RunRef &run)
{
    return {run, firstStartTimeMs, StartAnswered::Outcome::Refused, Jobs::RunRefusal::Reason::Unhealthy, {}};
}

} // namespace

/// Tests what the log tells of runs that the worker has and the agent doesn't know.
class TestUnexpectedRuns : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestUnexpectedRuns);
    CPPUNIT_TEST(refusedRunThatIsListedIsLogged);
    CPPUNIT_TEST(runsOfAFormerProcessAreNotLogged);
    CPPUNIT_TEST(knownRunsAreNotLogged);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against logs that don't tell why a task ran twice: its start counted as refused, and the worker runs it.
    void refusedRunThatIsListedIsLogged()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.feed(refusalOf(runOf(7)));
        agent.answerHold({{runOf(7), 10}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), agent.countDecisions("run.unexpected"));
        agent.answerHold({{runOf(7), 20}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), agent.countDecisions("run.unexpected"));
    }

    // Guards against a line for each run of the worker when the agent restarts.
    void runsOfAFormerProcessAreNotLogged()
    {
        AgentHarness agent;
        agent.heartbeat();
        agent.orders(1);
        agent.answerHold({{runOf(7), 10}, {runOf(8), 10}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), agent.countDecisions("run.unexpected"));
    }

    // Guards against lines for runs that the agent has started.
    void knownRunsAreNotLogged()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerHold({{runOf(7), 10}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), agent.countDecisions("run.unexpected"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestUnexpectedRuns);
