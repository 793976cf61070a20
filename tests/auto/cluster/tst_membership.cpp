#include "cluster/ownership.h"
#include "membershipsupport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Cluster;
using namespace LaburnumFlow::ClusterTest;

namespace {

std::set<std::string> entryNames(const std::vector<Protocol::EntryRecord> &entries)
{
    std::set<std::string> result;
    for (const Protocol::EntryRecord &entry : entries) {
        result.insert(entry.id.name);
    }
    return result;
}

} // namespace

/// Which entries the partition map has, and under which conditions an entry serves its partitions.
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
