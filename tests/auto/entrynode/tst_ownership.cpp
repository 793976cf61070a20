#include "entryharness.h"

#include "entrynode/entrynodeconstants.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode;
using namespace LaburnumFlow::EntryNode::Testing;
using Mode = OwnershipState::Mode;
using namespace std::chrono_literals;

class TestOwnership : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOwnership);
    CPPUNIT_TEST(claimsWhatNobodyOwns);
    CPPUNIT_TEST(unreadableOwnerRecordLowersNoEpoch);
    CPPUNIT_TEST(lostClaimIsNotRepeatedBeforeARead);
    CPPUNIT_TEST(unknownClaimIsReadBack);
    CPPUNIT_TEST(replacesAbsentOwner);
    CPPUNIT_TEST(keepsOwnerThatSendsHeartbeats);
    CPPUNIT_TEST(keepsPresentOwnerOfBrokenLink);
    CPPUNIT_TEST(replacesDeadProcessAtOnce);
    CPPUNIT_TEST(largerEntriesClaimFirst);
    CPPUNIT_TEST(smallEntryClaimsIfLargerOnesDoNot);
    CPPUNIT_TEST(replacesOwnerThatMostCannotReach);
    CPPUNIT_TEST(minorityReplacesNobody);
    CPPUNIT_TEST(replacesOwnerWithoutStore);
    CPPUNIT_TEST(storeBackForAllIsNoCutOff);
    CPPUNIT_TEST(ownerCutOffAfterAnOutageIsReplaced);
    CPPUNIT_TEST(claimsNothingWithoutStore);
    CPPUNIT_TEST(replacesItsOwnFormerIncarnation);
    CPPUNIT_TEST(learnsOwnerFromHeartbeat);
    CPPUNIT_TEST(higherEpochEndsOwnership);
    CPPUNIT_TEST(takesOverAgentsOfTheFormerOwner);
    CPPUNIT_TEST(renewsItsPresence);
    CPPUNIT_TEST(vanishedPresenceIsWrittenAgain);
    CPPUNIT_TEST(hasSuccessorOnlyIfPresentAndLinked);
    CPPUNIT_TEST(stoppingEntryClaimsNothing);
    CPPUNIT_TEST(stoppingOwnerSendsHeartbeatsUntilItStepsDown);
    CPPUNIT_TEST(claimWonWhileStoppingIsKept);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a first start of all entries in which none becomes the owner.
    void claimsWhatNobodyOwns()
    {
        EntryHarness entry;
        entry.becomeOwner();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<BeginOwning>().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), entry.effects<BeginOwning>()[0].record.epoch);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), entry.effects<BeginOwning>()[0].revision);
    }

    /// Guards against an owner whose epoch is below the fence of the workers because the record of the former owner can't be read.
    void unreadableOwnerRecordLowersNoEpoch()
    {
        EntryHarness entry;
        entry.followPeer();
        entry.read(std::nullopt, 11, {makeEntry("entry-1")});
        entry.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), entry.effects<Claim>()[0].record.epoch);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(11), entry.effects<Claim>()[0].expectedRevision);
    }

    /// Guards against repeating a lost claim with an outdated revision over and over.
    void lostClaimIsNotRepeatedBeforeARead()
    {
        EntryHarness entry;
        entry.read(std::nullopt, 0, {});
        entry.feed(ClaimEnded{ClaimEnded::Outcome::Lost, 0});
        entry.advance(10ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
        entry.read(makeOwner("entry-2", 1), 4, {makeEntry("entry-2")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
    }

    /// Guards against two owners, or none, after the response to a claim was lost.
    void unknownClaimIsReadBack()
    {
        EntryHarness entry;
        entry.read(std::nullopt, 0, {});
        entry.feed(ClaimEnded{ClaimEnded::Outcome::Unknown, 0});
        CPPUNIT_ASSERT(entry.state.mode == Mode::Confirming);
        entry.read(makeOwner("entry-1", 1), 6, {});
        CPPUNIT_ASSERT(entry.state.mode == Mode::Loading);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), entry.state.ownerRevision);
    }

    /// Guards against jobs without an owner after the owner's VM has failed: its presence key expires and its heartbeats stop.
    void replacesAbsentOwner()
    {
        EntryHarness entry;
        entry.followPeer();
        entry.advance(ownerSilenceTimeout + claimDelayMax);
        entry.read(makeOwner("entry-2", 3), 10, {makeEntry("entry-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), entry.effects<Claim>()[0].record.epoch);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10), entry.effects<Claim>()[0].expectedRevision);
    }

    /// Guards against a change of owner because presence keys are missing in the store for a short time.
    void keepsOwnerThatSendsHeartbeats()
    {
        EntryHarness entry;
        entry.followPeer();
        for (int i = 0; i < 20; ++i) {
            entry.advance(heartbeatInterval);
            entry.heartbeat();
            entry.read(makeOwner("entry-2", 3), 10, {});
        }
        CPPUNIT_ASSERT(entry.effects<Claim>().empty());
    }

    /// Guards against two entries that take the ownership from each other in turn while only the link between them is interrupted.
    void keepsPresentOwnerOfBrokenLink()
    {
        EntryHarness entry;
        entry.followPeer();
        entry.feed(PeerUnlinked{"entry-2", false});
        std::int64_t revision = 10;
        for (int i = 0; i < 20; ++i) {
            entry.advance(clusterReadInterval);
            entry.read(makeOwner("entry-2", 3), ++revision, {makeEntry("entry-2")});
        }
        CPPUNIT_ASSERT(entry.effects<Claim>().empty());
    }

    /// Guards against waiting about a second for the silence timeout after the owner's process was killed: its address refuses connections.
    void replacesDeadProcessAtOnce()
    {
        EntryHarness entry;
        entry.followPeer(true);
        entry.feed(PeerUnlinked{"entry-2", false});
        CPPUNIT_ASSERT(entry.effects<Claim>().empty());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-2"), entry.effects<DialPeer>().back().name);
        entry.feed(PeerUnlinked{"entry-2", true});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
    }

    /// Guards against an entry with a small processor share that claims the jobs, and then places them late, although a larger one is linked.
    void largerEntriesClaimFirst()
    {
        EntryHarness entry;
        entry.read(makeOwner("entry-2", 3), 10, {makeEntry("entry-1"), makeEntry("entry-2"), makeEntry("entry-3", 1, 50)});
        entry.feed(PeerLinked{"entry-2"});
        entry.feed(PeerLinked{"entry-3"});
        entry.heartbeat();
        entry.feed(PeerUnlinked{"entry-2", true});
        CPPUNIT_ASSERT(entry.effects<Claim>().empty());
        entry.advance(largerEntryGracePeriod / 2);
        entry.read(makeOwner("entry-3", 4), 11, {makeEntry("entry-1"), makeEntry("entry-3", 1, 50)});
        entry.advance(largerEntryGracePeriod);
        CPPUNIT_ASSERT(entry.effects<Claim>().empty());
    }

    /// Guards against jobs without an owner while a larger entry is linked but can't claim, and against waiting for an entry that is not
    /// larger.
    void smallEntryClaimsIfLargerOnesDoNot()
    {
        for (const std::uint32_t othersPercent : {25U, 50U}) {
            EntryHarness entry;
            entry.read(makeOwner("entry-2", 3), 10, {makeEntry("entry-1"), makeEntry("entry-2"), makeEntry("entry-3", 1, othersPercent)});
            entry.feed(PeerLinked{"entry-2"});
            entry.feed(PeerLinked{"entry-3"});
            entry.heartbeat();
            entry.feed(PeerUnlinked{"entry-2", true});
            CPPUNIT_ASSERT_EQUAL(othersPercent == 25 ? std::size_t(1) : std::size_t(0), entry.effects<Claim>().size());
            CPPUNIT_ASSERT(othersPercent == 25 || nextDue(entry.state).value() <= entry.state.now + largerEntryGracePeriod);
            entry.advance(largerEntryGracePeriod);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
        }
    }

    /// Guards against keeping an owner that renews its presence key but can't be reached by most entries, so that their callers wait.
    void replacesOwnerThatMostCannotReach()
    {
        EntryHarness entry;
        entry.followPeer(true);
        entry.feed(PeerUnlinked{"entry-2", false});
        for (Base::Duration passed{}; passed <= ownerUnreachableTimeout + claimDelayMax; passed += 100ms) {
            entry.advance(100ms);
            entry.read(makeOwner("entry-2", 3), 10, {makeEntry("entry-2"), makeEntry("entry-3")});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
    }

    /// Guards against an entry that claims the jobs although it is cut off from most others.
    void minorityReplacesNobody()
    {
        EntryHarness entry;
        entry.followPeer(true);
        entry.feed(PeerUnlinked{"entry-2", false});
        entry.feed(PeerUnlinked{"entry-3", false});
        entry.feed(PeerUnlinked{"entry-2", true});
        for (int i = 0; i < 50; ++i) {
            entry.advance(100ms);
            entry.read(makeOwner("entry-2", 3), 10, {makeEntry("entry-2"), makeEntry("entry-3")});
        }
        CPPUNIT_ASSERT(entry.effects<Claim>().empty());
    }

    /// Guards against keeping an owner that is alive but can't reach the store and so can't record anything.
    void replacesOwnerWithoutStore()
    {
        EntryHarness entry;
        entry.followPeer();
        for (Base::Duration passed{}; passed <= ownerCutOffTimeout + heartbeatInterval; passed += heartbeatInterval) {
            entry.advance(heartbeatInterval);
            entry.heartbeat(false);
            entry.read(makeOwner("entry-2", 3), 10, {makeEntry("entry-2")});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
    }

    /// Guards against a takeover at the end of a store outage because the store responds to this entry a moment before the owner.
    void storeBackForAllIsNoCutOff()
    {
        EntryHarness entry;
        entry.followPeer();
        for (int i = 0; i < 20; ++i) {
            entry.advance(heartbeatInterval);
            entry.heartbeat(false);
            entry.feed(ClusterRead{});
        }
        entry.read(makeOwner("entry-2", 3), 10, {makeEntry("entry-2")});
        entry.advance(20ms);
        CPPUNIT_ASSERT(entry.effects<Claim>().empty());
        entry.heartbeat(true);
        entry.advance(ownerCutOffTimeout);
        entry.heartbeat(true);
        CPPUNIT_ASSERT(entry.effects<Claim>().empty());
    }

    /// Guards against keeping an owner that still can't reach the store after an outage for all entries has ended.
    void ownerCutOffAfterAnOutageIsReplaced()
    {
        EntryHarness entry;
        entry.followPeer();
        for (int i = 0; i < 20; ++i) {
            entry.advance(heartbeatInterval);
            entry.heartbeat(false);
            entry.feed(ClusterRead{});
        }
        for (Base::Duration passed{}; passed <= ownerCutOffTimeout + heartbeatInterval; passed += heartbeatInterval) {
            entry.read(makeOwner("entry-2", 3), 10, {makeEntry("entry-2")});
            entry.advance(heartbeatInterval);
            entry.heartbeat(false);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
    }

    /// Guards against claims while the store is down for all entries. The owner can go on with the jobs that it has.
    void claimsNothingWithoutStore()
    {
        EntryHarness entry;
        entry.followPeer();
        for (int i = 0; i < 50; ++i) {
            entry.advance(100ms);
            entry.heartbeat(false);
            entry.feed(ClusterRead{});
        }
        CPPUNIT_ASSERT(entry.effects<Claim>().empty());
    }

    /// Guards against a restarted owner that waits for its own previous incarnation.
    void replacesItsOwnFormerIncarnation()
    {
        EntryHarness entry;
        entry.read(makeOwner("entry-1", 3, 99), 10, {makeEntry("entry-1", 99)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
    }

    /// Guards against an entry that refuses its callers because it can't read the new owner from the store.
    void learnsOwnerFromHeartbeat()
    {
        EntryHarness entry;
        entry.followPeer();
        entry.feed(PeerHeartbeat{"entry-3", {4, true, false}});
        CPPUNIT_ASSERT_EQUAL(std::string("entry-3"), entry.effects<OwnerChanged>().back().name);
        entry.feed(ClusterRead{});
        CPPUNIT_ASSERT(entry.effects<Claim>().empty());
    }

    /// Guards against a former owner that doesn't learn of its successor because it has nothing to record in the store.
    void higherEpochEndsOwnership()
    {
        EntryHarness entry;
        entry.becomeOwner();
        entry.read(makeOwner("entry-2", 2), 20, {makeEntry("entry-2")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<OwnershipLost>().size());
        EntryHarness other;
        other.becomeOwner();
        other.feed(PeerHeartbeat{"entry-2", {2, true, false}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), other.effects<OwnershipLost>().size());
    }

    /// Guards against a new owner that doesn't wait for the agents of the former one: its claim must keep their names.
    void takesOverAgentsOfTheFormerOwner()
    {
        EntryHarness entry;
        Jobs::OwnerRecord vacant = makeOwner("", 3);
        vacant.agents = {"agent-1", "agent-2"};
        entry.read(vacant, 10, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.effects<Claim>().at(0).record.agents.size());
    }

    /// Guards against an entry that is alive but lets its presence key expire.
    void renewsItsPresence()
    {
        EntryHarness entry;
        entry.advance(1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<GrantLease>().size());
        entry.feed(LeaseGranted{42});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<WritePresence>().size());
        entry.feed(PresenceWritten{PresenceWritten::Outcome::Written});
        entry.advance(presenceRenewalInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<RenewLease>().size());
        entry.feed(LeaseRenewed{LeaseRenewed::Outcome::Expired});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.effects<GrantLease>().size());
    }

    /// Guards against an entry that stays invisible to others after the store has lost its presence key while its lease still seems valid.
    void vanishedPresenceIsWrittenAgain()
    {
        EntryHarness entry;
        entry.advance(1ms);
        entry.feed(LeaseGranted{42});
        entry.feed(PresenceWritten{PresenceWritten::Outcome::Written});
        entry.read(makeOwner("entry-2", 3), 10, {makeEntry("entry-2")});
        entry.advance(presenceRenewalInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.effects<GrantLease>().size());
    }

    /// Guards against jobs without an owner during a rolling restart of the entries, when the owner would step down with no other entry that
    /// can take over.
    void hasSuccessorOnlyIfPresentAndLinked()
    {
        EntryHarness entry;
        entry.becomeOwner();
        CPPUNIT_ASSERT(!hasSuccessor(entry.state));
        entry.read(makeOwner("entry-1", 1), 5, {makeEntry("entry-2")});
        CPPUNIT_ASSERT(!hasSuccessor(entry.state));
        entry.feed(PeerLinked{"entry-2"});
        CPPUNIT_ASSERT(hasSuccessor(entry.state));
        entry.read(makeOwner("entry-1", 1), 5, {});
        CPPUNIT_ASSERT(!hasSuccessor(entry.state));
    }

    /// Guards against an entry that claims the jobs again while it is stopping.
    void stoppingEntryClaimsNothing()
    {
        EntryHarness entry;
        entry.feed(StopRequested{});
        entry.read(makeOwner("", 3), 10, {});
        CPPUNIT_ASSERT(entry.effects<Claim>().empty());
        entry.feed(SteppedDown{});
        entry.read(makeOwner("", 3), 10, {});
        CPPUNIT_ASSERT(entry.effects<Claim>().empty());
    }

    /// Guards against entries that replace a stopping owner too early, as it serves until a successor can take over.
    void stoppingOwnerSendsHeartbeatsUntilItStepsDown()
    {
        EntryHarness entry;
        entry.becomeOwner();
        entry.feed(PeerLinked{"entry-2"});
        entry.feed(StopRequested{});
        const std::size_t before = entry.effects<SendHeartbeat>().size();
        entry.advance(heartbeatInterval);
        CPPUNIT_ASSERT_EQUAL(before + 1, entry.effects<SendHeartbeat>().size());
        entry.read(makeOwner("entry-2", 2), 20, {makeEntry("entry-2")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<OwnershipLost>().size());
    }

    /// Guards against jobs whose owner doesn't act as one because it was told to stop while its claim was in progress.
    void claimWonWhileStoppingIsKept()
    {
        EntryHarness entry;
        entry.read(std::nullopt, 0, {});
        entry.feed(StopRequested{});
        entry.feed(ClaimEnded{ClaimEnded::Outcome::Won, 5});
        entry.feed(JobsLoaded{true});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<BeginOwning>().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOwnership);
