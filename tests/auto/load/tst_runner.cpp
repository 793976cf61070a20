#include "laburnumload/runner.h"

#include "../resettingserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Load;
using namespace LaburnumFlow::Testing;

namespace {

constexpr double secondJobAtSeconds = 3; ///< so that the first one's connection is free by then
constexpr std::uint64_t seed = 1;
constexpr int resendMs = 20;

Scenario makeScenario(Interface interface)
{
    Scenario scenario;
    scenario.interface = interface;
    scenario.deadlineMs = 30'000;
    scenario.mix = {WorkClass{"fold-preview"}};
    return scenario;
}

PlannedJob jobAt(double atSeconds)
{
    return {atSeconds, 0, {50}, 0, false, false};
}

/// Returns how the last of the jobs ended.
JobEnd lastEnd(const Scenario &scenario, const std::vector<PlannedJob> &jobs, const ResettingServer &server)
{
    return runSchedule(scenario, jobs, {"127.0.0.1:" + std::to_string(server.port())}, seed).back().end;
}

std::string endName(JobEnd end)
{
    constexpr const char *names[] = {"succeeded", "refused", "failed", "unknown", "cancelled", "no answer"};
    return names[static_cast<std::size_t>(end)];
}

} // namespace

/// An entry reads a call on a reused connection and resets the connection before the answer. libcurl would send the call again by itself.
class TestRunner : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRunner);
    CPPUNIT_TEST(lostSubmissionHasNoAnswer);
    CPPUNIT_TEST(lostSubmissionIsSentAgainByTheTool);
    CPPUNIT_TEST(lostQueryIsSentAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a report in which the answer to a second sending, such as a refusal, stands for a job that the entry may run.
    void lostSubmissionHasNoAnswer()
    {
        const std::vector<AfterReset> cases{AnswerCalls{503, R"({"outcome":"not-run","reason":"overloaded"})"}, AnswerCalls{}, RefuseConnections{}};
        for (const AfterReset &afterReset : cases) {
            const ResettingServer server(afterReset);
            const JobEnd end = lastEnd(makeScenario(Interface::Jobs), {jobAt(0), jobAt(secondJobAtSeconds)}, server);
            CPPUNIT_ASSERT_EQUAL(std::string("no answer"), endName(end));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.calls().size());
        }
    }

    // Guards against scenarios that ask for resends, but whose lost submissions stay lost.
    void lostSubmissionIsSentAgainByTheTool()
    {
        const ResettingServer server(AnswerCalls{});
        Scenario scenario = makeScenario(Interface::Jobs);
        scenario.resendMs = resendMs;
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), endName(lastEnd(scenario, {jobAt(0), jobAt(secondJobAtSeconds)}, server)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, server.calls().size());
    }

    // Guards against a stored job that counts as lost since one query of its state was.
    void lostQueryIsSentAgain()
    {
        const ResettingServer server(AnswerCalls{200, R"({"State":"completed"})"});
        Scenario scenario = makeScenario(Interface::Platform);
        scenario.stored = true;
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), endName(lastEnd(scenario, {jobAt(0)}, server)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, server.calls().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRunner);
