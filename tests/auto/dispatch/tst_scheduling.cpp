#include "harness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <utility>

using namespace LaburnumFlow;
using namespace LaburnumFlow::DispatchTest;
using Protocol::AgentReason;
using Protocol::AttemptState;
using Protocol::Outcome;
using Protocol::Reason;

class TestScheduling : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestScheduling);
    CPPUNIT_TEST(ordersTasks);
    CPPUNIT_TEST(blocksOrderAfterLoss);
    CPPUNIT_TEST(sharesByWeightAndQuota);
    CPPUNIT_TEST(servesShortTasksFirst);
    CPPUNIT_TEST(retriesOrFailsAfterAttempt);
    CPPUNIT_TEST(boundsRetries);
    CPPUNIT_TEST(confirmsBeforeNotRun);
    CPPUNIT_TEST(ejectsFailingWorkers);
    CPPUNIT_TEST(failingWorkerSparesRetryBudget);
    CPPUNIT_TEST(hedgesWithinBudget);
    CPPUNIT_TEST(placesByPolicy);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against tasks of one ordering key that overlap, also across submissions, and against keys that block each other.
    void ordersTasks()
    {
        Harness harness;
        harness.kind("t", "line", false).ordered = true;
        harness.agent("a", 20);
        Protocol::JobBody body = Harness::body("t", "line", 2);
        body.orderingKey = "k1";
        harness.submit(body);
        harness.submit(body);
        body.orderingKey = "k2";
        harness.submit(body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.starts.size());
        std::vector<std::size_t> counts;
        while (harness.finishAll() > 0) {
            counts.push_back(harness.starts.size());
        }
        CPPUNIT_ASSERT((counts == std::vector<std::size_t>{2, 1, 1, 0}));
        CPPUNIT_ASSERT(Dispatch::isIdle(harness.state) && harness.state.orderQueues.empty());
    }

    /// Guards against an ordered task that starts while a lost attempt of an earlier one may still run. The owner can't end the lost
    /// attempt's lease.
    void blocksOrderAfterLoss()
    {
        Harness harness;
        harness.kind("t", "line", false).ordered = true;
        harness.kind("t", "line", false).limitMs = 1000;
        harness.agent("a");
        Protocol::JobBody body = Harness::body("t", "line", 1, 2000);
        body.orderingKey = "k";
        const auto request = harness.submit(body);
        body.deadlineMs = 20'000;
        harness.submit(body);
        harness.change(Cluster::AgentFenced{{"a", 1}});
        CPPUNIT_ASSERT(harness.failure(request).reason == Reason::AttemptLost);
        // The lost attempt may start up to maxTokenAge after the deadline, and then run up to its limit.
        harness.advance(4400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.startCount);
        harness.advance(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.startCount);
    }

    /// Guards against a team that gets more than its quota, or under contention more than its share by weight.
    void sharesByWeightAndQuota()
    {
        Harness harness;
        harness.kind("heavy", "x");
        harness.kind("light", "x");
        harness.kind("small", "x");
        harness.team("heavy").weight = 3;
        harness.team("small").quota = 0.1;
        harness.agent("a", 20);
        harness.submit("small", "x", 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.starts.size());
        harness.submit("heavy", "x", 400, 60'000);
        harness.submit("light", "x", 400, 60'000);
        std::map<std::string, int> started;
        for (int round = 0; round < 10; ++round) {
            CPPUNIT_ASSERT(harness.state.teams["small"].liveAttemptCount <= 2);
            harness.finishAll();
            for (const auto &start : harness.starts) {
                ++started[start.task.team];
            }
        }
        CPPUNIT_ASSERT(started["heavy"] > 2.5 * started["light"] && started["heavy"] < 3.5 * started["light"]);
    }

    /// Guards against short tasks that wait behind long ones, and against long tasks that never start.
    void servesShortTasksFirst()
    {
        Harness harness;
        harness.kind("t", "long").expectedMs = 5000;
        harness.kind("t", "short").expectedMs = 50;
        harness.agent("a", 4);
        harness.submit("t", "long", 20, 60'000);
        // A quarter of the slots is kept free of long tasks.
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.starts.size());
        harness.submit("t", "short", 10, 60'000);
        CPPUNIT_ASSERT_EQUAL(std::string("short"), harness.starts.back().task.kind);
        harness.update("a", harness.starts[0].task.key, AttemptState::Succeeded);
        CPPUNIT_ASSERT_EQUAL(std::string("short"), harness.starts.back().task.kind);
        harness.advance(600ms);
        harness.update("a", harness.starts[1].task.key, AttemptState::Succeeded);
        CPPUNIT_ASSERT_EQUAL(std::string("long"), harness.starts.back().task.kind);
    }

    /// Guards against retries of tasks that must not run twice, and against failing tasks that may be retried.
    void retriesOrFailsAfterAttempt()
    {
        struct Case {
            bool idempotent;
            AttemptState state;
            AgentReason reason;
            Reason expected; ///< None if another attempt follows
            Outcome outcome;
        };
        const Case cases[] = {
            {true, AttemptState::Refused, AgentReason::QueueFull, Reason::None, {}},
            {false, AttemptState::Refused, AgentReason::QueueFull, Reason::None, {}},
            {false, AttemptState::Refused, AgentReason::Fenced, Reason::None, {}},
            {true, AttemptState::Refused, AgentReason::DeadlinePast, Reason::DeadlineExceeded, Outcome::NotRun},
            {true, AttemptState::Lost, AgentReason::BackendLost, Reason::None, {}},
            {false, AttemptState::Lost, AgentReason::BackendLost, Reason::AttemptLost, Outcome::Unknown},
            {true, AttemptState::Stopped, AgentReason::LeaseEnded, Reason::None, {}},
            {false, AttemptState::Stopped, AgentReason::LeaseEnded, Reason::AttemptLost, Outcome::Unknown},
            {true, AttemptState::Stopped, AgentReason::RunTimeLimit, Reason::RunTimeLimit, Outcome::Failed},
            {true, AttemptState::Failed, AgentReason::BackendError, Reason::None, {}},
            {false, AttemptState::Failed, AgentReason::BackendError, Reason::TaskFailed, Outcome::Failed},
        };
        for (const Case &test : cases) {
            for (const bool becameIdempotent : {false, true}) {
                Harness harness;
                harness.kind("t", "x", test.idempotent);
                harness.agent("a");
                harness.agent("b");
                const auto request = harness.submit("t", "x", 2);
                const auto first = harness.starts.at(0);
                // An attempt that was sent as not idempotent remains so if its kind becomes idempotent while it runs.
                harness.kind("t", "x", test.idempotent || becameIdempotent);
                harness.update(first.agent, first.task.key, test.state, test.reason);
                harness.advance(3s);
                if (test.expected == Reason::None) {
                    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.starts.size());
                    CPPUNIT_ASSERT(harness.starts[2].task.key.attempt == 2 && harness.starts[2].agent != first.agent);
                    continue;
                }
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.starts.size());
                const auto other = harness.starts.at(1);
                CPPUNIT_ASSERT(std::holds_alternative<Protocol::CancelTasks>(harness.agentSends.at(0).request));
                harness.update(other.agent, other.task.key, AttemptState::Refused, AgentReason::Cancelled);
                const auto failed = harness.failure(request);
                CPPUNIT_ASSERT(failed.reason == test.expected && failed.outcome == test.outcome);
            }
        }
    }

    /// Guards against retry storms. Attempts per task and retries per team are bounded.
    void boundsRetries()
    {
        for (const double budget : {0.0, 0.1, 1.0}) {
            Harness harness;
            harness.kind("t", "x");
            harness.team("t").retryBudget = budget;
            harness.agent("a", 100);
            constexpr std::size_t jobs = 100;
            for (std::size_t i = 0; i < jobs; ++i) {
                harness.submit("t", "x");
            }
            for (int round = 0; round < 20; ++round) {
                harness.finishAll(AttemptState::Failed);
                harness.advance(500ms);
            }
            const std::size_t retries = harness.startCount - jobs;
            const double allowed = budget == 0 ? 0 : 10 + budget * static_cast<double>(harness.startCount);
            CPPUNIT_ASSERT(static_cast<double>(retries) <= allowed && retries <= 3 * jobs);
            CPPUNIT_ASSERT(budget == 0 || retries >= 10);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{jobs}, harness.counter("failed.retries-exhausted"));
            CPPUNIT_ASSERT(Dispatch::isIdle(harness.state));
        }
    }

    /// Guards against a not-run answer while an agent may still start the task, and against lost cancellations that are not resent.
    void confirmsBeforeNotRun()
    {
        struct Case {
            AttemptState state;
            Outcome outcome;
        };
        for (const Case &test : {Case{AttemptState::Refused, Outcome::NotRun}, Case{AttemptState::Stopped, Outcome::Failed}}) {
            Harness harness;
            harness.kind("t", "x", false);
            harness.agent("a", 2);
            const auto request = harness.submit("t", "x", 10);
            const auto starts = harness.starts;
            harness.send(Events::JobCancelRequested{50, "t", starts[0].task.key.task.submission, {}});
            CPPUNIT_ASSERT(!harness.answered(request) && harness.agentSends.size() == 1);
            harness.change(Cluster::AgentReachable{"a"});
            CPPUNIT_ASSERT(harness.agentSends.size() == 2 && std::holds_alternative<Protocol::CancelTasks>(harness.agentSends.back().request));
            for (const auto &start : starts) {
                CPPUNIT_ASSERT(!harness.answered(request));
                harness.update("a", start.task.key, test.state, AgentReason::Cancelled);
            }
            const auto failed = harness.failure(request);
            CPPUNIT_ASSERT(failed.reason == Reason::Cancelled && failed.outcome == test.outcome);
            CPPUNIT_ASSERT_EQUAL(starts.size(), harness.startCount);
        }
    }

    /// Guards against a worker that gets most tasks because it fails them fast, against ejecting the whole fleet if a kind fails
    /// everywhere, and against a worker that is never readmitted.
    void ejectsFailingWorkers()
    {
        for (const int failing : {1, 6, 10}) {
            Harness harness;
            harness.kind("t", "x");
            harness.team("t").retryBudget = 1;
            for (int i = 0; i < 10; ++i) {
                harness.agent("w" + std::to_string(i), 4);
            }
            harness.advance(60ms);
            runRounds(harness, failing, 200);
            CPPUNIT_ASSERT_EQUAL(failing == 1 ? 1U : failing == 6 ? 3U : 0U, harness.state.ejectedCount);
            runRounds(harness, 0, 1500);
            CPPUNIT_ASSERT_EQUAL(0U, harness.state.ejectedCount);
            CPPUNIT_ASSERT_EQUAL(harness.counter("agent.ejected"), harness.counter("agent.readmitted"));
        }
    }

    /// Guards against jobs that fail because a worker that fails all its tasks uses up the team's retry budget. It happened in small
    /// fleets, and where the other workers were slow on a busy machine.
    void failingWorkerSparesRetryBudget()
    {
        struct Case {
            int workers;
            std::uint32_t healthyRunMs;
        };
        for (const Case &test : {Case{4, 10}, Case{4, 40}, Case{3, 10}, Case{3, 40}, Case{2, 40}}) {
            Harness harness;
            harness.kind("t", "x").expectedMs = 10;
            for (int i = 0; i < test.workers; ++i) {
                harness.agent("w" + std::to_string(i));
            }
            harness.advance(60ms);
            for (int i = 0; i < 60; ++i) {
                const auto request = harness.submit("t", "x", 4);
                endTasks(harness, test.healthyRunMs);
                const std::string message = std::to_string(test.workers) + " workers, " + std::to_string(test.healthyRunMs) + " ms, job " + std::to_string(i);
                CPPUNIT_ASSERT_MESSAGE(message, harness.answered(request) && harness.failure(request).reason == Reason::None);
            }
        }
    }

    /// Guards against hedges that a team did not allow, hedges of kinds that must not run twice, and hedges beyond the budget.
    void hedgesWithinBudget()
    {
        struct Case {
            double budget;
            bool idempotent;
            std::size_t hedges;
        };
        for (const Case &test : {Case{0, true, 0}, Case{0.5, true, 2}, Case{0.5, false, 0}}) {
            Harness harness;
            harness.kind("t", "x", test.idempotent);
            harness.team("t").hedgeBudget = test.budget;
            harness.agent("a");
            harness.agent("b");
            for (int i = 0; i < 20; ++i) {
                harness.submit("t", "x");
                harness.finishAll();
            }
            const auto request = harness.submit("t", "x", 6);
            harness.advance(400ms);
            CPPUNIT_ASSERT_EQUAL(6 + test.hedges, harness.starts.size());
            harness.finishAll();
            CPPUNIT_ASSERT(harness.failure(request).reason == Reason::None);
            CPPUNIT_ASSERT(Dispatch::isIdle(harness.state));
        }
    }

    /// Guards against a policy that overloads one agent, exceeds an agent's capacity, or uses agents that accept no work.
    void placesByPolicy()
    {
        const Dispatch::PlacementPolicy policies[] = {Dispatch::ExpectedWait{}, Dispatch::Random{}, Dispatch::RoundRobin{}, Dispatch::PowerOfTwo{}};
        for (const auto &policy : policies) {
            Harness harness(3, policy);
            harness.kind("t", "x");
            for (const char *name : {"a", "b", "c", "left", "down", "other"}) {
                harness.agent(name, 8);
            }
            harness.cluster.agents["left"].state = Protocol::AgentState::Leaving;
            harness.cluster.agents["down"].linkUp = false;
            harness.cluster.agents["other"].kinds = {"y"};
            harness.submit("t", "x", 100);
            std::map<std::string, int> starts;
            for (const auto &start : harness.starts) {
                ++starts[start.agent];
            }
            CPPUNIT_ASSERT((starts == std::map<std::string, int>{{"a", 10}, {"b", 10}, {"c", 10}}));
        }
    }

private:
    /// Ends started attempts until no more start. The worker w0 fails all its tasks.
    static void endTasks(Harness &harness, std::uint32_t healthyRunMs)
    {
        while (!harness.starts.empty()) {
            const auto started = std::exchange(harness.starts, {});
            for (const auto &start : started) {
                const bool fails = start.agent == "w0";
                harness.update(start.agent, start.task.key, fails ? AttemptState::Failed : AttemptState::Succeeded, {}, "1", fails ? 0 : healthyRunMs);
            }
            harness.advance(50ms);
        }
    }

    /// Submits jobs and ends their attempts in rounds; the first agents, as many as failing says, fail every task.
    static void runRounds(Harness &harness, int failing, int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            for (int i = 0; i < 12; ++i) {
                harness.submit("t", "x");
            }
            harness.advance(20ms);
            for (int i = 0; i < 10; ++i) {
                harness.finishAll(i < failing ? AttemptState::Failed : AttemptState::Succeeded, "w" + std::to_string(i));
            }
            CPPUNIT_ASSERT(harness.state.ejectedCount <= 3);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestScheduling);
