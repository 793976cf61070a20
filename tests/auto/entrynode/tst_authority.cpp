#include "entryharness.h"

#include "entrynode/entrynodeconstants.h"
#include "jobs/jobsconstants.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode;
using namespace LaburnumFlow::EntryNode::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t ownEpoch = 1;

/// entry-1, which owns the jobs, and others that may confirm it or know a successor.
class OwnerEntry : public EntryHarness
{
public:
    /// Links the given number of other entries, entry-2 and so on, which were present when the store was last read.
    explicit OwnerEntry(int others)
    {
        becomeOwner();
        std::vector<Jobs::EntryRecord> entries{makeEntry("entry-1")};
        for (int i = 0; i < others; ++i) {
            entries.push_back(makeEntry(peerName(i)));
        }
        read(makeOwner("entry-1", ownEpoch), 5, entries);
        for (int i = 0; i < others; ++i) {
            feed(PeerLinked{peerName(i)});
        }
    }

    static std::string peerName(int index)
    {
        return "entry-" + std::to_string(index + 2);
    }

    std::int64_t token() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now()).count();
    }

    void confirm(int peer, std::optional<std::uint32_t> readAgeMs = {})
    {
        feed(PeerHeartbeatReply{peerName(peer), {token(), ownEpoch, readAgeMs, {}}});
    }

    /// Lets time pass in steps while the store can't be reached and the first peers confirm the owner.
    void passWithoutStore(Base::Duration time, int confirmingPeers)
    {
        for (Base::Duration passed{}; passed < time; passed += 100ms) {
            EntryHarness::passWithoutStore();
            for (int i = 0; i < confirmingPeers; ++i) {
                confirm(i);
            }
        }
    }

    /// Lets the store answer the next read of the cluster with the own claim.
    void readOwnClaim()
    {
        advance(clusterReadInterval);
        read(makeOwner("entry-1", ownEpoch), 5, {makeEntry("entry-1")});
    }
};

Jobs::EntryBeatReply lastReply(const EntryHarness &entry)
{
    const auto replies = entry.effects<SendHeartbeatReply>();
    CPPUNIT_ASSERT(!replies.empty());
    return replies.back().reply;
}

} // namespace

/// Tests that an owner which may have been replaced without knowing it sends no orders.
class TestAuthority : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAuthority);
    CPPUNIT_TEST(ownerCutOffFromAllLosesItsAuthority);
    CPPUNIT_TEST(storeConfirmsTheOwner);
    CPPUNIT_TEST(commitConfirmsTheOwner);
    CPPUNIT_TEST(slowReadConfirmsFromItsStart);
    CPPUNIT_TEST(slowStoreConfirmsTheOwnerWithoutGaps);
    CPPUNIT_TEST(majorityConfirmsTheOwnerInAnOutage);
    CPPUNIT_TEST(minorityDoesNotConfirmTheOwner);
    CPPUNIT_TEST(deadEntriesDoNotCount);
    CPPUNIT_TEST(entryThatRefusedOnceMayBeUpAgain);
    CPPUNIT_TEST(refusalsExtendTheAuthorityForALimitedTime);
    CPPUNIT_TEST(singleEntryServesInAnOutage);
    CPPUNIT_TEST(readOfAnotherEntryConfirmsTheOwner);
    CPPUNIT_TEST(replyToAnOldHeartbeatConfirmsNothing);
    CPPUNIT_TEST(replyUnderAnOlderEpochConfirmsNothing);
    CPPUNIT_TEST(replyNamesTheSuccessor);
    CPPUNIT_TEST(everyEntryNamesTheSuccessor);
    CPPUNIT_TEST(followerConfirmsItsOwner);
    CPPUNIT_TEST(entryThatHasReadNothingConfirmsNobody);
    CPPUNIT_TEST(entryThatStoodStillConfirmsNobody);
    CPPUNIT_TEST(claimingEntryConfirmsNobody);
    CPPUNIT_TEST(formerOwnerDoesNotFollowAnOlderOne);
    CPPUNIT_TEST(agentsLearnThatTheStoreDoesNotConfirm);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an owner that goes on without the store and the other entries while a successor starts its tasks again.
    void ownerCutOffFromAllLosesItsAuthority()
    {
        OwnerEntry owner(2);
        CPPUNIT_ASSERT(owner.hasAuthority());
        owner.passWithoutStore(Jobs::ownerAuthorityTimeout + 100ms, 0);
        CPPUNIT_ASSERT(!owner.hasAuthority());
        owner.readOwnClaim();
        CPPUNIT_ASSERT(owner.hasAuthority());
    }

    /// Guards against an owner that stops while the store confirms it and no other entry can be reached.
    void storeConfirmsTheOwner()
    {
        OwnerEntry owner(2);
        for (int i = 0; i < 20; ++i) {
            owner.advance(250ms);
            owner.read(makeOwner("entry-1", ownEpoch), 5, {makeEntry("entry-1"), makeEntry("entry-2"), makeEntry("entry-3")});
            CPPUNIT_ASSERT(owner.hasAuthority());
        }
    }

    /// Guards against an owner that stops although its commits, which expect its own record, succeed.
    void commitConfirmsTheOwner()
    {
        OwnerEntry owner(2);
        for (int i = 0; i < 20; ++i) {
            owner.advance(250ms);
            owner.feed(OwnerCommitted{owner.now()});
            CPPUNIT_ASSERT(owner.hasAuthority());
        }
    }

    /// Guards against authority that counts from the end of a read although the claim of a successor followed its start.
    void slowReadConfirmsFromItsStart()
    {
        OwnerEntry owner(2);
        owner.advance(250ms);
        owner.advance(Jobs::ownerAuthorityTimeout + 10ms);
        owner.read(makeOwner("entry-1", ownEpoch), 5, {makeEntry("entry-1"), makeEntry("entry-2"), makeEntry("entry-3")});
        CPPUNIT_ASSERT(!owner.hasAuthority());
    }

    /// Guards against an owner without other entries whose authority comes and goes while the store is slow.
    void slowStoreConfirmsTheOwnerWithoutGaps()
    {
        for (const Base::Duration responseTime : {100ms, 280ms, 390ms}) {
            OwnerEntry owner(0);
            for (Base::Duration passed{}; passed < 5s; passed += 10ms) {
                owner.advance(10ms);
                if (owner.state.readInProgress && owner.now() - owner.state.readStartedAt >= responseTime) {
                    owner.read(makeOwner("entry-1", ownEpoch), 5, {makeEntry("entry-1")});
                }
                CPPUNIT_ASSERT(owner.hasAuthority());
            }
        }
    }

    /// Guards against best-effort jobs that nobody serves while the store is down for all entries.
    void majorityConfirmsTheOwnerInAnOutage()
    {
        for (const int others : {2, 3, 10}) {
            OwnerEntry owner(others);
            owner.passWithoutStore(10s, (others + 1) / 2);
            CPPUNIT_ASSERT(owner.hasAuthority());
        }
    }

    /// Guards against two owners when the entries are split in two groups and the store is on the other side.
    void minorityDoesNotConfirmTheOwner()
    {
        for (const int others : {2, 3, 10}) {
            OwnerEntry owner(others);
            owner.passWithoutStore(2s, (others + 1) / 2 - 1);
            CPPUNIT_ASSERT(!owner.hasAuthority());
        }
    }

    /// Guards against an owner that stops in an outage because entries have died, whose addresses refuse connections.
    void deadEntriesDoNotCount()
    {
        OwnerEntry owner(4);
        for (const int dead : {1, 2, 3}) {
            owner.feed(PeerUnlinked{OwnerEntry::peerName(dead), true});
        }
        for (int i = 0; i < 50; ++i) {
            for (const int dead : {1, 2, 3}) {
                owner.feed(PeerUnlinked{OwnerEntry::peerName(dead), true});
            }
            owner.passWithoutStore(100ms, 1);
            CPPUNIT_ASSERT(owner.hasAuthority());
        }
    }

    /// Guards against an owner that takes an entry for dead because it refused a connection once, while the entry has started again, claimed
    /// the jobs and can't be reached.
    void entryThatRefusedOnceMayBeUpAgain()
    {
        OwnerEntry owner(1);
        owner.feed(PeerUnlinked{OwnerEntry::peerName(0), true});
        owner.passWithoutStore(3s, 0);
        CPPUNIT_ASSERT(!owner.hasAuthority());
    }

    /// Guards against an owner that stands still after the only other entry has refused a connection, and goes on for longer than its successor
    /// waits: the entry has started again and claimed the jobs.
    void refusalsExtendTheAuthorityForALimitedTime()
    {
        OwnerEntry owner(1);
        for (int i = 0; i < 20; ++i) {
            owner.feed(PeerUnlinked{OwnerEntry::peerName(0), true});
            owner.passWithoutStore(100ms, 0);
            CPPUNIT_ASSERT(owner.hasAuthority());
        }
        CPPUNIT_ASSERT(owner.effects<AuthorityRenewed>().back().until <= owner.now() + Jobs::ownerAuthorityTimeout);
    }

    /// Guards against a site with one entry that serves no best-effort jobs while the store is down.
    void singleEntryServesInAnOutage()
    {
        OwnerEntry owner(0);
        owner.passWithoutStore(10s, 0);
        CPPUNIT_ASSERT(owner.hasAuthority());
    }

    /// Guards against an owner that stops because only the store turns it away, before another entry has a reason to replace it.
    void readOfAnotherEntryConfirmsTheOwner()
    {
        OwnerEntry owner(4);
        for (int i = 0; i < 20; ++i) {
            owner.advance(100ms);
            owner.feed(ClusterRead{});
            owner.confirm(0, 250);
            CPPUNIT_ASSERT(owner.hasAuthority());
        }
        owner.confirm(0, static_cast<std::uint32_t>(Jobs::ownerAuthorityTimeout / 1ms));
        owner.advance(Jobs::ownerAuthorityTimeout);
        CPPUNIT_ASSERT(!owner.hasAuthority());
    }

    /// Guards against a suspended process that resumes as the owner with replies that waited for it meanwhile.
    void replyToAnOldHeartbeatConfirmsNothing()
    {
        OwnerEntry owner(2);
        const std::int64_t tokenBefore = owner.token();
        owner.advance(3s);
        owner.feed(PeerHeartbeatReply{"entry-2", {tokenBefore, ownEpoch, 0, {}}});
        owner.feed(PeerHeartbeatReply{"entry-3", {tokenBefore, ownEpoch, 0, {}}});
        CPPUNIT_ASSERT(!owner.hasAuthority());
    }

    /// Guards against a reply to the heartbeat of an earlier ownership that counts for the present one.
    void replyUnderAnOlderEpochConfirmsNothing()
    {
        OwnerEntry owner(2);
        owner.passWithoutStore(2s, 0);
        owner.feed(PeerHeartbeatReply{"entry-2", {owner.token(), ownEpoch - 1, 0, {}}});
        CPPUNIT_ASSERT(!owner.hasAuthority());
    }

    /// Guards against an owner that doesn't learn of its successor because neither the store nor the successor can reach it.
    void replyNamesTheSuccessor()
    {
        OwnerEntry owner(2);
        owner.feed(PeerHeartbeatReply{"entry-2", {owner.token(), ownEpoch + 1, 0, {"10.0.0.9", 7000}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.effects<OwnershipLost>().size());
        CPPUNIT_ASSERT_EQUAL(ownEpoch + 1, owner.effects<OwnershipLost>()[0].epoch);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9"), owner.effects<OwnershipLost>()[0].successor.address);
    }

    /// Guards against two owners that start tasks for seconds: each entry that knows the newer one must tell the former one.
    void everyEntryNamesTheSuccessor()
    {
        EntryHarness entry;
        entry.followPeer(true);
        Jobs::EntryRecord successor = makeEntry("entry-3");
        successor.peers = {"10.0.0.3", 7000};
        entry.read(makeOwner("entry-3", 4), 11, {makeEntry("entry-1"), successor});
        entry.feed(PeerHeartbeat{"entry-2", {3, false, false, 77}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), lastReply(entry).ownerEpoch);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.3"), lastReply(entry).ownerPeers.address);
        CPPUNIT_ASSERT_EQUAL(std::string("entry-2"), entry.effects<SendHeartbeatReply>().back().name);
        CPPUNIT_ASSERT_EQUAL(std::string("entry-3"), entry.state.owner->owner);
    }

    /// Guards against an owner that loses its authority although its followers can confirm it, with the age of what they have read.
    void followerConfirmsItsOwner()
    {
        EntryHarness entry;
        entry.followPeer();
        entry.advance(100ms);
        entry.feed(PeerHeartbeat{"entry-2", {3, true, false, 77}});
        const Jobs::EntryBeatReply reply = lastReply(entry);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(77), reply.token);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), reply.ownerEpoch);
        CPPUNIT_ASSERT(reply.readAgeMs.value() >= 100);
    }

    /// Guards against an entry that has restarted, forgotten the newer owner that it knew, and confirms the former one.
    void entryThatHasReadNothingConfirmsNobody()
    {
        EntryHarness entry;
        entry.feed(PeerHeartbeat{"entry-2", {3, true, false, 78}});
        CPPUNIT_ASSERT(entry.effects<SendHeartbeatReply>().empty());
        entry.feed(PeerHeartbeat{"entry-3", {4, true, false, 79}});
        entry.feed(PeerHeartbeat{"entry-2", {3, true, false, 80}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), lastReply(entry).ownerEpoch);
        entry.read(makeOwner("entry-3", 4), 11, {makeEntry("entry-3")});
        entry.feed(PeerHeartbeat{"entry-3", {4, true, false, 81}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(81), lastReply(entry).token);
    }

    /// Guards against an entry that stood still while the owner was replaced, and confirms the former owner before it reads the store again.
    void entryThatStoodStillConfirmsNobody()
    {
        EntryHarness entry;
        entry.followPeer();
        entry.advance(clusterReadInterval);
        entry.advance(4s);
        const std::size_t before = entry.effects<SendHeartbeatReply>().size();
        entry.heartbeat();
        // The answer to a read that began before the standstill.
        entry.read(makeOwner("entry-2", 3), 10, {makeEntry("entry-2")});
        entry.heartbeat();
        CPPUNIT_ASSERT_EQUAL(before, entry.effects<SendHeartbeatReply>().size());
        entry.advance(clusterReadInterval);
        entry.read(makeOwner("entry-2", 3), 10, {makeEntry("entry-2")});
        entry.heartbeat();
        CPPUNIT_ASSERT_EQUAL(before + 1, entry.effects<SendHeartbeatReply>().size());
    }

    /// Guards against an entry that confirms the owner while its own claim may already have replaced it.
    void claimingEntryConfirmsNobody()
    {
        EntryHarness entry;
        entry.followPeer(true);
        entry.feed(PeerUnlinked{"entry-2", true});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
        const std::size_t before = entry.effects<SendHeartbeatReply>().size();
        entry.heartbeat();
        CPPUNIT_ASSERT_EQUAL(before, entry.effects<SendHeartbeatReply>().size());
        entry.feed(ClaimEnded{ClaimEnded::Outcome::Won, 12});
        entry.heartbeat();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), lastReply(entry).ownerEpoch);
    }

    /// Guards against an entry that has just stepped down and follows, and so confirms, an owner that it had replaced itself.
    void formerOwnerDoesNotFollowAnOlderOne()
    {
        EntryHarness entry;
        entry.followPeer(true);
        entry.feed(PeerUnlinked{"entry-2", true});
        entry.feed(ClaimEnded{ClaimEnded::Outcome::Won, 12});
        entry.feed(JobsLoaded{true});
        entry.feed(PeerHeartbeat{"entry-3", {5, true, false}});
        entry.feed(SteppedDown{});
        entry.heartbeat();
        CPPUNIT_ASSERT(!entry.state.owner);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), lastReply(entry).ownerEpoch);
    }

    /// Guards against agents that know only an owner cut off from the store, and so never find its successor.
    void agentsLearnThatTheStoreDoesNotConfirm()
    {
        OwnerEntry owner(2);
        CPPUNIT_ASSERT(owner.effects<AuthorityRenewed>().back().confirmedByStore);
        owner.passWithoutStore(2s, 2);
        CPPUNIT_ASSERT(owner.hasAuthority());
        CPPUNIT_ASSERT(!owner.effects<AuthorityRenewed>().back().confirmedByStore);
        owner.readOwnClaim();
        CPPUNIT_ASSERT(owner.effects<AuthorityRenewed>().back().confirmedByStore);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAuthority);
