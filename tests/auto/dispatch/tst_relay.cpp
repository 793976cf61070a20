#include "harness.h"

#include "protocol/protocolconstants.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::DispatchTest;
using Protocol::AgentReason;
using Protocol::AttemptState;
using Protocol::Outcome;
using Protocol::Reason;

namespace {

constexpr Protocol::Partition partition = 7;
constexpr std::uint64_t formerIncarnation = std::uint64_t(1'000) << 20U;
constexpr std::uint64_t laterIncarnation = std::uint64_t(2'000) << 20U;
const std::vector<Protocol::Partition> partitions{partition};

void prepare(Harness &harness, const std::string &owner)
{
    harness.kind("t", "x");
    harness.kind("t", "once", false);
    harness.agent("a");
    harness.agent("b");
    harness.setOwner(partition, owner);
}

Protocol::RelayJob makeRelay(Harness &harness, std::uint64_t number, const Base::Uuid &id, bool resubmitted = false)
{
    static_cast<void>(harness);
    return {number, id, Harness::body("t", "once", 2), 5000, resubmitted};
}

void receive(Harness &harness, Protocol::PeerMessage message)
{
    harness.send(Events::PeerMessageReceived{{"other", 1}, std::move(message)});
}

void beginTakeover(Harness &harness)
{
    harness.cluster.takeover.emplace();
    harness.cluster.takeover->partitions = {partition};
    harness.cluster.takeover->mapSeenAt = harness.cluster.now;
}

void endTakeover(Harness &harness, bool complete)
{
    harness.cluster.takeover.reset();
    harness.cluster.lastTakeovers[partition] = {harness.cluster.wall, complete};
    harness.change(Cluster::PartitionsGained{partitions});
}

} // namespace

class TestRelay : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRelay);
    CPPUNIT_TEST(relaysToOwner);
    CPPUNIT_TEST(answersToAFormerProcessDoNotCount);
    CPPUNIT_TEST(relaysAgainToNewOwner);
    CPPUNIT_TEST(answersAtDeadline);
    CPPUNIT_TEST(servesRelays);
    CPPUNIT_TEST(dropsStaleRelays);
    CPPUNIT_TEST(defersDuringTakeover);
    CPPUNIT_TEST(continuesRecovered);
    CPPUNIT_TEST(treatsFencedRecoveredAsLost);
    CPPUNIT_TEST(waitsForLeaseOfRestartedAgent);
    CPPUNIT_TEST(repeatsNothingBesideMissingAgents);
    CPPUNIT_TEST(handsLedgerOver);
    CPPUNIT_TEST(losesPartitions);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against answers that reach the wrong caller, and against cancellations that are not sent on to the owner.
    void relaysToOwner()
    {
        Harness harness;
        prepare(harness, "other");
        const Base::Uuid id = harness.idIn(partition);
        const auto request = harness.submit(Harness::body("t", "x"), id);
        const auto job = harness.peerMessages<Protocol::RelayJob>().at(0);
        CPPUNIT_ASSERT(!job.resubmitted && job.submission == id && job.remainingMs < 10'000 && harness.starts.empty());
        receive(harness, Protocol::RelayAnswer{job.request + 1, id, Protocol::JobSucceeded{{"9"}}});
        receive(harness, Protocol::RelayAnswer{job.request, harness.newId(), Protocol::JobSucceeded{{"9"}}});
        CPPUNIT_ASSERT(!harness.answered(request));
        harness.send(Events::JobCancelRequested{70, "t", id, {}});
        receive(harness, Protocol::RelayStatusAnswer{harness.peerMessages<Protocol::RelayCancel>().at(0).request, {Protocol::JobPhase::Running, 1, 1, 0, {}}});
        CPPUNIT_ASSERT(harness.statuses.size() == 1 && harness.statuses[0].request == 70);
        receive(harness, Protocol::RelayAnswer{job.request, id, Protocol::JobSucceeded{{"1"}}});
        receive(harness, Protocol::RelayAnswer{job.request, id, Protocol::JobSucceeded{{"2"}}});
        CPPUNIT_ASSERT(harness.failure(request).reason == Reason::None);
    }

    /// Guards against callers that get the state of another job: an answer to a former process of this entry, which the owner gave late.
    void answersToAFormerProcessDoNotCount()
    {
        std::vector<std::uint64_t> numbers;
        for (const std::uint64_t incarnation : {formerIncarnation, laterIncarnation}) {
            Harness harness;
            harness.state = Dispatch::initialState({"self", 1, Dispatch::ExpectedWait{}, incarnation});
            prepare(harness, "other");
            harness.send(Events::JobStatusRequested{70, "t", harness.idIn(partition), {}});
            if (!numbers.empty()) {
                receive(harness, Protocol::RelayStatusAnswer{numbers.front(), {Protocol::JobPhase::Running, 1, 1, 0, {}}});
                CPPUNIT_ASSERT(harness.statuses.empty());
            }
            numbers.push_back(harness.peerMessages<Protocol::RelayStatus>().at(0).request);
        }
        // The owner drops relays of a job with a lower number than one that it has refused.
        CPPUNIT_ASSERT(numbers.front() < numbers.back());
    }

    /// Guards against a caller that gets no answer after the owner was lost, and against accepting a late answer of the former owner.
    void relaysAgainToNewOwner()
    {
        Harness harness;
        prepare(harness, "other");
        const Base::Uuid id = harness.idIn(partition);
        const auto request = harness.submit(Harness::body("t", "x"), id);
        harness.setOwner(partition, "third");
        harness.change(Cluster::OwnerChanged{partitions});
        const auto jobs = harness.peerMessages<Protocol::RelayJob>();
        CPPUNIT_ASSERT(jobs.size() == 2 && jobs[1].resubmitted && jobs[1].body == jobs[0].body && harness.peerSends[1].peer == "third");
        receive(harness, Protocol::RelayAnswer{jobs[0].request, id, Protocol::JobFailed{Outcome::NotRun, Reason::Overloaded, 0, 0, {}}});
        CPPUNIT_ASSERT(!harness.answered(request));
        receive(harness, Protocol::RelayAnswer{jobs[1].request, id, Protocol::JobSucceeded{{"1"}}});
        CPPUNIT_ASSERT(harness.failure(request).reason == Reason::None);
    }

    /// Guards against a not-run answer for a job that another entry may have run.
    void answersAtDeadline()
    {
        struct Case {
            bool map;
            bool given;
            Outcome outcome;
        };
        for (const Case &test : {Case{true, true, Outcome::Unknown}, Case{false, true, Outcome::Unknown}, Case{false, false, Outcome::NotRun}}) {
            Harness harness;
            prepare(harness, "other");
            if (!test.map) {
                harness.cluster.map.reset();
            }
            const auto id = test.given ? std::optional(harness.idIn(partition)) : std::nullopt;
            const auto request = harness.submit(Harness::body("t", "x", 1, 1000), id);
            harness.advance(990ms);
            CPPUNIT_ASSERT(!harness.answered(request));
            harness.advance(20ms);
            CPPUNIT_ASSERT(harness.failure(request).outcome == test.outcome);
            CPPUNIT_ASSERT(Dispatch::isIdle(harness.state));
        }
    }

    /// Guards against an owner that starts a relayed job twice or answers only one of its relays.
    void servesRelays()
    {
        Harness harness;
        prepare(harness, "self");
        const Base::Uuid id = harness.idIn(partition);
        receive(harness, makeRelay(harness, 1, id));
        receive(harness, makeRelay(harness, 2, id, true));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.startCount);
        harness.finishAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.peerMessages<Protocol::RelayAnswer>().size());
        receive(harness, makeRelay(harness, 3, id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.peerMessages<Protocol::RelayAnswer>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.startCount);
    }

    /// Guards against a start after a not-run answer: the first relay may arrive after the refusal of the second.
    void dropsStaleRelays()
    {
        Harness harness;
        prepare(harness, "self");
        const Base::Uuid id = harness.idIn(partition);
        harness.send(Events::DrainRequested{});
        receive(harness, makeRelay(harness, 2, id, true));
        harness.state.draining = false;
        receive(harness, makeRelay(harness, 1, id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.startCount);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.peerMessages<Protocol::RelayAnswer>().size());
    }

    /// Guards against refusing jobs whose deadline is after the expected end of a takeover, and against deferring the others.
    void defersDuringTakeover()
    {
        Harness harness;
        prepare(harness, "self");
        beginTakeover(harness);
        const auto deferred = harness.submit(Harness::body("t", "x", 1, 9000), harness.idIn(partition));
        receive(harness, makeRelay(harness, 1, harness.idIn(partition)));
        const auto refused = harness.failure(harness.submit(Harness::body("t", "x", 1, 1000), harness.idIn(partition)));
        CPPUNIT_ASSERT(refused.reason == Reason::OwnerRecovering && refused.retryAfterMs > 0);
        // The former owner may have started it.
        CPPUNIT_ASSERT(refused.outcome == Outcome::Unknown);
        harness.advance(4s);
        CPPUNIT_ASSERT(harness.startCount == 0 && !harness.answered(deferred));
        endTakeover(harness, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.startCount);
        harness.finishAll();
        CPPUNIT_ASSERT(harness.failure(deferred).reason == Reason::None);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.peerMessages<Protocol::RelayAnswer>().size());
    }

    /// Guards against a second start of what the former owner started, for each state that an agent may report.
    void continuesRecovered()
    {
        struct Case {
            AttemptState reported;
            bool complete; ///< Every agent answered the fence query
            std::size_t starts; ///< Of two tasks, the first of which was reported
            Reason reason;
        };
        const Case cases[] = {
            {AttemptState::Succeeded, true, 1, Reason::None},
            {AttemptState::Running, true, 1, Reason::None},
            {AttemptState::Queued, true, 1, Reason::None},
            {AttemptState::Refused, true, 2, Reason::None},
            {AttemptState::Lost, true, 0, Reason::AttemptLost},
            {AttemptState::Failed, true, 0, Reason::TaskFailed},
            {AttemptState::Succeeded, false, 0, Reason::OwnerLost},
            {AttemptState::Running, false, 0, Reason::OwnerLost},
        };
        for (const Case &test : cases) {
            Harness harness;
            prepare(harness, "self");
            beginTakeover(harness);
            const Base::Uuid id = harness.idIn(partition);
            const Protocol::JobBody body = Harness::body("t", "once", 2, 9000);
            const Base::AttemptKey key{{id, 0}, 1};
            Protocol::AttemptRecord record{
                {key, test.reported, AgentReason::None, 1, "\"kept\""}, partition, Protocol::computeBodyDigest(body), "t", "once", false};
            harness.change(Cluster::AttemptsRecovered{"a", {record}});
            harness.change(Cluster::AttemptsRecovered{"a", {record}});
            const auto request = harness.submit(body, id);
            CPPUNIT_ASSERT(!harness.answered(request));
            endTakeover(harness, test.complete);
            harness.advance(100ms);
            if (test.reported == AttemptState::Running || test.reported == AttemptState::Queued) {
                CPPUNIT_ASSERT(std::holds_alternative<Protocol::QueryAttempts>(harness.agentSends.at(0).request));
                harness.update("a", key, AttemptState::Succeeded, AgentReason::None, "\"kept\"");
            }
            CPPUNIT_ASSERT_EQUAL(test.starts, harness.startCount);
            harness.finishAll();
            CPPUNIT_ASSERT_EQUAL(std::string(toString(test.reason)), std::string(toString(harness.failure(request).reason)));
        }
    }

    /// Guards against a second start of a recovered attempt after a takeover: a restarted agent reports as fenced what its former
    /// incarnation may have run.
    void treatsFencedRecoveredAsLost()
    {
        Harness harness;
        prepare(harness, "self");
        beginTakeover(harness);
        const Base::Uuid id = harness.idIn(partition);
        const Protocol::JobBody body = Harness::body("t", "once", 1, 9000);
        const Base::AttemptKey key{{id, 0}, 1};
        Protocol::AttemptRecord record{{key, AttemptState::Queued, AgentReason::None, 0, {}}, partition, Protocol::computeBodyDigest(body), "t", "once", false};
        harness.change(Cluster::AttemptsRecovered{"a", {record}});
        endTakeover(harness, true);
        const auto request = harness.submit(body, id);
        harness.update("a", key, AttemptState::Refused, AgentReason::Fenced);
        CPPUNIT_ASSERT(harness.failure(request).reason == Reason::AttemptLost && harness.startCount == 0);
    }

    /// Guards against a second run beside the first one of an agent that restarted during a takeover: the lease of its former process still runs.
    void waitsForLeaseOfRestartedAgent()
    {
        Harness harness;
        prepare(harness, "self");
        harness.kind("t", "again", true);
        beginTakeover(harness);
        const Base::Uuid id = harness.idIn(partition);
        const Protocol::JobBody body = Harness::body("t", "again", 1, 9000);
        const Base::AttemptKey key{{id, 0}, 1};
        Protocol::AttemptRecord record{
            {key, AttemptState::Running, AgentReason::None, 0, {}}, partition, Protocol::computeBodyDigest(body), "t", "again", true};
        harness.change(Cluster::AttemptsRecovered{"a", {record}});
        endTakeover(harness, true);
        harness.submit(body, id);
        harness.update("a", key, AttemptState::Refused, AgentReason::Fenced);
        harness.advance(Protocol::leaseDuration);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.startCount);
        harness.advance(Protocol::leaseMargin + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.startCount);
    }

    /// Guards against a second run beside one at an agent that did not answer: the former owner may have repeated there what another agent reported.
    void repeatsNothingBesideMissingAgents()
    {
        struct Case {
            AttemptState ended; ///< End of the reported attempt
            AgentReason reason;
            bool complete; ///< Every agent answered the fence query
            std::size_t starts;
        };
        const Case cases[] = {
            {AttemptState::Stopped, AgentReason::LeaseEnded, false, 0},
            {AttemptState::Refused, AgentReason::LeaseEnded, false, 0},
            {AttemptState::Lost, AgentReason::BackendLost, false, 0},
            {AttemptState::Failed, AgentReason::BackendError, false, 0},
            {AttemptState::Stopped, AgentReason::LeaseEnded, true, 1},
            {AttemptState::Refused, AgentReason::LeaseEnded, true, 1},
        };
        for (const Case &test : cases) {
            Harness harness;
            prepare(harness, "self");
            harness.kind("t", "again", true);
            beginTakeover(harness);
            const Base::Uuid id = harness.idIn(partition);
            const Protocol::JobBody body = Harness::body("t", "again", 1, 9000);
            const Base::AttemptKey key{{id, 0}, 1};
            Protocol::AttemptRecord record{
                {key, AttemptState::Running, AgentReason::None, 0, {}}, partition, Protocol::computeBodyDigest(body), "t", "again", true};
            harness.change(Cluster::AttemptsRecovered{"a", {record}});
            const auto request = harness.submit(body, id);
            endTakeover(harness, test.complete);
            harness.update("a", key, test.ended, test.reason);
            harness.advance(Protocol::leaseDuration + Protocol::leaseMargin + 1s);
            CPPUNIT_ASSERT_EQUAL(test.starts, harness.startCount);
            if (!test.complete) {
                const Protocol::JobFailed failed = harness.failure(request);
                CPPUNIT_ASSERT(failed.outcome == Outcome::Unknown && failed.reason == Reason::AttemptLost);
            }
        }
    }

    /// Guards against a handover after which submissions run again or are unknown.
    void handsLedgerOver()
    {
        Harness before;
        prepare(before, "self");
        const Protocol::JobBody body = Harness::body("t", "once", 2, 9000);
        const Base::Uuid done = before.idIn(partition);
        const Base::Uuid open = before.idIn(partition);
        before.submit(body, done);
        before.finishAll();
        before.submit(body, open);
        const auto started = before.starts;
        before.update(started[0].agent, started[0].task.key, AttemptState::Succeeded);
        const auto records = Dispatch::ledgerRecords(before.state, partitions);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records.size());

        Harness after;
        prepare(after, "self");
        after.cluster.takeover.emplace().partitions = {partition};
        const auto early = after.submit(body, done);
        after.change(Cluster::LedgerReceived{records});
        after.cluster.takeover.reset();
        after.change(Cluster::PartitionsGained{partitions});
        const auto late = after.submit(body, open);
        CPPUNIT_ASSERT(after.failure(early).reason == Reason::None && !after.answered(late));
        after.update(started[1].agent, started[1].task.key, AttemptState::Succeeded);
        CPPUNIT_ASSERT(after.failure(late).reason == Reason::None);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, after.startCount);
    }

    /// Guards against a former owner that still starts queued tasks, or whose callers get no answer from the new owner.
    void losesPartitions()
    {
        Harness harness;
        prepare(harness, "self");
        const Base::Uuid id = harness.idIn(partition);
        const auto request = harness.submit(Harness::body("t", "x", 40), id);
        const std::size_t started = harness.startCount;
        harness.setOwner(partition, "other");
        harness.change(Cluster::PartitionsLost{partitions});
        const auto job = harness.peerMessages<Protocol::RelayJob>().at(0);
        CPPUNIT_ASSERT(job.resubmitted && job.submission == id);
        harness.finishAll();
        CPPUNIT_ASSERT_EQUAL(started, harness.startCount);
        CPPUNIT_ASSERT(harness.state.ledger.empty() && harness.state.teams["t"].waitingCount == 0 && harness.state.liveAttemptCount == 0);
        receive(harness, Protocol::RelayAnswer{job.request, id, Protocol::JobSucceeded{{"1"}}});
        CPPUNIT_ASSERT(harness.failure(request).reason == Reason::None);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRelay);
