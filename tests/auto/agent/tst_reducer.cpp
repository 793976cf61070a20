#include "agentexpectations.h"

#include "agent/agentconstants.h"
#include "protocol/codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <set>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Agent;

namespace {

struct OutcomeCase {
    BackendOutcome outcome;
    bool idempotent;
    AttemptState state;
    AgentReason reason;
};

const OutcomeCase outcomeCases[] = {
    {BackendOutcome::Succeeded, true, AttemptState::Succeeded, AgentReason::None},
    {BackendOutcome::Failed, true, AttemptState::Failed, AgentReason::BackendError},
    {BackendOutcome::NotStarted, false, AttemptState::Refused, AgentReason::BackendBusy},
    {BackendOutcome::Stopped, true, AttemptState::Stopped, AgentReason::LeaseEnded},
    {BackendOutcome::Lost, false, AttemptState::Lost, AgentReason::BackendLost},
};

} // namespace

class TestReducer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestReducer);
    CPPUNIT_TEST(outcomes);
    CPPUNIT_TEST(lostIdempotent);
    CPPUNIT_TEST(leases);
    CPPUNIT_TEST(unrepeatableLease);
    CPPUNIT_TEST(runTimeLimit);
    CPPUNIT_TEST(cancellation);
    CPPUNIT_TEST(queuedOutdated);
    CPPUNIT_TEST(updatesAfterLinkLoss);
    CPPUNIT_TEST(takeover);
    CPPUNIT_TEST(unfencedFormerOwner);
    CPPUNIT_TEST(ownersPassedOver);
    CPPUNIT_TEST(staleFenceQuery);
    CPPUNIT_TEST(fenceReplyParts);
    CPPUNIT_TEST(retention);
    CPPUNIT_TEST(boundedResults);
    CPPUNIT_TEST(shortBeforeLong);
    CPPUNIT_TEST(demotion);
    CPPUNIT_TEST(heartbeats);
    CPPUNIT_TEST(learnedSpeed);
    CPPUNIT_TEST(drain);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against reporting a wrong end of an attempt: the owner decides by it whether to start the task again.
    void outcomes()
    {
        for (const OutcomeCase &row : outcomeCases) {
            Harness agent;
            Protocol::StartTask task = makeStartTask(key1);
            task.idempotent = row.idempotent;
            agent.start(task);
            agent.advance(50ms);
            agent.feed(BackendTaskEnded{key1, row.outcome, "7"});
            expectUpdate(agent, std::string(toString(row.state)), "a", key1, row.state, row.reason);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{50}, agent.newestUpdateTo("a", key1)->runMs);
        }
    }

    /// Guards against a second attempt of an idempotent task while the first still runs, after the connection of its start call
    /// broke.
    void lostIdempotent()
    {
        Harness agent;
        agent.start(makeStartTask(key1));
        agent.feed(BackendTaskEnded{key1, BackendOutcome::Lost, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.effectsOfType<BackendStop>().size());
        agent.advanceWithEchoes(Protocol::leaseDuration);
        expectUpdate(agent, "before the end of the lease", "a", key1, AttemptState::Running);
        CPPUNIT_ASSERT(agent.effectsOfType<BackendRenew>().empty());
        agent.advanceWithEchoes(Protocol::leaseMargin);
        expectUpdate(agent, "after the end of the lease", "a", key1, AttemptState::Lost, AgentReason::BackendLost);
    }

    /// Guards against an idempotent task that still runs when its owner already counts it as fenced. Its lease must not reach
    /// beyond the newest echo of the owner plus the lease duration.
    void leases()
    {
        Harness agent;
        agent.start(makeStartTask(key1));
        agent.advanceWithEchoes(3s);
        CPPUNIT_ASSERT(agent.effectsOfType<BackendRenew>().size() >= 5);
        CPPUNIT_ASSERT(agent.effectsOfType<BackendStop>().empty());
        const Base::MonoTime lastEcho = agent.now;
        while (agent.now - lastEcho < Protocol::leaseDuration) {
            CPPUNIT_ASSERT(agent.effectsOfType<BackendStop>().empty());
            for (const Effect &effect : agent.advance(10ms)) {
                const auto *renew = std::get_if<BackendRenew>(&effect);
                CPPUNIT_ASSERT(renew == nullptr || agent.now + renew->leaseMs * 1ms <= lastEcho + Protocol::leaseDuration);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.effectsOfType<BackendStop>().size());
        agent.feed(BackendTaskEnded{key1, BackendOutcome::Stopped, {}});
        expectUpdate(agent, "stopped", "a", key1, AttemptState::Stopped, AgentReason::LeaseEnded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counterTotal(agent, "agent.stopped.lease-ended"));
    }

    /// Guards against stopping a task that is not idempotent because its owner is silent.
    void unrepeatableLease()
    {
        Harness agent;
        Protocol::StartTask task = makeStartTask(key1);
        task.idempotent = false;
        task.limitMs = 20'000;
        agent.start(task);
        for (int i = 0; i < 190; ++i) {
            agent.advance(100ms);
        }
        CPPUNIT_ASSERT(agent.effectsOfType<BackendStop>().empty());
        CPPUNIT_ASSERT(agent.effectsOfType<BackendRenew>().size() > 15);
        agent.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.effectsOfType<BackendStop>().size());
    }

    /// Guards against tasks that occupy a slot beyond their run time limit, even if the backend server never confirms the stop.
    void runTimeLimit()
    {
        for (const bool confirmed : {true, false}) {
            Harness agent;
            Protocol::StartTask task = makeStartTask(key1);
            task.limitMs = 1000;
            agent.start(task);
            agent.advanceWithEchoes(1s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.effectsOfType<BackendStop>().size());
            if (confirmed) {
                agent.feed(BackendTaskEnded{key1, BackendOutcome::Stopped, {}});
            } else {
                agent.advanceWithEchoes(Protocol::leaseDuration + Protocol::leaseMargin);
            }
            expectUpdate(agent, confirmed ? "confirmed" : "not confirmed", "a", key1, AttemptState::Stopped, AgentReason::RunTimeLimit);
            CPPUNIT_ASSERT(agent.state.running.empty());
        }
    }

    /// Guards against a cancelled task that still starts or keeps running, and against cancellation by a former owner.
    void cancellation()
    {
        Harness agent(1, 0);
        agent.start(makeStartTask(key1));
        agent.start(makeStartTask(makeAttemptKey(2)));
        agent.start(makeStartTask(makeAttemptKey(3)), 2);
        agent.request("old", Protocol::CancelTasks{1, {key1, makeAttemptKey(2)}});
        expectUpdate(agent, "former owner", "old", makeAttemptKey(2), AttemptState::Queued);
        CPPUNIT_ASSERT(agent.effectsOfType<BackendStop>().empty());
        agent.request("a", Protocol::CancelTasks{2, {key1, makeAttemptKey(2)}});
        expectUpdate(agent, "queued", "a", makeAttemptKey(2), AttemptState::Refused, AgentReason::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.effectsOfType<BackendStop>().size());
        agent.feed(BackendTaskEnded{key1, BackendOutcome::Stopped, {}});
        expectUpdate(agent, "running", "a", key1, AttemptState::Stopped, AgentReason::Cancelled);
        CPPUNIT_ASSERT(agent.effectsOfType<BackendStart>().back().key == makeAttemptKey(3));
    }

    /// Guards against starting a queued task whose deadline, lease or settings expired while it was queued, or during a drain.
    void queuedOutdated()
    {
        struct Row {
            AgentReason reason;
            std::function<void(Harness &)> meanwhile;
        };
        const Row rows[] = {
            {AgentReason::DeadlinePast, [](Harness &agent) { agent.advanceWithEchoes(1s); }},
            {AgentReason::LeaseEnded,
             [](Harness &agent) {
                 agent.request("b", Protocol::FenceQuery{2, {3}});
             }},
            {AgentReason::SettingsTooOld,
             [](Harness &agent) {
                 Protocol::StartTask newer = makeStartTask(makeAttemptKey(3));
                 newer.settingsRevision = 6;
                 agent.start(newer);
             }},
            {AgentReason::Draining, [](Harness &agent) { agent.feed(DrainRequested{}); }},
        };
        for (const Row &row : rows) {
            Harness agent(1, 0);
            agent.start(makeStartTask(makeAttemptKey(2)));
            Protocol::StartTask task = makeStartTask(key1);
            task.remainingMs = 1000;
            agent.start(task);
            row.meanwhile(agent);
            agent.feed(BackendTaskEnded{makeAttemptKey(2), BackendOutcome::Succeeded, "1"});
            const std::string owner = row.reason == AgentReason::LeaseEnded ? "b" : "a";
            expectUpdate(agent, std::string(toString(row.reason)), owner, key1, AttemptState::Refused, row.reason);
        }
    }

    /// Guards against losing the result of a task that ends while the link to its owner is down.
    void updatesAfterLinkLoss()
    {
        Harness agent;
        agent.start(makeStartTask(key1));
        agent.link("a", false);
        agent.feed(BackendTaskEnded{key1, BackendOutcome::Succeeded, "1"});
        expectUpdate(agent, "link down", "a", key1, AttemptState::Running);
        agent.link("a", true);
        expectUpdate(agent, "link up", "a", key1, AttemptState::Succeeded);
        agent.link("a", true);
        CPPUNIT_ASSERT(
            std::none_of(agent.lastEffects.begin(), agent.lastEffects.end(), [](const Effect &effect) { return std::holds_alternative<SendToEntry>(effect); }));
    }

    /// Guards against results sent to a former owner, and against leases extended by a former owner's echoes.
    void takeover()
    {
        Harness agent;
        agent.hello("b");
        agent.start(makeStartTask(key1));
        agent.request("b", Protocol::FenceQuery{2, {3}});
        const auto reply = std::get<Protocol::FenceReply>(agent.effectsOfType<SendToEntry>().back().reply);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.records.size());
        CPPUNIT_ASSERT(reply.last && reply.records[0].update.state == AttemptState::Running && reply.records[0].team == "adire");
        agent.advanceWithEchoes(1750ms, "a");
        CPPUNIT_ASSERT(agent.effectsOfType<BackendStop>().empty());
        agent.advanceWithEchoes(250ms, "a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.effectsOfType<BackendStop>().size());
        agent.feed(BackendTaskEnded{key1, BackendOutcome::Stopped, {}});
        expectUpdate(agent, "new owner", "b", key1, AttemptState::Stopped, AgentReason::LeaseEnded);
        expectUpdate(agent, "former owner", "a", key1, AttemptState::Running);
    }

    /// Guards against a task that a former owner starts elsewhere while it still runs here. A fence query is sent before the former owner is
    /// fenced, so what that owner started must end with its echoes until the new owner serves.
    void unfencedFormerOwner()
    {
        for (const bool serves : {false, true}) {
            Harness agent;
            agent.start(makeStartTask(key1));
            agent.request("b", Protocol::FenceQuery{2, {3}});
            agent.hello("b");
            if (serves) {
                agent.request("b", Protocol::QueryAttempts{2, {key1}});
            }
            agent.advanceWithEchoes(1750ms, "b");
            CPPUNIT_ASSERT(agent.effectsOfType<BackendStop>().empty());
            agent.advanceWithEchoes(250ms, "b");
            CPPUNIT_ASSERT_EQUAL(std::size_t{serves ? 0U : 1U}, agent.effectsOfType<BackendStop>().size());
        }
    }

    /// Guards against the same task if another entry takes over before the first one serves: both former owners may still start it elsewhere.
    void ownersPassedOver()
    {
        for (const std::string &silent : {std::string("a"), std::string("b"), std::string("c")}) {
            Harness agent;
            agent.hello("b");
            agent.hello("c");
            agent.start(makeStartTask(key1));
            agent.request("b", Protocol::FenceQuery{2, {3}});
            agent.request("c", Protocol::FenceQuery{3, {3}});
            for (Base::Duration passed{}; passed < Protocol::leaseDuration; passed += Protocol::heartbeatInterval) {
                CPPUNIT_ASSERT_MESSAGE(silent, agent.effectsOfType<BackendStop>().empty());
                agent.advance(Protocol::heartbeatInterval);
                for (const std::string &entry : {std::string("a"), std::string("b"), std::string("c")}) {
                    if (entry != silent) {
                        agent.hello(entry);
                    }
                }
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(silent, std::size_t{1}, agent.effectsOfType<BackendStop>().size());
        }
    }

    /// Guards against a reply to a fence query of a superseded owner, which would take the reply as final.
    void staleFenceQuery()
    {
        Harness agent;
        agent.request("b", Protocol::FenceQuery{3, {3}});
        agent.request("a", Protocol::FenceQuery{2, {2, 3}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.effectsOfType<SendToEntry>().size());
        agent.start(makeStartTask(key1), 3, "b");
        expectUpdate(agent, "owner kept", "b", key1, AttemptState::Running);
    }

    /// Guards against a fence reply that exceeds the maximum frame size, and against parts that lose or repeat records.
    void fenceReplyParts()
    {
        Harness agent(8, 0);
        for (std::uint8_t i = 0; i < 40; ++i) {
            agent.start(makeStartTask(makeAttemptKey(i)));
            agent.feed(BackendTaskEnded{makeAttemptKey(i), BackendOutcome::Succeeded, std::string(100'000, '1')});
        }
        agent.request("b", Protocol::FenceQuery{2, {3}});
        std::set<Base::AttemptKey> listed;
        std::size_t parts = 0;
        for (const SendToEntry &sent : agent.effectsOfType<SendToEntry>()) {
            if (const auto *reply = std::get_if<Protocol::FenceReply>(&sent.reply)) {
                ++parts;
                CPPUNIT_ASSERT(Protocol::encode(Protocol::LinkMessage(sent.reply)).size() < 1'000'000);
                for (const Protocol::AttemptRecord &record : reply->records) {
                    CPPUNIT_ASSERT(listed.insert(record.update.key).second);
                }
                CPPUNIT_ASSERT_EQUAL(listed.size() == 40, reply->last);
            }
        }
        CPPUNIT_ASSERT(parts >= 4 && listed.size() == 40);
    }

    /// Guards against a ledger that forgets an attempt within the deduplication window, so that a late resubmission starts it
    /// again, and against unlimited growth.
    void retention()
    {
        Harness agent;
        agent.start(makeStartTask(key1));
        agent.feed(BackendTaskEnded{key1, BackendOutcome::Succeeded, "1"});
        agent.request("a", Protocol::QueryAttempts{1, {makeAttemptKey(2)}});
        agent.advance(Protocol::deduplicationWindow + Protocol::maxClockSkew - 1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, agent.state.ledger.records.size());
        agent.advance(1ms);
        CPPUNIT_ASSERT(agent.state.ledger.records.empty() && agent.state.ledger.resultOrder.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, agent.state.ledger.resultBytes);
    }

    /// Guards against unlimited memory for results, and against reporting an attempt with a dropped result as succeeded.
    void boundedResults()
    {
        Harness agent;
        for (std::uint8_t i = 0; i < 20; ++i) {
            agent.start(makeStartTask(makeAttemptKey(i)));
            agent.feed(BackendTaskEnded{makeAttemptKey(i), BackendOutcome::Succeeded, std::string(maxTotalResultBytes / 10, '1')});
            CPPUNIT_ASSERT(agent.state.ledger.resultBytes <= maxTotalResultBytes);
        }
        agent.request("a", Protocol::QueryAttempts{1, {makeAttemptKey(0), makeAttemptKey(19)}});
        expectUpdate(agent, "dropped", "a", makeAttemptKey(0), AttemptState::Lost);
        expectUpdate(agent, "kept", "a", makeAttemptKey(19), AttemptState::Succeeded);
        agent.start(makeStartTask(makeAttemptKey(0)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, agent.effectsOfType<BackendStart>().size());
    }

    /// Guards against short tasks that wait behind long ones, and against long tasks that never start.
    void shortBeforeLong()
    {
        const auto task = [](std::uint8_t n, std::uint32_t expectedMs) {
            Protocol::StartTask made = makeStartTask(makeAttemptKey(n));
            made.expectedMs = expectedMs;
            return made;
        };
        Harness agent(2, 1);
        agent.start(task(1, 5000));
        agent.start(task(2, 5000));
        agent.start(task(3, 900));
        agent.start(task(4, 900));
        const auto startedLast = [&] { return agent.effectsOfType<BackendStart>().back().key; };
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, agent.effectsOfType<BackendStart>().size());
        CPPUNIT_ASSERT(startedLast() == makeAttemptKey(3));
        agent.feed(BackendTaskEnded{makeAttemptKey(1), BackendOutcome::Succeeded, "1"});
        CPPUNIT_ASSERT(startedLast() == makeAttemptKey(4));
        agent.advanceWithEchoes(2500ms);
        agent.start(task(5, 900));
        agent.feed(BackendTaskEnded{makeAttemptKey(3), BackendOutcome::Succeeded, "1"});
        CPPUNIT_ASSERT_MESSAGE("a long task that waited longer than its penalty starts first", startedLast() == makeAttemptKey(2));
    }

    /// Guards against a long-running task with a short expected time that delays short tasks, and against repeated checkpoints.
    void demotion()
    {
        Harness agent(1, 0);
        agent.start(makeStartTask(key1));
        agent.advanceWithEchoes(1500ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counterTotal(agent, "agent.demoted"));
        CPPUNIT_ASSERT(agent.effectsOfType<BackendThrottle>().empty());
        for (std::uint8_t round = 0; round < 2; ++round) {
            const Base::AttemptKey waiting = makeAttemptKey(static_cast<std::uint8_t>(2 + round));
            agent.start(makeStartTask(waiting));
            agent.advanceWithEchoes(500ms);
            agent.request("a", Protocol::CancelTasks{1, {waiting}});
            agent.advanceWithEchoes(500ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, agent.effectsOfType<BackendThrottle>().size());
        CPPUNIT_ASSERT(agent.effectsOfType<BackendThrottle>()[0].share < 1.0 && agent.effectsOfType<BackendThrottle>()[1].share == 1.0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.effectsOfType<BackendCheckpoint>().size());
    }

    /// Guards against entries that learn late or never that an agent is leaving.
    void heartbeats()
    {
        Harness agent;
        agent.feed(EntryHelloReceived{{}, {{"a", 1}, 7, agent.token(), {{"10.0.0.1", 1}, {"10.0.0.2", 1}}}});
        agent.feed(EntryHelloReceived{{}, {{"old", 1}, 6, agent.token(), {{"10.0.0.8", 1}, {"10.0.0.9", 1}}}});
        agent.allEffects.clear();
        agent.advance(Protocol::heartbeatInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, agent.effectsOfType<SendHeartbeat>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.effectsOfType<QueryBackendStatus>().size());
        struct Row {
            Event event;
            Protocol::AgentState state;
        };
        const Row rows[] = {
            {BackendStatus{BackendState::Leaving, 2, {}}, Protocol::AgentState::Leaving},
            {BackendStatus{BackendState::Serving, 2, {}}, Protocol::AgentState::Active},
            {BackendStatus{}, Protocol::AgentState::Active},
            {BackendStatus{}, Protocol::AgentState::Draining},
            {DrainRequested{}, Protocol::AgentState::Leaving},
        };
        Protocol::AgentState before = Protocol::AgentState::Active;
        for (const Row &row : rows) {
            agent.allEffects.clear();
            agent.feed(row.event);
            const auto sent = agent.effectsOfType<SendHeartbeat>();
            CPPUNIT_ASSERT_EQUAL(row.state == before ? std::size_t{0} : std::size_t{2}, sent.size());
            CPPUNIT_ASSERT(sent.empty() || sent[0].heartbeat.state == row.state);
            CPPUNIT_ASSERT_EQUAL(sent.size() / 2,
                                 agent.effectsOfType<LogLine>().size() - (std::holds_alternative<BackendStatus>(row.event) && !sent.empty() ? 1 : 0));
            before = row.state;
        }
    }

    /// Guards against a wrong speed estimate, by which a slow backend server would get as much work as a fast one.
    void learnedSpeed()
    {
        Harness agent;
        for (std::uint8_t i = 0; i < 100; ++i) {
            agent.start(makeStartTask(makeAttemptKey(i)));
            agent.advanceWithEchoes(250ms);
            agent.feed(BackendTaskEnded{makeAttemptKey(i), BackendOutcome::Succeeded, "1"});
        }
        agent.allEffects.clear();
        agent.advance(Protocol::heartbeatInterval);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, agent.effectsOfType<SendHeartbeat>().at(0).heartbeat.load.speed, 0.01);
    }

    /// Guards against a drain that interrupts a task or loses its result.
    void drain()
    {
        Harness agent(1, 0);
        agent.start(makeStartTask(key1));
        agent.start(makeStartTask(makeAttemptKey(2)));
        agent.feed(DrainRequested{});
        expectUpdate(agent, "queued task refused", "a", makeAttemptKey(2), AttemptState::Refused, AgentReason::Draining);
        agent.advanceWithEchoes(3s);
        CPPUNIT_ASSERT(agent.effectsOfType<BackendStop>().empty() && agent.effectsOfType<Exit>().empty());
        agent.link("a", false);
        agent.feed(BackendTaskEnded{key1, BackendOutcome::Succeeded, "1"});
        CPPUNIT_ASSERT(agent.effectsOfType<Exit>().empty());
        agent.link("a", true);
        expectUpdate(agent, "finished", "a", key1, AttemptState::Succeeded);
        CPPUNIT_ASSERT(std::holds_alternative<Exit>(agent.lastEffects.back()));
        agent.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.effectsOfType<Exit>().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestReducer);
