#include "entryharness.h"

#include "entrynode/entrynodeconstants.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode;
using namespace LaburnumFlow::EntryNode::Testing;
using Mode = OwnershipState::Mode;
using namespace std::chrono_literals;

/// Tests an entry whose claims and reads of the cluster end at once without an answer, or cross each other.
class TestStoreCalls : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreCalls);
    CPPUNIT_TEST(readFromBeforeAClaimDoesNotResolveIt);
    CPPUNIT_TEST(ownClaimThatIsTakenForLostIsReplaced);
    CPPUNIT_TEST(claimsThatFailAtOnceAreSpacedOut);
    CPPUNIT_TEST(olderReadDoesNotBringBackAFormerOwner);
    CPPUNIT_TEST(unansweredRenewalsKeepThePresence);
    CPPUNIT_TEST(renewalsThatFailAtOnceAreSpacedOut);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a second claim, and so a second takeover, by an entry that owns the jobs: the answer to its claim was lost at once, and the read in
    /// progress was executed before the claim.
    void readFromBeforeAClaimDoesNotResolveIt()
    {
        EntryHarness entry;
        entry.read(std::nullopt, 0, {});
        entry.advance(clusterReadInterval);
        CPPUNIT_ASSERT(entry.state.readInProgress);
        entry.feed(ClaimEnded{ClaimEnded::Outcome::Unknown, 0});
        entry.read(std::nullopt, 0, {});
        CPPUNIT_ASSERT(entry.state.mode == Mode::Confirming);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
        CPPUNIT_ASSERT(entry.state.readInProgress);
        entry.read(makeOwner("entry-1", 1), 6, {});
        CPPUNIT_ASSERT(entry.state.mode == Mode::Loading);
    }

    /// Guards against jobs without an owner after a claim was executed late and conflicted with the repeated claim, so that the store names this entry as
    /// the owner while it follows.
    void ownClaimThatIsTakenForLostIsReplaced()
    {
        EntryHarness entry;
        entry.read(std::nullopt, 0, {});
        entry.feed(ClaimEnded{ClaimEnded::Outcome::Unknown, 0});
        entry.read(std::nullopt, 0, {});
        entry.advance(claimRetryDelay);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.effects<Claim>().size());
        entry.feed(ClaimEnded{ClaimEnded::Outcome::Lost, 0});
        entry.read(makeOwner("entry-1", 1), 6, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), entry.effects<Claim>().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), entry.effects<Claim>()[2].record.epoch);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), entry.effects<Claim>()[2].expectedRevision);
    }

    /// Guards against an owner that is replaced because its presence lapses while the store carries out its renewals and the answers come too late.
    void unansweredRenewalsKeepThePresence()
    {
        constexpr Base::Duration presenceTtl = 1s;
        EntryHarness entry;
        renewPresence(entry);
        Base::MonoTime renewedAt = entry.state.now;
        for (int i = 0; i < 20; ++i) {
            const std::size_t renewals = entry.effects<RenewLease>().size();
            const Base::Duration timeout = entry.effects<RenewLease>().back().timeout;
            entry.advance(timeout);
            entry.feed(LeaseRenewed{LeaseRenewed::Outcome::Failed});
            while (entry.effects<RenewLease>().size() == renewals) {
                entry.advance(1ms);
            }
            CPPUNIT_ASSERT(entry.state.now - renewedAt < presenceTtl);
            renewedAt = entry.state.now;
        }
    }

    /// Guards against some hundred renewals per second while the store refuses connections.
    void renewalsThatFailAtOnceAreSpacedOut()
    {
        EntryHarness entry;
        renewPresence(entry);
        const std::size_t before = entry.effects<RenewLease>().size();
        for (int i = 0; i < 1500; ++i) {
            if (entry.state.presenceCallInProgress) {
                entry.feed(LeaseRenewed{LeaseRenewed::Outcome::Failed});
            }
            entry.advance(1ms);
        }
        CPPUNIT_ASSERT(entry.effects<RenewLease>().size() - before <= 1500ms / presenceRenewalInterval + 1);
    }

    /// Guards against some hundred claims per second, each of which is priced, by an entry whose writes the store refuses, or whose connections it resets,
    /// while it answers reads.
    void claimsThatFailAtOnceAreSpacedOut()
    {
        for (const auto outcome : {ClaimEnded::Outcome::Refused, ClaimEnded::Outcome::Unknown}) {
            EntryHarness entry;
            entry.read(std::nullopt, 0, {});
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
            for (int i = 0; i < 5; ++i) {
                entry.feed(ClaimEnded{outcome, 0});
                entry.read(std::nullopt, 0, {});
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<Claim>().size());
            CPPUNIT_ASSERT(nextDue(entry.state) <= entry.now() + claimRetryDelay);
            entry.advance(claimRetryDelay);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.effects<Claim>().size());
        }
    }

    /// Guards against calls that are forwarded again from the owner to its predecessor, whose refusal would count although the owner has accepted
    /// them: a read of the cluster ends after the first heartbeat of the owner but was executed before its claim.
    void olderReadDoesNotBringBackAFormerOwner()
    {
        EntryHarness entry;
        entry.followPeer(true);
        entry.advance(clusterReadInterval);
        CPPUNIT_ASSERT(entry.state.readInProgress);
        entry.feed(PeerHeartbeat{"entry-3", {4, true, false}});
        CPPUNIT_ASSERT_EQUAL(std::string("entry-3"), entry.effects<OwnerChanged>().back().name);
        entry.read(makeOwner("entry-2", 3), 10, {makeEntry("entry-1"), makeEntry("entry-2"), makeEntry("entry-3")});
        CPPUNIT_ASSERT_EQUAL(std::string("entry-3"), entry.effects<OwnerChanged>().back().name);
        CPPUNIT_ASSERT(entry.state.readInProgress);
        entry.read(makeOwner("entry-3", 4), 11, {makeEntry("entry-1"), makeEntry("entry-2"), makeEntry("entry-3")});
        CPPUNIT_ASSERT_EQUAL(std::string("entry-3"), entry.effects<OwnerChanged>().back().name);
        CPPUNIT_ASSERT(entry.state.ownerRecordCurrent);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(11), entry.state.ownerRevision);
    }

private:
    /// Lets the entry obtain its lease, write its presence and begin the first renewal.
    static void renewPresence(EntryHarness &entry)
    {
        entry.read(std::nullopt, 0, {});
        entry.feed(LeaseGranted{7});
        entry.feed(PresenceWritten{PresenceWritten::Outcome::Written});
        entry.advance(presenceRenewalInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.effects<RenewLease>().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreCalls);
