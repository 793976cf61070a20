#include "fleet.h"
#include "waiting.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <string>

using namespace SystemTest;

namespace {

/// Index of the worker on which the task's newest attempt started; waits for it.
int workerOf(const Fleet &fleet, const std::string &id, int index = 0)
{
    CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return !fleet.startsOf(id, index).empty(); }));
    return fleet.startsOf(id, index).back().worker;
}

bool anyStartOf(const Fleet &fleet, std::string_view kind)
{
    const std::vector<BackendRecord> records = fleet.records();
    return std::any_of(records.begin(), records.end(), [kind](const BackendRecord &record) { return record.kind == kind; });
}

} // namespace

class TestWorkers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestWorkers);
    CPPUNIT_TEST(idempotentTaskMovesOn);
    CPPUNIT_TEST(unrepeatableTaskIsNotRepeated);
    CPPUNIT_TEST(leavingBackendGetsNoNewWork);
    CPPUNIT_TEST(lostLeaveMessage);
    CPPUNIT_TEST(drainOfAgentsUnderLoad);
    CPPUNIT_TEST(failEverythingWorker);
    CPPUNIT_TEST(cancellationWave);
    CPPUNIT_TEST(unplaceableKind);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a job that hangs when the agent of a task that may be repeated dies, and against a second
    /// attempt that overlaps the first on another worker.
    void idempotentTaskMovesOn()
    {
        Fleet fleet({});
        const std::string id = newId();
        auto answer = fleet.submitAsync(0, id, job("fold-plan", 1, 2'000));
        const int worker = workerOf(fleet, id);
        fleet.agent(worker).kill();
        const HttpResult result = answer.get();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, 200L, result.status);
        const auto starts = fleet.startsOf(id);
        CPPUNIT_ASSERT(starts.size() >= 2);
        for (std::size_t i = 1; i < starts.size(); ++i) {
            CPPUNIT_ASSERT(starts[i].attempt != starts[0].attempt);
        }
    }

    /// Guards against ordering the glass twice when the agent or the whole worker dies over the order.
    void unrepeatableTaskIsNotRepeated()
    {
        for (const bool wholeWorker : {false, true}) {
            Fleet fleet({});
            const std::string id = newId();
            auto answer = fleet.submitAsync(0, id, job("glass-order", 1, 1'000, 12'000));
            const int worker = workerOf(fleet, id);
            fleet.agent(worker).kill();
            if (wholeWorker) {
                fleet.backend(worker).kill();
            }
            const HttpResult result = answer.get();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, std::string("unknown"), result.json().value("outcome", std::string()));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.startsOf(id).size());
        }
    }

    /// Guards against new work on a backend server that has said that it leaves, and against cutting what it runs.
    void leavingBackendGetsNoNewWork()
    {
        Fleet fleet({});
        const std::string id = newId();
        auto running = fleet.submitAsync(0, id, job("glass-order", 1, 4'000));
        const int leaving = workerOf(fleet, id);
        fleet.faultBackend(leaving, R"({"state":"leaving"})");
        expectNoNewWork(fleet, leaving);
        CPPUNIT_ASSERT_EQUAL(200L, running.get().status);
    }

    /// Guards against new work on a leaving backend server whose agent's datagrams are lost as well.
    void lostLeaveMessage()
    {
        Fleet fleet({});
        fleet.faultAgent(0, R"({"blockForward":true,"blockBackward":true})");
        for (int i = 0; i < 2; ++i) {
            fleet.faultEntry(i, R"({"dropDatagrams":0.5})");
        }
        fleet.faultBackend(0, R"({"state":"leaving"})");
        expectNoNewWork(fleet, 0);
    }

    /// Guards against work that is cut off or lost while every agent and backend server is replaced under load.
    void drainOfAgentsUnderLoad()
    {
        Fleet fleet({});
        for (int worker = 0; worker < 3; ++worker) {
            std::vector<std::string> ids;
            std::vector<std::future<HttpResult>> answers;
            for (int i = 0; i < 16; ++i) {
                ids.push_back(newId());
                answers.push_back(fleet.submitAsync(i % 2, ids.back(), job("glass-order", 3, 300)));
            }
            workerOf(fleet, ids.back());
            fleet.agent(worker).signal(SIGTERM);
            for (std::size_t i = 0; i < answers.size(); ++i) {
                const HttpResult answer = answers[i].get();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200L, answer.status);
                for (int index = 0; index < 3; ++index) {
                    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.startsOf(ids[i], index).size());
                }
            }
            CPPUNIT_ASSERT_EQUAL(0, fleet.agent(worker).waitExit(generousSeconds));
            fleet.backend(worker).signal(SIGTERM);
            CPPUNIT_ASSERT(fleet.backend(worker).waitExit(generousSeconds) >= 0);
            fleet.startBackend(worker);
            fleet.startAgent(worker);
            fleet.waitReady();
        }
    }

    /// Guards against a worker that fails all it starts, and so looks idle, drawing the whole load.
    void failEverythingWorker()
    {
        for (const int workers : {4, 3}) {
            Fleet fleet({.workers = workers});
            fleet.faultBackend(0, R"({"mode":"fail-everything"})");
            std::string failed;
            constexpr int rounds = 60;
            for (int i = 0; i < rounds; ++i) {
                const HttpResult result = fleet.submit(i % 2, newId(), job("fold-preview", 4, 10));
                failed += result.status == 200 ? "" : "job " + std::to_string(i) + ": " + result.body + "\n";
            }
            std::size_t starts = 0;
            for (const BackendRecord &record : fleet.records()) {
                starts += record.what == "start" && record.worker == 0 ? 1U : 0U;
            }
            const std::string fleetSize = std::to_string(workers) + " workers; ";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fleetSize + "failed jobs", std::string(), failed);
            CPPUNIT_ASSERT_MESSAGE(fleetSize + "starts on the failing worker: " + std::to_string(starts), starts < rounds);
        }
    }

    /// Guards against cancelled work that goes on, and against a wave of cancellations that blocks other jobs.
    void cancellationWave()
    {
        Fleet fleet({});
        std::vector<std::string> ids;
        std::vector<std::future<HttpResult>> answers;
        for (int i = 0; i < 40; ++i) {
            ids.push_back(newId());
            answers.push_back(fleet.submitAsync(i % 2, ids.back(), job("fold-plan", 4, 20'000)));
        }
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return anyStartOf(fleet, "fold-plan"); }));
        std::vector<std::future<bool>> cancellations;
        cancellations.reserve(ids.size());
        for (std::size_t i = 0; i < ids.size(); ++i) {
            cancellations.push_back(std::async(std::launch::async, [&fleet, i, id = ids[i]] {
                // A job whose submission is still on its way is not known; its caller cancels it again.
                return waitFor(generousSeconds,
                               [&] { return call("DELETE", fleet.http(static_cast<int>(i % 2)), "/v1/teams/adire/jobs/" + id).status == 200; });
            }));
        }
        CPPUNIT_ASSERT(std::all_of(cancellations.begin(), cancellations.end(), [](auto &cancellation) { return cancellation.get(); }));
        for (auto &answer : answers) {
            const HttpResult result = answer.get();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(result.status) + ' ' + result.body, result.status >= 400);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, std::string("cancelled"), result.json().value("reason", std::string()));
        }
        const HttpResult next = fleet.submit(0, newId(), job("fold-preview", 4, 10));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(next.body, 200L, next.status);
    }

    /// Guards against a job that waits for a worker which can't exist.
    void unplaceableKind()
    {
        Fleet fleet({.backendArguments = {"--announce-kinds", "--kind", "fold-preview=20"}});
        const HttpResult answer = fleet.submit(0, newId(), job("fold-plan", 1, 10));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, std::string("unplaceable"), answer.json().value("reason", std::string()));
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), answer.json().value("outcome", std::string()));
    }

private:
    /// Waits the 2 s that a leave may take to be known and counts starts after that.
    static void expectNoNewWork(const Fleet &fleet, int worker)
    {
        const auto known = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        waitFor(generousSeconds, [&] { return std::chrono::steady_clock::now() > known; });
        const auto startsThere = [&] {
            std::size_t starts = 0;
            for (const BackendRecord &record : fleet.records()) {
                starts += record.what == "start" && record.worker == worker ? 1U : 0U;
            }
            return starts;
        };
        const std::size_t before = startsThere();
        for (int i = 0; i < 20; ++i) {
            const HttpResult answer = fleet.submit(i % 2, newId(), job("fold-preview", 4, 10));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200L, answer.status);
        }
        CPPUNIT_ASSERT_EQUAL(before, startsThere());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestWorkers);
