#include "cluster/ownership.h"
#include "harness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <set>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Cluster;
using namespace LaburnumFlow::ClusterTest;

namespace {

Protocol::PartitionMap makeMap(const std::vector<Protocol::EntryRecord> &entries, Protocol::Epoch epoch = 10)
{
    Protocol::PartitionMap map;
    map.epoch = epoch;
    map.entries = entries;
    map.writeId = "w" + std::to_string(epoch);
    Internal::assignOwners(map);
    return map;
}

const Protocol::EntryRecord a = entryRecord("ea");
const Protocol::EntryRecord b = entryRecord("eb");
const Protocol::EntryRecord c = entryRecord("ec");

/// Returns an entry "ea" that serves its partitions of the map, which the store holds at revision 1.
Entry servingEntry(const std::vector<Protocol::EntryRecord> &entries)
{
    Entry entry("ea");
    const Protocol::PartitionMap map = makeMap(entries);
    entry.read(map, 1);
    for (int i = 0; i < 100; ++i) { // until the takeover has finished that a map of unknown age requires
        for (const Protocol::EntryRecord &each : entries) {
            if (each.id != a.id) {
                entry.receiveHeartbeat(each, map.epoch);
            }
        }
        entry.advance(50);
    }
    entry.read(map, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), entry.countPartitions(Authority::Recovering));
    entry.clearRecorded();
    return entry;
}

std::set<std::string> entryNames(const std::vector<Protocol::EntryRecord> &entries)
{
    std::set<std::string> result;
    for (const Protocol::EntryRecord &entry : entries) {
        result.insert(entry.id.name);
    }
    return result;
}

/// Advances the time while the given members send heartbeats, then reads the map.
void advanceWithHeartbeats(Entry &entry, const std::vector<Protocol::EntryRecord> &senders, std::int64_t milliseconds)
{
    const Protocol::PartitionMap map = *entry.state.map;
    for (std::int64_t passed = 0; passed < milliseconds; passed += 50) {
        for (const Protocol::EntryRecord &each : senders) {
            entry.receiveHeartbeat(each, map.epoch);
        }
        entry.advance(50);
    }
    entry.read(map, 1);
}

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

class TestMembership : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestMembership);
    CPPUNIT_TEST(firstMap);
    CPPUNIT_TEST(lostEmbeddedStore);
    CPPUNIT_TEST(movesFewPartitions);
    CPPUNIT_TEST(lostSwapAnswer);
    CPPUNIT_TEST(joining);
    CPPUNIT_TEST(replacedEntryStaysOut);
    CPPUNIT_TEST(removal);
    CPPUNIT_TEST(authorityConditions);
    CPPUNIT_TEST(higherEpochStepsDown);
    CPPUNIT_TEST(skippedEpochs);
    CPPUNIT_TEST(takeoverWaits);
    CPPUNIT_TEST(fenceQueries);
    CPPUNIT_TEST(agentFirstHeardOfLate);
    CPPUNIT_TEST(forgottenAgent);
    CPPUNIT_TEST(agentKnownToFormerOwnerOnly);
    CPPUNIT_TEST(agentSilentSinceItsReply);
    CPPUNIT_TEST(startsUnknownDuringTakeover);
    CPPUNIT_TEST(confirmDead);
    CPPUNIT_TEST(leaving);
    CPPUNIT_TEST(leavingWithoutOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a first start that waits for seconds to fence former owners that don't exist.
    void firstMap()
    {
        Entry entry("ea");
        entry.read(std::nullopt, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.all<Events::WriteMap>().size());
        const Protocol::PartitionMap map = entry.all<Events::WriteMap>()[0]->map;
        CPPUNIT_ASSERT_EQUAL(static_cast<Protocol::Epoch>(startWallMs + 1000), map.epoch);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), entry.countPartitions(Authority::Serving));
        entry.answerWrite(Events::SwapOutcome::Written, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(256), entry.countPartitions(Authority::Serving));
        CPPUNIT_ASSERT(isKnownUnstarted(entry.state, 0, Base::WallTime(startWallMs - 60'000)));
    }

    /// Guards against a second start of submissions that a former process started. Its map is lost, as the embedded store ended with that process.
    void lostEmbeddedStore()
    {
        Entry entry("ea", true);
        entry.read(std::nullopt, 0);
        entry.answerWrite(Events::SwapOutcome::Written, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(256), entry.countPartitions(Authority::Recovering));
        entry.advance(2100);
        CPPUNIT_ASSERT_EQUAL(std::size_t(256), entry.countPartitions(Authority::Serving));
        CPPUNIT_ASSERT(!isKnownUnstarted(entry.state, 0, Base::WallTime(startWallMs)));
        CPPUNIT_ASSERT(isKnownUnstarted(entry.state, 0, Base::WallTime(startWallMs + 3100)));
        Entry next("ea", true, 2);
        next.advance(5000);
        next.read(std::nullopt, 0);
        CPPUNIT_ASSERT(next.all<Events::WriteMap>()[0]->map.epoch > entry.state.map->epoch);
    }

    /// Guards against a membership change that moves partitions between entries that stay.
    void movesFewPartitions()
    {
        std::vector<Protocol::EntryRecord> entries;
        for (std::size_t n = 1; n <= 12; ++n) {
            const Protocol::PartitionMap before = entries.empty() ? Protocol::PartitionMap{} : makeMap(entries);
            entries.push_back(entryRecord("entry" + std::to_string(n)));
            const Protocol::PartitionMap after = makeMap(entries);
            std::size_t moved = 0;
            for (Protocol::Partition partition = 0; n > 1 && partition < Protocol::partitionCount; ++partition) {
                const bool same = before.owner[partition] == after.owner[partition];
                CPPUNIT_ASSERT(same || after.owner[partition] == n - 1);
                moved += same ? 0 : 1;
            }
            CPPUNIT_ASSERT(n == 1 || (moved > 128 / n && moved < 512 / n));
        }
    }

    /// Guards against an entry that never finds out whether a write took effect whose response was lost.
    void lostSwapAnswer()
    {
        for (const bool written : {true, false}) {
            Entry entry("ea");
            entry.read(std::nullopt, 0);
            const Protocol::PartitionMap map = *entry.state.mapWritePending;
            entry.answerWrite(Events::SwapOutcome::Unknown);
            entry.clearRecorded();
            entry.read(written ? std::optional(map) : std::nullopt, written ? 1 : 0);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), entry.counterValue(written ? "map.write-settled" : "map.write-lost"));
            CPPUNIT_ASSERT_EQUAL(std::size_t(written ? 256 : 0), entry.countPartitions(Authority::Serving));
            CPPUNIT_ASSERT_EQUAL(std::size_t(written ? 0 : 1), entry.all<Events::WriteMap>().size());
        }
    }

    /// Guards against joining while heartbeats arrive in one direction only, as the entry would be removed again.
    void joining()
    {
        const struct {
            std::vector<Protocol::EntryRecord> members;
            std::int64_t echoAgeMs;
            std::int64_t waitMs;
            bool joins;
        } table[] = {
            {{b, c}, 100, 100, true},
            {{b, c}, 1600, 100, false},
            {{b, c}, -1, 100, false},
            {{b, c}, -1, 5200, true},
            {{entryRecord("ea", 7), b, c}, 100, 100, true},
        };
        for (const auto &row : table) {
            Entry entry("ea");
            const Protocol::PartitionMap map = makeMap(row.members);
            entry.advance(2000);
            entry.read(map, 5);
            CPPUNIT_ASSERT(entry.all<Events::WriteMap>().empty());
            entry.advance(row.waitMs);
            entry.receiveHeartbeat(b, map.epoch, row.echoAgeMs);
            entry.receiveHeartbeat(c, map.epoch, row.echoAgeMs);
            entry.read(map, 5);
            CPPUNIT_ASSERT_EQUAL(row.joins, !entry.all<Events::WriteMap>().empty());
            if (row.joins) {
                const Events::WriteMap write = *entry.all<Events::WriteMap>()[0];
                CPPUNIT_ASSERT_EQUAL(std::int64_t(5), write.expectedModRevision);
                CPPUNIT_ASSERT_EQUAL(map.epoch + 1, write.map.epoch);
                CPPUNIT_ASSERT(Internal::isMember(write.map, a.id) && write.map.entries.size() == 3);
                CPPUNIT_ASSERT(write.map.unfenced.back() == (Protocol::UnfencedSet{map.epoch, map.entries}));
                entry.answerWrite(Events::SwapOutcome::Written, 6);
                CPPUNIT_ASSERT(entry.countPartitions(Authority::Recovering) > 0 && entry.countPartitions(Authority::Serving) == 0);
            }
        }
    }

    /// Guards against two processes of one name that replace each other in the map forever.
    void replacedEntryStaysOut()
    {
        Entry entry = servingEntry({a, b});
        const Protocol::PartitionMap map = makeMap({entryRecord("ea", 2), b}, 11);
        entry.read(map, 2);
        entry.advance(6000);
        entry.receiveHeartbeat(b, 11);
        entry.read(map, 2);
        CPPUNIT_ASSERT(entry.all<Events::WriteMap>().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(256), entry.countPartitions(Authority::NotOwner));
    }

    /// Guards against early removals, and against a minority that removes the majority.
    void removal()
    {
        const struct {
            std::vector<Protocol::EntryRecord> members;
            std::vector<Protocol::EntryRecord> senders;
            std::int64_t silentMs;
            std::set<std::string> remaining; ///< members of the written map; empty if none is written
        } table[] = {
            {{a, b, c}, {b, c}, 3000, {}},
            {{a, b, c}, {b}, 1900, {}},
            {{a, b, c}, {b}, 2100, {"ea", "eb"}},
            {{a, b, c}, {}, 2100, {}},
            {{a, b}, {}, 2100, {"ea"}},
            {{a, b}, {entryRecord("eb", 2)}, 2100, {"ea"}},
        };
        for (const auto &row : table) {
            Entry entry = servingEntry(row.members);
            advanceWithHeartbeats(entry, row.senders, row.silentMs);
            const auto writes = entry.all<Events::WriteMap>();
            CPPUNIT_ASSERT_EQUAL(row.remaining.empty(), writes.empty());
            CPPUNIT_ASSERT(row.remaining.empty() || entryNames(writes[0]->map.entries) == row.remaining);
        }
    }

    /// Guards against an owner that serves without a recent confirmation by the store or by a majority of members.
    void authorityConditions()
    {
        const struct {
            std::int64_t afterReadMs;
            std::int64_t echoAgeMs; ///< negative if no heartbeat is received
            Protocol::Epoch peerEpoch;
            std::uint64_t peerIncarnation;
            Authority expected;
        } table[] = {
            {1900, -1, 10, 1, Authority::Serving},
            {2000, -1, 10, 1, Authority::Suspended},
            {3600, 1400, 10, 1, Authority::Serving},
            {3600, 1500, 10, 1, Authority::Suspended},
            {3600, 100, 11, 1, Authority::Suspended},
            {3600, 100, 9, 1, Authority::Serving},
            {3600, 100, 10, 2, Authority::Suspended},
        };
        for (const auto &row : table) {
            Entry entry = servingEntry({a, b, c});
            const std::size_t all = entry.countPartitions(Authority::Serving);
            entry.advance(row.afterReadMs);
            if (row.echoAgeMs >= 0) {
                entry.receiveHeartbeat(entryRecord("eb", row.peerIncarnation), row.peerEpoch, row.echoAgeMs);
            }
            CPPUNIT_ASSERT_EQUAL(all, entry.countPartitions(row.expected));
        }
    }

    /// Guards against a former owner that goes on serving under a map that has been replaced.
    void higherEpochStepsDown()
    {
        Entry entry = servingEntry({a, b});
        entry.link(b);
        entry.clearRecorded();
        const std::size_t owned = entry.countPartitions(Authority::Serving);
        const Protocol::PartitionMap next = makeMap({b}, 11);
        entry.message(b, Protocol::MapAnnounce{next});
        CPPUNIT_ASSERT_EQUAL(std::size_t(256), entry.countPartitions(Authority::NotOwner));
        CPPUNIT_ASSERT_EQUAL(Protocol::Epoch(11), entry.sent<Protocol::MapAck>().at(0).epoch);
        CPPUNIT_ASSERT_EQUAL(owned, entry.all<PartitionsLost>().at(0)->partitions.size());
        entry.read(makeMap({a, b}), 1); // a delayed response to a read
        CPPUNIT_ASSERT_EQUAL(std::size_t(256), entry.countPartitions(Authority::NotOwner));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), entry.counterValue("map.older-ignored"));
    }

    /// Guards against keeping partitions that another entry may have served under a map that this entry never saw.
    void skippedEpochs()
    {
        const struct {
            Protocol::Epoch epoch;
            std::vector<Protocol::UnfencedSet> unfenced;
            bool kept;
        } table[] = {
            {11, {}, true},
            {12, {}, false},
            {12, {{10, {a, b}}, {11, {a, b, c}}}, true},
            {12, {{10, {a, b}}, {11, {b, c}}}, false},
            {12, {{10, {a, b}}, {11, {entryRecord("ea", 2), b}}}, false},
            {13, {{10, {a, b}}, {11, {a, b, c}}}, false},
        };
        for (const auto &row : table) {
            Entry entry = servingEntry({a, b});
            entry.link(b);
            entry.link(c);
            entry.state.lastTakeovers.clear();
            Protocol::PartitionMap next = makeMap({a, b, c}, row.epoch);
            next.unfenced = row.unfenced;
            entry.read(next, 2);
            CPPUNIT_ASSERT_EQUAL(row.kept, entry.countPartitions(Authority::Serving) > 0);
            CPPUNIT_ASSERT_EQUAL(!row.kept, entry.countPartitions(Authority::Recovering) > 0);
            // The ledger of moved partitions goes to the new owner only if the new map directly follows the old one.
            CPPUNIT_ASSERT_EQUAL(row.epoch == 11, !entry.all<HandoverDue>().empty());
        }
    }

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

    /// Guards against a takeover that waits forever for dead members, and against confirming a live member as dead.
    void confirmDead()
    {
        Entry entry = servingEntry({a, b, c});
        advanceWithHeartbeats(entry, {c}, 100);
        entry.feed(Events::ConfirmDeadRequested{1, "ec"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), entry.counterValue("entries.confirm-dead-refused"));
        advanceWithHeartbeats(entry, {}, 2500);
        CPPUNIT_ASSERT(entry.all<Events::WriteMap>().empty()); // two of three members are silent
        entry.feed(Events::ConfirmDeadRequested{2, "eb"});
        CPPUNIT_ASSERT_EQUAL(std::string("pending"), entry.all<Events::AnswerOperator>().back()->rows.at(0).values.at(0).second);
        entry.read(*entry.state.map, 1);
        const Protocol::PartitionMap written = entry.all<Events::WriteMap>().at(0)->map;
        CPPUNIT_ASSERT(entryNames(written.entries) == std::set<std::string>{"ea"});
        CPPUNIT_ASSERT(written.confirmedDead == std::vector<std::string>{"eb/1"});
        entry.answerWrite(Events::SwapOutcome::Written, 2);
        entry.advance(4000); // "ea" and "eb", confirmed as dead, are two of three
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), entry.countPartitions(Authority::Recovering));
        entry.clearRecorded();
        entry.read(written, 2);
        CPPUNIT_ASSERT(entry.all<Events::WriteMap>().at(0)->map.unfenced.empty());
    }

    /// Guards against a leaving owner that drops its ledger, or exits before the new owner has it.
    void leaving()
    {
        Entry entry = servingEntry({a, b});
        entry.link(b);
        entry.state.lastTakeovers.clear(); // an incomplete takeover within the deduplication window would prevent the handover
        entry.feed(Events::DrainRequested{});
        entry.receiveHeartbeat(b, 10);
        entry.read(*entry.state.map, 1);
        const Protocol::PartitionMap written = entry.all<Events::WriteMap>().at(0)->map;
        CPPUNIT_ASSERT(entryNames(written.entries) == std::set<std::string>{"eb"});
        entry.clearRecorded();
        entry.answerWrite(Events::SwapOutcome::Written, 2);
        entry.advance(100);
        CPPUNIT_ASSERT(!entry.state.leaveFinished);
        CPPUNIT_ASSERT(std::holds_alternative<HandoverDue>(entry.changes.at(0)) && std::holds_alternative<PartitionsLost>(entry.changes.at(1)));

        Entry newOwner("eb");
        newOwner.read(makeMap({a, b}), 1);
        newOwner.read(written, 2);
        Protocol::LedgerHandover handover;
        handover.from = a.id;
        handover.epoch = written.epoch;
        handover.partitions = entry.all<HandoverDue>().at(0)->partitions;
        handover.epoch = written.epoch - 1;
        newOwner.message(a, handover);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), newOwner.counterValue("handover.epoch-mismatch"));
        handover.epoch = written.epoch;
        newOwner.message(a, handover);
        CPPUNIT_ASSERT_EQUAL(handover.partitions.size(), newOwner.countPartitions(Authority::Serving));
        newOwner.message(a, handover);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), newOwner.counterValue("handover.too-late"));
        entry.message(b, newOwner.sent<Protocol::HandoverAck>().at(0));
        CPPUNIT_ASSERT(entry.state.leaveFinished);
    }

    /// Guards against a drain that never ends.
    void leavingWithoutOthers()
    {
        Entry alone = servingEntry({a});
        alone.feed(Events::DrainRequested{});
        alone.advance(50);
        CPPUNIT_ASSERT(alone.state.leaveFinished);
        Entry storeDown = servingEntry({a, b});
        storeDown.feed(Events::DrainRequested{});
        storeDown.advance(4900);
        CPPUNIT_ASSERT(!storeDown.state.leaveFinished);
        storeDown.advance(100);
        CPPUNIT_ASSERT(storeDown.state.leaveFinished);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMembership);
