#include "membershipsupport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Cluster;
using namespace LaburnumFlow::ClusterTest;

namespace {

/// Lets the entry take over the partitions of the other members, with an empty answer from each agent that it queries and, if the agent stays, its
/// heartbeats. Returns one that it gained.
Protocol::Partition takeOver(
    Entry &entry,
    const std::function<void()> &meanwhile = [] {},
    bool agentStays = true)
{
    Protocol::PartitionMap next = makeMap({a}, entry.state.map->epoch + 1);
    next.unfenced = {{entry.state.map->epoch, entry.state.map->entries}};
    entry.clearRecorded();
    entry.read(next, 2);
    for (std::size_t queries = entry.all<Events::SendToAgent>().size(); queries > 0; --queries) {
        entry.feed(Events::AgentReplyReceived{{"a", 1}, Protocol::FenceReply{next.epoch, {}, {}, true}});
    }
    meanwhile();
    for (std::int64_t passed = 0; passed < 4000; passed += 250) {
        entry.advance(250);
        if (agentStays && entry.state.agents.contains("a")) {
            entry.receiveAgentHeartbeat();
        }
    }
    CPPUNIT_ASSERT(!entry.all<PartitionsGained>().empty());
    return entry.all<PartitionsGained>().at(0)->partitions.at(0);
}

} // namespace

/// What an entry learns of the former owner's work before it serves partitions that it has taken over.
class TestPartitionTakeover : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPartitionTakeover);
    CPPUNIT_TEST(takeoverWaits);
    CPPUNIT_TEST(fenceQueries);
    CPPUNIT_TEST(agentFirstHeardOfLate);
    CPPUNIT_TEST(forgottenAgent);
    CPPUNIT_TEST(agentKnownToFormerOwnerOnly);
    CPPUNIT_TEST(agentSilentSinceItsReply);
    CPPUNIT_TEST(startsUnknownDuringTakeover);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against serving before the former owner's authority and its delayed starts have ended.
    void takeoverWaits()
    {
        const struct {
            std::int64_t acknowledgedAfterMs; ///< when "ec" acknowledges, the second of three members to do so after "ea"
            std::int64_t servingAfterMs;
        } table[] = {{0, 3850}, {400, 3850}, {1000, 4300}, {5000, 8300}};
        for (const auto &row : table) {
            Entry entry = servingEntry({a, b, c});
            Protocol::PartitionMap next = makeMap({a, c}, 11);
            next.unfenced = {{10, {a, b, c}}};
            entry.read(next, 2);
            const std::size_t recovering = entry.countPartitions(Authority::Recovering);
            entry.advance(row.acknowledgedAfterMs);
            entry.message(c, Protocol::MapAck{c.id, c.peer, 11, {}});
            for (std::int64_t passed = row.acknowledgedAfterMs; passed < row.servingAfterMs - 50; passed += 50) {
                entry.advance(50);
            }
            CPPUNIT_ASSERT_EQUAL(recovering, entry.countPartitions(Authority::Recovering));
            entry.advance(50);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), entry.countPartitions(Authority::Recovering));
            CPPUNIT_ASSERT_EQUAL(recovering, entry.all<PartitionsGained>().at(0)->partitions.size());
        }
    }

    /// Guards against a takeover that loses the attempts listed by agents, or that takes a missing reply for an empty list.
    void fenceQueries()
    {
        for (const bool answers : {true, false}) {
            Entry entry = servingEntry({a, b});
            entry.receiveAgentHeartbeat();
            entry.feed(Events::AgentLinkChanged{{"a", 1}, true});
            entry.clearRecorded();
            const Protocol::PartitionMap next = makeMap({a}, 11);
            entry.read(next, 2);
            const auto query = std::get<Protocol::FenceQuery>(entry.all<Events::SendToAgent>().at(0)->request);
            CPPUNIT_ASSERT_EQUAL(entry.countPartitions(Authority::Recovering), query.partitions.size());
            entry.feed(Events::AgentLinkChanged{{"a", 1}, false});
            entry.feed(Events::AgentLinkChanged{{"a", 1}, true});
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.all<Events::SendToAgent>().size()); // sent again on the new link
            Protocol::FenceReply reply;
            reply.epoch = answers ? 11 : 10;
            reply.records.resize(2);
            reply.records[0].partition = query.partitions.at(0);
            reply.records[1].partition = static_cast<Protocol::Partition>(query.partitions.at(0) + 1);
            reply.last = false;
            entry.feed(Events::AgentReplyReceived{{"a", 1}, reply});
            reply.last = true;
            entry.feed(Events::AgentReplyReceived{{"a", 1}, reply});
            entry.clearRecorded();
            for (std::int64_t passed = 0; passed < 4000; passed += 250) {
                entry.advance(250);
                entry.receiveAgentHeartbeat();
            }
            const auto recovered = entry.all<AttemptsRecovered>();
            CPPUNIT_ASSERT_EQUAL(std::size_t(answers ? 1 : 0), recovered.size());
            const auto isGain = [](const Change &change) { return std::holds_alternative<PartitionsGained>(change); };
            const auto gain = std::find_if(entry.changes.begin(), entry.changes.end(), isGain);
            CPPUNIT_ASSERT(gain != entry.changes.end());
            CPPUNIT_ASSERT(!answers || std::holds_alternative<AttemptsRecovered>(*std::prev(gain)));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(answers ? 0 : 1), entry.counterValue("takeover.agents-missing"));
            const Base::WallTime before = entry.state.lastTakeovers.at(query.partitions.at(0)).at;
            CPPUNIT_ASSERT_EQUAL(answers, isKnownUnstarted(entry.state, query.partitions.at(0), before));
            CPPUNIT_ASSERT(isKnownUnstarted(entry.state, query.partitions.at(0), before + Base::WallTime(2001)));
        }
    }

    /// Guards against a takeover that takes a submission for never started because the new owner never heard of the agent's former process, which ran it.
    void agentFirstHeardOfLate()
    {
        Entry entry = servingEntry({a, b});
        advanceWithHeartbeats(entry, {b}, 10'000);
        const Base::WallTime unheard = entry.state.wall;
        entry.receiveAgentHeartbeat();
        entry.feed(Events::AgentLinkChanged{{"a", 1}, true});
        const Protocol::Partition taken = takeOver(entry);
        CPPUNIT_ASSERT(!isKnownUnstarted(entry.state, taken, unheard));
    }

    /// Guards against a takeover that takes a submission for never started because its agent was silent for agentRetention, to this entry only.
    void forgottenAgent()
    {
        Entry entry = servingEntry({a, b});
        entry.receiveAgentHeartbeat();
        advanceWithHeartbeats(entry, {b}, 119'000);
        const Base::WallTime unheard = entry.state.wall;
        advanceWithHeartbeats(entry, {b}, 5'000);
        CPPUNIT_ASSERT(entry.state.agents.empty());
        const Protocol::Partition taken = takeOver(entry);
        CPPUNIT_ASSERT(!isKnownUnstarted(entry.state, taken, unheard));
    }

    /// Guards against a takeover that is complete without the list of an agent which only the former owner can reach, and which goes on under its echoes.
    void agentKnownToFormerOwnerOnly()
    {
        for (const bool known : {false, true}) {
            Entry former("eb");
            former.read(makeMap({a, b}), 1);
            Entry entry = servingEntry({a, b});
            entry.receiveAgentHeartbeat();
            entry.feed(Events::AgentLinkChanged{{"a", 1}, true});
            if (known) {
                former.receiveAgentHeartbeat();
            } else {
                Protocol::AgentHeartbeat heartbeat;
                heartbeat.from = {"z", 1};
                heartbeat.token = {1, 1};
                former.feed(Events::DatagramReceived{{}, heartbeat});
            }
            advanceWithHeartbeats(entry, {b}, 10'000);
            const Base::WallTime submitted = entry.state.wall;
            advanceWithHeartbeats(entry, {b}, 1'000);
            former.message(a, Protocol::MapAnnounce{makeMap({a}, 11)});
            const auto acknowledgement = former.sent<Protocol::MapAck>().at(0);
            const Protocol::Partition taken = takeOver(entry, [&] { entry.message(b, acknowledgement); });
            CPPUNIT_ASSERT_EQUAL(known, isKnownUnstarted(entry.state, taken, submitted));
        }
    }

    /// Guards against a second start of what a restarted agent runs for the former owner. Its new process doesn't know the epoch of the reply, and
    /// only the former owner hears it.
    void agentSilentSinceItsReply()
    {
        for (const bool silent : {true, false}) {
            Entry entry = servingEntry({a, b});
            entry.receiveAgentHeartbeat();
            entry.feed(Events::AgentLinkChanged{{"a", 1}, true});
            advanceWithHeartbeats(entry, {b}, 10'000);
            const Base::WallTime submitted = entry.state.wall;
            advanceWithHeartbeats(entry, {b}, 1'000);
            entry.receiveAgentHeartbeat();
            const Protocol::Partition taken = takeOver(
                entry, [] {}, !silent);
            CPPUNIT_ASSERT_EQUAL(!silent, isKnownUnstarted(entry.state, taken, submitted));
        }
    }

    /// Guards against a refusal as not run, while a takeover goes on, of a submission that the former owner has started or may still start.
    void startsUnknownDuringTakeover()
    {
        Entry entry = servingEntry({a, b});
        Protocol::PartitionMap next = makeMap({a}, 11);
        next.unfenced = {{10, {a, b}}};
        entry.read(next, 2);
        const auto recovering = *entry.state.takeover->partitions.begin();
        CPPUNIT_ASSERT(!isKnownUnstarted(entry.state, recovering, entry.state.wall - Base::WallTime(1000)));
        CPPUNIT_ASSERT(!isKnownUnstarted(entry.state, recovering, entry.state.wall + Base::WallTime(1000)));
        entry.advance(4000);
        CPPUNIT_ASSERT(isKnownUnstarted(entry.state, recovering, entry.state.wall + Base::WallTime(2001)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPartitionTakeover);
