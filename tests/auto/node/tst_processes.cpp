#include "site.h"

#include "../system/waiting.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <cstdlib>
#include <future>
#include <string>
#include <vector>

using namespace NodeTest;
using SystemTest::generousSeconds;
using SystemTest::HttpResult;
using SystemTest::waitFor;

namespace {

constexpr const char *job1 = "00000000000000a1";
constexpr const char *job2 = "00000000000000a2";

} // namespace

class TestProcesses : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestProcesses);
    CPPUNIT_TEST(servesBothKindsOfJobs);
    CPPUNIT_TEST(storedJobSurvivesAllProcesses);
    CPPUNIT_TEST(secondEntryTakesOver);
    CPPUNIT_TEST(stoppingOwnerAnswersWhatItTook);
    CPPUNIT_TEST(lastEntryAnswersWhatItCannotEnd);
    CPPUNIT_TEST(restartedAgentKeepsRuns);
    CPPUNIT_TEST(refusesStoredJobsWhileTurnedAway);
    CPPUNIT_TEST(processesEndWhenStopped);
    CPPUNIT_TEST(servesMetrics);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a fault anywhere between a caller and the worker, for best-effort and stored jobs.
    void servesBothKindsOfJobs()
    {
        Site site(1);
        site.waitUntilReady(0);
        CPPUNIT_ASSERT_EQUAL(std::string("completed"), site.submit(0, job1, 4, 50, true).json().value("State", std::string()));
        CPPUNIT_ASSERT_EQUAL(200L, site.submit(0, job2, 4, 50, false).status);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.jobState(0, job2) == "completed"; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), site.worker.runs().size());
    }

    /// Guards against an accepted job that is lost, or has two concurrent runs of a task, after all processes were killed.
    void storedJobSurvivesAllProcesses()
    {
        Site site(1);
        site.waitUntilReady(0);
        CPPUNIT_ASSERT_EQUAL(200L, site.submit(0, job1, 3, 400, false).status);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.worker.runs().size() == 3; }));
        site.entry(0).kill();
        site.agent->kill();
        site.startEntry(0);
        site.startAgent();
        site.waitUntilReady(0);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.jobState(0, job1) == "completed"; }));
        CPPUNIT_ASSERT(!site.worker.overlapped());
    }

    /// Guards against a missing takeover after the owner's process was killed, and against a second run of tasks that still run.
    void secondEntryTakesOver()
    {
        Site site(2);
        site.waitUntilReady(0);
        site.waitUntilReady(1);
        CPPUNIT_ASSERT_EQUAL(200L, site.submit(1, job1, 3, 1500, false).status);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.worker.runs().size() == 3; }));
        site.entry(0).kill();
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.jobState(1, job1) == "completed"; }));
        CPPUNIT_ASSERT(!site.worker.overlapped());
        CPPUNIT_ASSERT_EQUAL(std::string("completed"), site.submit(1, job2, 2, 50, true).json().value("State", std::string()));
    }

    /// Guards against a connection that is closed without an answer when the last entry stops before the job has ended.
    void lastEntryAnswersWhatItCannotEnd()
    {
        Site site(1);
        site.waitUntilReady(0);
        auto answer = std::async(std::launch::async, [&site] { return site.submit(0, job1, 1, 9'000, true); });
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.worker.runs().size() == 1; }));
        site.entry(0).signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(504L, answer.get().status);
        CPPUNIT_ASSERT_EQUAL(EXIT_SUCCESS, site.entry(0).waitExit(generousSeconds));
    }

    /// Guards against callers that get no answer because the owner is stopped while their jobs run.
    void stoppingOwnerAnswersWhatItTook()
    {
        Site site(2);
        site.waitUntilReady(0);
        site.waitUntilReady(1);
        std::vector<std::future<HttpResult>> pendingAnswers;
        pendingAnswers.reserve(2);
        for (int i = 0; i < 2; ++i) {
            pendingAnswers.push_back(std::async(std::launch::async, [&site, i] { return site.submit(i, i == 0 ? job1 : job2, 2, 1000, true); }));
        }
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.worker.runs().size() == 4; }));
        site.entry(0).signal(SIGTERM);
        for (auto &result : pendingAnswers) {
            CPPUNIT_ASSERT_EQUAL(std::string("completed"), result.get().json().value("State", std::string()));
        }
        CPPUNIT_ASSERT_EQUAL(EXIT_SUCCESS, site.entry(0).waitExit(generousSeconds));
        CPPUNIT_ASSERT(!site.worker.overlapped());
    }

    /// Guards against runs that are lost, or started a second time, after their agent was killed and restarted.
    void restartedAgentKeepsRuns()
    {
        Site site(1);
        site.waitUntilReady(0);
        CPPUNIT_ASSERT_EQUAL(200L, site.submit(0, job1, 2, 2500, false).status);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.worker.runs().size() == 2; }));
        site.agent->kill();
        site.startAgent();
        site.waitUntilReady(0);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.jobState(0, job1) == "completed"; }));
        CPPUNIT_ASSERT(!site.worker.overlapped());
    }

    /// Guards against jobs that are accepted without being stored while the store rejects all calls, and against best-effort
    /// jobs that wait for the store.
    void refusesStoredJobsWhileTurnedAway()
    {
        Site site(1);
        site.waitUntilReady(0);
        CPPUNIT_ASSERT_EQUAL(std::string("completed"), site.submit(0, job1, 1, 20, true).json().value("State", std::string()));
        site.platform.turnsAway = true;
        // A job whose commit has an unknown outcome is not refused, so each attempt submits another job.
        int attempts = 0;
        CPPUNIT_ASSERT(
            waitFor(generousSeconds, [&] { return site.submit(0, "00000000000001" + std::to_string(10 + attempts++ % 90), 1, 20, false, 300).status == 503; }));
        CPPUNIT_ASSERT_EQUAL(std::string("completed"), site.submit(0, "00000000000000a3", 1, 20, true).json().value("State", std::string()));
        const auto decisions = [&](const std::string &event) { return metricSum(site.entryMetrics(0), "laburnumflow_decisions_total", '"' + event + '"'); };
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return decisions("store.lost") == 1; }));
        site.platform.turnsAway = false;
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return decisions("store.regained") == 1; }));
    }

    /// Guards against processes that don't exit on SIGTERM, for example because a thread of a library doesn't end.
    void processesEndWhenStopped()
    {
        Site site(1);
        site.waitUntilReady(0);
        site.agent->signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(EXIT_SUCCESS, site.agent->waitExit(generousSeconds));
        site.entry(0).signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(EXIT_SUCCESS, site.entry(0).waitExit(generousSeconds));
    }

    /// Guards against metrics and status values that differ from what callers, the store and the worker have seen.
    void servesMetrics()
    {
        Site site(1);
        site.waitUntilReady(0);
        CPPUNIT_ASSERT_EQUAL(200L, site.submit(0, job1, 4, 50, true).status);
        CPPUNIT_ASSERT_EQUAL(200L, site.submit(0, job2, 4, 50, false).status);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.jobState(0, job2) == "completed"; }));
        const std::string entry = site.entryMetrics(0);
        CPPUNIT_ASSERT_EQUAL(2.0, metricSum(entry, "laburnumflow_answer_seconds_count", "request=\"submit\",status=\"200\""));
        CPPUNIT_ASSERT(metricSum(entry, "laburnumflow_call_seconds_count", "call=\"commit\",outcome=\"done\"") >= 2);
        CPPUNIT_ASSERT(metricSum(entry, "laburnumflow_committed_entries_total") >= 4);
        CPPUNIT_ASSERT(metricSum(entry, "laburnumflow_owner_epoch") >= 1);
        CPPUNIT_ASSERT_EQUAL(1.0, metricSum(entry, "laburnumflow_linked_agents"));
        const nlohmann::json jobs = site.entryStatus(0).value("jobs", nlohmann::json::object());
        CPPUNIT_ASSERT_EQUAL(std::string("worker-1"), jobs.at("workers").at(0).value("worker", std::string()));
        CPPUNIT_ASSERT_EQUAL(std::string("q"), jobs.at("queues").at(0).value("queue", std::string()));
        CPPUNIT_ASSERT_EQUAL(1.0, metricSum(entry, "laburnumflow_rules_version"));
        CPPUNIT_ASSERT_EQUAL(1.0, metricSum(entry, "laburnumflow_decisions_total", "event=\"job.accepted\""));
        const std::string agent = site.agentMetrics();
        CPPUNIT_ASSERT_EQUAL(8.0, metricSum(agent, "laburnumflow_call_seconds_count", "call=\"start\",outcome=\"done\""));
        CPPUNIT_ASSERT_EQUAL(1.0, metricSum(agent, "laburnumflow_linked_entries"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestProcesses);
