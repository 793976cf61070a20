#include "entryharness.h"

#include "entrynode/entrynodeconstants.h"
#include "jobs/jobsconstants.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode;
using namespace LaburnumFlow::EntryNode::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t formerEpoch = 3;
constexpr std::int64_t ownerRevision = 10;
constexpr std::int64_t claimRevision = 12;

Jobs::ConfirmerSet makeSet(const std::vector<std::string> &names)
{
    Jobs::ConfirmerSet set;
    for (const std::string &name : names) {
        set.push_back({name, makeEntry(name).peers});
    }
    return set;
}

Jobs::ConfirmerRecord makeConfirmers(std::uint64_t epoch, const std::vector<std::string> &names)
{
    return {epoch, makeSet(names), {}};
}

/// entry-1, which takes over from entry-2. The confirmer record of entry-2 names the given entries.
class SuccessorEntry : public EntryHarness
{
public:
    SuccessorEntry() = default;

    explicit SuccessorEntry(std::optional<Jobs::ConfirmerRecord> confirmers)
    {
        readCluster(makeOwner("entry-2", formerEpoch), ownerRevision, confirmers, ownerRevision);
        feed(PeerLinked{"entry-3"});
        takeOver(std::move(confirmers));
    }

    /// Lets entry-1 claim the jobs, as entry-2 is absent and silent.
    void takeOver(std::optional<Jobs::ConfirmerRecord> confirmers)
    {
        claim(std::move(confirmers));
        win();
    }

    void claim(std::optional<Jobs::ConfirmerRecord> confirmers)
    {
        advance(ownerSilenceTimeout + claimDelayMax + 100ms);
        readCluster(makeOwner("entry-2", formerEpoch), ownerRevision, std::move(confirmers), ownerRevision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), effects<Claim>().size());
    }

    void win()
    {
        feed(ClaimEnded{ClaimEnded::Outcome::Won, claimRevision});
        feed(JobsLoaded{true});
    }

    /// Ends a read of the cluster that shows entry-1 and entry-3 as present.
    void readCluster(Jobs::OwnerRecord owner, std::int64_t revision, std::optional<Jobs::ConfirmerRecord> confirmers, std::int64_t confirmersRevision)
    {
        ClusterRead::Content content{std::move(owner), revision, {makeEntry("entry-1"), makeEntry("entry-3")}, std::move(confirmers), confirmersRevision};
        feed(ClusterRead{std::move(content)});
    }

    void acknowledge(const std::string &name)
    {
        feed(PeerHeartbeatReply{name, {0, formerEpoch + 1, {}, {}}});
    }

    /// Returns whether the owner has authority 2 s after the store was lost, with no reply of another entry.
    bool confirmedWithoutStore()
    {
        for (int i = 0; i < 20; ++i) {
            advance(100ms);
            if (state.readInProgress) {
                feed(ClusterRead{});
            }
        }
        const auto renewals = effects<AuthorityRenewed>();
        return !renewals.empty() && now() < renewals.back().until;
    }

    bool fenced() const
    {
        return !effects<FormerOwnersFenced>().empty();
    }

    Jobs::ConfirmerRecord claimedRecord() const
    {
        return effects<Claim>().back().confirmers.record;
    }
};

/// entry-1, which owns the jobs and was confirmed by a record that names itself, entry-2 and entry-3.
class RecordedOwner : public EntryHarness
{
public:
    RecordedOwner()
    {
        becomeOwner();
        readEntries({"entry-1", "entry-2", "entry-3"});
        feed(PeerLinked{"entry-2"});
        feed(PeerLinked{"entry-3"});
        endWrite(ConfirmersWritten::Outcome::Written, 6);
    }

    void readEntries(const std::vector<std::string> &names)
    {
        advance(clusterReadInterval);
        std::vector<Jobs::EntryRecord> entries;
        entries.reserve(names.size());
        for (const std::string &name : names) {
            entries.push_back(makeEntry(name));
        }
        read(makeOwner("entry-1", 1), 5, entries);
    }

    /// Lets both other entries leave and their presence lapse.
    void loseOthers()
    {
        feed(PeerUnlinked{"entry-2", false});
        feed(PeerUnlinked{"entry-3", false});
        advance(clusterReadInterval);
        readEntries({"entry-1"});
    }

    void endWrite(ConfirmersWritten::Outcome outcome, std::int64_t revision)
    {
        feed(ConfirmersWritten{outcome, revision});
    }

    void passWithoutStore(Base::Duration time)
    {
        for (Base::Duration passed{}; passed < time; passed += 100ms) {
            EntryHarness::passWithoutStore();
        }
    }
};

} // namespace

/// Tests which entries must know of a takeover before the former owner counts as replaced, and which ones may confirm an owner.
class TestConfirmers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestConfirmers);
    CPPUNIT_TEST(formerOwnerIsFencedByMostOfItsConfirmers);
    CPPUNIT_TEST(halfOfTheConfirmersFence);
    CPPUNIT_TEST(endedConfirmersDoNotCount);
    CPPUNIT_TEST(refusalBeforeTheClaimTellsNothing);
    CPPUNIT_TEST(refusalBeforeTheClaimIsHeldTellsNothing);
    CPPUNIT_TEST(refusalOfAnEarlierDialTellsNothing);
    CPPUNIT_TEST(lateClaimLeavesItsOwnConfirmers);
    CPPUNIT_TEST(unknownConfirmersAreNotFenced);
    CPPUNIT_TEST(recordOfAnEarlierEpochNamesNoConfirmers);
    CPPUNIT_TEST(firstOwnerWaitsForNobody);
    CPPUNIT_TEST(confirmersThatAreNotPresentAreDialed);
    CPPUNIT_TEST(unfencedOwnersAreHandedOn);
    CPPUNIT_TEST(recordDropsFencedOwners);
    CPPUNIT_TEST(ownerNeedsTheConfirmersOnRecord);
    CPPUNIT_TEST(ownerAloneOnRecordKeepsItsAuthority);
    CPPUNIT_TEST(fencedOwnerIsNotConfirmedOnceAnInformedEntryEnds);
    CPPUNIT_TEST(writeOfUnknownOutcomeIsRepeatedUnchanged);
    CPPUNIT_TEST(ownWriteIsRecognized);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a successor that takes former runs as ended while most entries may still confirm the former owner.
    void formerOwnerIsFencedByMostOfItsConfirmers()
    {
        SuccessorEntry entry(makeConfirmers(formerEpoch, {"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}));
        CPPUNIT_ASSERT(!entry.fenced());
        entry.acknowledge("entry-3");
        CPPUNIT_ASSERT(!entry.fenced());
        entry.acknowledge("entry-4");
        CPPUNIT_ASSERT(entry.fenced());
    }

    /// Guards against a successor that waits in vain although too few entries are left to confirm the former owner.
    void halfOfTheConfirmersFence()
    {
        SuccessorEntry pair(makeConfirmers(formerEpoch, {"entry-1", "entry-2"}));
        CPPUNIT_ASSERT(pair.fenced());
        SuccessorEntry four(makeConfirmers(formerEpoch, {"entry-1", "entry-2", "entry-3", "entry-4"}));
        CPPUNIT_ASSERT(!four.fenced());
        four.acknowledge("entry-3");
        CPPUNIT_ASSERT(four.fenced());
    }

    /// Guards against a successor that waits for entries that have ended, among them the former owner.
    void endedConfirmersDoNotCount()
    {
        SuccessorEntry entry(makeConfirmers(formerEpoch, {"entry-1", "entry-2", "entry-3"}));
        entry.feed(PeerUnlinked{"entry-2", true});
        CPPUNIT_ASSERT(entry.fenced());
    }

    /// Guards against an entry that counts as ended because it refused a connection before it started again and confirmed the former owner.
    void refusalBeforeTheClaimTellsNothing()
    {
        SuccessorEntry entry;
        const Jobs::ConfirmerRecord confirmers = makeConfirmers(formerEpoch, {"entry-1", "entry-2", "entry-3"});
        entry.readCluster(makeOwner("entry-2", formerEpoch), ownerRevision, confirmers, ownerRevision);
        entry.feed(PeerUnlinked{"entry-3", true});
        entry.takeOver(confirmers);
        CPPUNIT_ASSERT(!entry.fenced());
    }

    /// Guards against an entry that counts as ended because it refused a connection while the claim was on its way to the store. Its new
    /// process may have read of the former owner.
    void refusalBeforeTheClaimIsHeldTellsNothing()
    {
        SuccessorEntry entry;
        const Jobs::ConfirmerRecord confirmers = makeConfirmers(formerEpoch, {"entry-1", "entry-2", "entry-3"});
        entry.readCluster(makeOwner("entry-2", formerEpoch), ownerRevision, confirmers, ownerRevision);
        entry.claim(confirmers);
        entry.feed(PeerUnlinked{"entry-3", true});
        entry.win();
        CPPUNIT_ASSERT(!entry.fenced());
    }

    /// Guards against the same with a dial that began before the claim was executed, as its refusal may be noticed late.
    void refusalOfAnEarlierDialTellsNothing()
    {
        SuccessorEntry entry;
        const Jobs::ConfirmerRecord confirmers = makeConfirmers(formerEpoch, {"entry-1", "entry-2", "entry-3"});
        entry.readCluster(makeOwner("entry-2", formerEpoch), ownerRevision, confirmers, ownerRevision);
        CPPUNIT_ASSERT_EQUAL(std::string("entry-3"), entry.effects<DialPeer>().back().name);
        entry.takeOver(confirmers);
        entry.feed(PeerUnlinked{"entry-3", true});
        CPPUNIT_ASSERT(!entry.fenced());
        entry.advance(dialRetryDelay);
        entry.feed(PeerUnlinked{"entry-3", true});
        CPPUNIT_ASSERT(entry.fenced());
    }

    /// Guards against an owner that needs other confirmers than those which its successor reads, as the store has executed an earlier one of
    /// two claims of unknown outcome.
    void lateClaimLeavesItsOwnConfirmers()
    {
        SuccessorEntry entry;
        const Jobs::ConfirmerRecord former = makeConfirmers(formerEpoch, {"entry-1", "entry-2"});
        entry.readCluster(makeOwner("entry-2", formerEpoch), ownerRevision, former, ownerRevision);
        entry.claim(former);
        const Jobs::ConfirmerRecord first = entry.claimedRecord();
        entry.feed(ClaimEnded{ClaimEnded::Outcome::Unknown, 0});
        entry.feed(PeerUnlinked{"entry-3", false});
        const Jobs::EntryRecord self = makeEntry("entry-1");
        entry.feed(ClusterRead{ClusterRead::Content{makeOwner("entry-2", formerEpoch), ownerRevision, {self}, former, ownerRevision}});
        entry.advance(clusterReadInterval);
        entry.feed(ClusterRead{ClusterRead::Content{makeOwner("entry-2", formerEpoch), ownerRevision, {self}, former, ownerRevision}});
        const std::vector<Claim> claims = entry.effects<Claim>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), claims.size());
        CPPUNIT_ASSERT(first != claims.back().confirmers.record);
        entry.feed(ClaimEnded{ClaimEnded::Outcome::Unknown, 0});
        entry.feed(ClusterRead{ClusterRead::Content{makeOwner("entry-1", formerEpoch + 1), claimRevision, {self}, first, claimRevision}});
        entry.feed(JobsLoaded{true});
        CPPUNIT_ASSERT(entry.state.mode == OwnershipState::Mode::Owning);
        CPPUNIT_ASSERT(first == entry.state.confirmers.recorded);
        CPPUNIT_ASSERT(!entry.confirmedWithoutStore());
    }

    /// Guards against a successor that takes an owner without a readable record for fenced.
    void unknownConfirmersAreNotFenced()
    {
        SuccessorEntry entry(std::nullopt);
        entry.acknowledge("entry-3");
        CPPUNIT_ASSERT(!entry.fenced());
    }

    /// Guards against the confirmers of one owner that are taken for those of another.
    void recordOfAnEarlierEpochNamesNoConfirmers()
    {
        SuccessorEntry entry(makeConfirmers(formerEpoch - 1, {"entry-1", "entry-3"}));
        entry.acknowledge("entry-3");
        CPPUNIT_ASSERT(!entry.fenced());
    }

    /// Guards against a first owner that waits for a former one.
    void firstOwnerWaitsForNobody()
    {
        EntryHarness entry;
        entry.becomeOwner();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<FormerOwnersFenced>().size());
    }

    /// Guards against entries that the store has turned away for so long that they never learn of the claim.
    void confirmersThatAreNotPresentAreDialed()
    {
        SuccessorEntry entry(makeConfirmers(formerEpoch, {"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}));
        const auto isDialed = [&entry](const std::string &name) {
            const auto dials = entry.effects<DialPeer>();
            return std::any_of(dials.begin(), dials.end(), [&name](const DialPeer &dial) { return dial.name == name; });
        };
        CPPUNIT_ASSERT(isDialed("entry-2"));
        CPPUNIT_ASSERT(isDialed("entry-4"));
        CPPUNIT_ASSERT(isDialed("entry-5"));
    }

    /// Guards against an owner that is forgotten, while it may still be confirmed, because its successor is replaced too.
    void unfencedOwnersAreHandedOn()
    {
        Jobs::ConfirmerRecord confirmers = makeConfirmers(formerEpoch, {"entry-1", "entry-3"});
        confirmers.former.push_back(makeSet({"entry-4", "entry-5", "entry-6"}));
        SuccessorEntry entry(confirmers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.claimedRecord().former.size());
        CPPUNIT_ASSERT_EQUAL(formerEpoch + 1, entry.claimedRecord().epoch);
        entry.acknowledge("entry-3");
        CPPUNIT_ASSERT(!entry.fenced());
        entry.acknowledge("entry-4");
        entry.acknowledge("entry-5");
        CPPUNIT_ASSERT(entry.fenced());
    }

    /// Guards against later owners that wait for an owner which can't be confirmed any more, and against a record that grows for ever.
    void recordDropsFencedOwners()
    {
        SuccessorEntry fenced(makeConfirmers(formerEpoch, {"entry-1", "entry-2", "entry-3"}));
        fenced.acknowledge("entry-3");
        fenced.advance(clusterReadInterval);
        fenced.readCluster(makeOwner("entry-1", formerEpoch + 1), claimRevision, fenced.claimedRecord(), claimRevision);
        CPPUNIT_ASSERT(fenced.effects<WriteConfirmers>().back().record.former.empty());
        CPPUNIT_ASSERT_EQUAL(claimRevision, fenced.effects<WriteConfirmers>().back().expectedRevision);

        SuccessorEntry unfenced(makeConfirmers(formerEpoch, {"entry-1", "entry-2", "entry-4"}));
        unfenced.advance(Jobs::unfencedRunExpiryTimeout);
        unfenced.readCluster(makeOwner("entry-1", formerEpoch + 1), claimRevision, unfenced.claimedRecord(), claimRevision);
        CPPUNIT_ASSERT(unfenced.effects<WriteConfirmers>().empty());
        unfenced.advance(Jobs::formerOwnerRetention);
        unfenced.readCluster(makeOwner("entry-1", formerEpoch + 1), claimRevision, unfenced.claimedRecord(), claimRevision);
        CPPUNIT_ASSERT(unfenced.effects<WriteConfirmers>().back().record.former.empty());
    }

    /// Guards against an owner that confirms itself because the others seem to have left, while a successor reads that they may confirm it.
    void ownerNeedsTheConfirmersOnRecord()
    {
        RecordedOwner owner;
        owner.loseOthers();
        owner.passWithoutStore(2s);
        CPPUNIT_ASSERT(!owner.hasAuthority());
        owner.endWrite(ConfirmersWritten::Outcome::Refused, 0);
        CPPUNIT_ASSERT(!owner.hasAuthority());
    }

    /// Guards against a site whose only entry serves nothing in an outage of the store.
    void ownerAloneOnRecordKeepsItsAuthority()
    {
        RecordedOwner owner;
        owner.loseOthers();
        owner.endWrite(ConfirmersWritten::Outcome::Written, 7);
        owner.passWithoutStore(10s);
        CPPUNIT_ASSERT(owner.hasAuthority());
    }

    /// Guards against a former owner that regains its authority as an entry that has acknowledged the successor ends and refuses connections.
    void fencedOwnerIsNotConfirmedOnceAnInformedEntryEnds()
    {
        SuccessorEntry successor(makeConfirmers(formerEpoch, {"entry-1", "entry-2", "entry-3", "entry-4"}));
        successor.acknowledge("entry-3");
        CPPUNIT_ASSERT(successor.fenced());

        // The former owner, entry-1 here, can't reach the successor, entry-2. The informed entry-3 ends, and entry-4 knows no successor.
        EntryHarness owner;
        owner.becomeOwner();
        owner.advance(clusterReadInterval);
        owner.read(makeOwner("entry-1", 1), 5, {makeEntry("entry-1"), makeEntry("entry-2"), makeEntry("entry-3"), makeEntry("entry-4")});
        owner.feed(ConfirmersWritten{ConfirmersWritten::Outcome::Written, 6});
        owner.feed(PeerLinked{"entry-4"});
        for (int i = 0; i < 30; ++i) {
            owner.advance(100ms);
            if (owner.state.readInProgress) {
                owner.feed(ClusterRead{});
            }
            owner.feed(PeerUnlinked{"entry-3", true});
            owner.feed(PeerHeartbeatReply{"entry-4", {std::chrono::duration_cast<std::chrono::milliseconds>(owner.now()).count(), 1, {}, {}}});
        }
        CPPUNIT_ASSERT(owner.effects<AuthorityRenewed>().back().until <= owner.now());
    }

    /// Guards against two different records that may both be written late.
    void writeOfUnknownOutcomeIsRepeatedUnchanged()
    {
        RecordedOwner owner;
        owner.loseOthers();
        const Jobs::ConfirmerRecord record = owner.effects<WriteConfirmers>().back().record;
        owner.endWrite(ConfirmersWritten::Outcome::Unknown, 0);
        const std::size_t before = owner.effects<WriteConfirmers>().size();
        owner.readEntries({"entry-1", "entry-4"});
        CPPUNIT_ASSERT_EQUAL(before + 1, owner.effects<WriteConfirmers>().size());
        CPPUNIT_ASSERT(record == owner.effects<WriteConfirmers>().back().record);
    }

    /// Guards against an owner that waits for ever for the outcome of a write whose answer was lost.
    void ownWriteIsRecognized()
    {
        RecordedOwner owner;
        owner.loseOthers();
        const Jobs::ConfirmerRecord record = owner.effects<WriteConfirmers>().back().record;
        owner.endWrite(ConfirmersWritten::Outcome::Unknown, 0);
        owner.advance(clusterReadInterval);
        owner.feed(ClusterRead{ClusterRead::Content{makeOwner("entry-1", 1), 5, {makeEntry("entry-1")}, record, 9}});
        owner.passWithoutStore(5s);
        CPPUNIT_ASSERT(owner.hasAuthority());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestConfirmers);
