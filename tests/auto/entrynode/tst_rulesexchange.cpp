#include "entryharness.h"

#include "entrynode/entrynodeconstants.h"
#include "entrynode/rulesexchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode;
using namespace LaburnumFlow::EntryNode::Testing;

namespace {

Jobs::RulesAnnouncement rulesOf(std::uint64_t version, std::int64_t watchAfter = 10)
{
    return {version, version * 100, static_cast<std::int64_t>(version), watchAfter, true};
}

/// Feeds the exchange of an entry that has version 1 and collects its effects.
class ExchangeHarness
{
public:
    ExchangeHarness()
    {
        feed(TimePassed{now_});
        feed(OwnRules{rulesOf(1)});
    }

    void feed(const RulesExchangeEvent &event)
    {
        const RulesExchangeEffects effects = reduce(state, event);
        effects_.insert(effects_.end(), effects.begin(), effects.end());
    }

    void advance(Base::Duration time)
    {
        now_ += time;
        feed(TimePassed{now_});
    }

    template<class Effect>
    std::vector<Effect> take()
    {
        std::vector<Effect> found;
        for (const RulesExchangeEffect &effect : effects_) {
            if (const auto *matching = std::get_if<Effect>(&effect)) {
                found.push_back(*matching);
            }
        }
        effects_.clear();
        return found;
    }

    RulesExchangeState state;

private:
    Base::MonoTime now_{1s};
    RulesExchangeEffects effects_;
};

/// Returns the ownership of an entry with the given link, among present entries named entry-1, entry-2, and so on, in the order of their links.
OwnershipState makeFleet(const std::string &name, const std::vector<std::uint32_t> &linksKbps, const std::string &owner)
{
    OwnershipState state;
    for (std::size_t i = 0; i < linksKbps.size(); ++i) {
        Jobs::EntryRecord record = makeEntry("entry-" + std::to_string(i + 1));
        record.linkKbps = linksKbps[i];
        if (record.name == name) {
            state.self = record;
            continue;
        }
        state.peers[record.name].record = record;
        state.peers[record.name].present = true;
    }
    state.owner = makeOwner(owner, 1);
    return state;
}

std::vector<std::string> readersOf(const std::vector<std::uint32_t> &linksKbps, const std::string &owner)
{
    std::vector<std::string> readers;
    for (std::size_t i = 1; i <= linksKbps.size(); ++i) {
        const std::string name = "entry-" + std::to_string(i);
        if (isRulesReader(makeFleet(name, linksKbps, owner))) {
            readers.push_back(name);
        }
    }
    return readers;
}

} // namespace

/// Tests from whom an entry learns of new rules.
class TestRulesExchange : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRulesExchange);
    CPPUNIT_TEST(widestLinksReadTheStore);
    CPPUNIT_TEST(onlyReadersThatReachTheStoreAnnounce);
    CPPUNIT_TEST(withdrawsItsAnnouncementAtOnce);
    CPPUNIT_TEST(announcesNewRulesAtOnce);
    CPPUNIT_TEST(asksTheSourceOfANewerVersion);
    CPPUNIT_TEST(asksAnotherSourceWhenOneDoesNotAnswer);
    CPPUNIT_TEST(asksForACompleteUpdateAfterAMismatch);
    CPPUNIT_TEST(watchesTheStoreWithoutASource);
    CPPUNIT_TEST(watchesTheStoreWhenASourceFallsSilent);
    CPPUNIT_TEST(watchesTheStoreWhenUpdatesDontArrive);
    CPPUNIT_TEST(reportsThatItIsBehindOnce);
    CPPUNIT_TEST(olderAnnouncementsAskForNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a fleet in which no entry, or each one, transfers the document from the store, and against an owner that is delayed by it.
    void widestLinksReadTheStore()
    {
        CPPUNIT_ASSERT((std::vector<std::string>{"entry-2", "entry-4"} == readersOf({2, 200, 20, 100}, "entry-1")));
        CPPUNIT_ASSERT((std::vector<std::string>{"entry-3", "entry-4"} == readersOf({2, 200, 20, 100}, "entry-2")));
        CPPUNIT_ASSERT((std::vector<std::string>{"entry-2"} == readersOf({2, 2}, "entry-1")));
        CPPUNIT_ASSERT((std::vector<std::string>{"entry-1"} == readersOf({2}, "entry-1")));
        CPPUNIT_ASSERT_EQUAL(rulesReaders, readersOf({2, 2, 2, 2}, "entry-3").size());
    }

    /// Guards against entries that trust one that is cut off from the store.
    void onlyReadersThatReachTheStoreAnnounce()
    {
        ExchangeHarness exchange;
        exchange.advance(5s);
        CPPUNIT_ASSERT(exchange.take<AnnounceRules>().empty());
        exchange.feed(RulesReader{true, false});
        exchange.advance(5s);
        CPPUNIT_ASSERT(exchange.take<AnnounceRules>().empty());
        exchange.feed(RulesReader{true, true});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), exchange.take<AnnounceRules>().size());
        exchange.advance(rulesAnnouncementInterval - 1ms);
        CPPUNIT_ASSERT(exchange.take<AnnounceRules>().empty());
        exchange.advance(1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), exchange.take<AnnounceRules>().size());
    }

    /// Guards against entries that learn only after a timeout that a reader has lost the store.
    void withdrawsItsAnnouncementAtOnce()
    {
        ExchangeHarness exchange;
        exchange.feed(RulesReader{true, true});
        exchange.advance(100ms);
        CPPUNIT_ASSERT(exchange.take<AnnounceRules>().at(0).announcement.current);
        exchange.feed(RulesReader{true, false});
        const auto withdrawn = exchange.take<AnnounceRules>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), withdrawn.size());
        CPPUNIT_ASSERT(!withdrawn[0].announcement.current);
        exchange.advance(5s);
        CPPUNIT_ASSERT(exchange.take<AnnounceRules>().empty());

        ExchangeHarness follower;
        follower.feed(RulesAnnounced{"a", rulesOf(1)});
        CPPUNIT_ASSERT(followsPeers(follower.state));
        follower.feed(RulesAnnounced{"a", withdrawn[0].announcement});
        CPPUNIT_ASSERT(!followsPeers(follower.state));
    }

    /// Guards against a change that waits for the next periodic announcement.
    void announcesNewRulesAtOnce()
    {
        ExchangeHarness exchange;
        exchange.feed(RulesReader{true, true});
        exchange.take<AnnounceRules>();
        exchange.feed(OwnRules{rulesOf(2)});
        const auto announced = exchange.take<AnnounceRules>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), announced.size());
        CPPUNIT_ASSERT(rulesOf(2) == announced[0].announcement);
    }

    /// Guards against an entry that knows of newer rules and doesn't get them.
    void asksTheSourceOfANewerVersion()
    {
        ExchangeHarness exchange;
        exchange.feed(RulesAnnounced{"a", rulesOf(1)});
        exchange.feed(RulesAnnounced{"b", rulesOf(2)});
        exchange.feed(RulesAnnounced{"b", rulesOf(2)});
        const auto asked = exchange.take<RequestRulesUpdate>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), asked.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), asked[0].name);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), asked[0].request.version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), newestVersion(exchange.state));
        exchange.feed(OwnRules{rulesOf(2)});
        exchange.feed(RulesUpdateArrived{"b", true});
        exchange.advance(500ms);
        CPPUNIT_ASSERT(exchange.take<RequestRulesUpdate>().empty());
        CPPUNIT_ASSERT(!exchange.state.behindSince);
    }

    /// Guards against a lost answer after which an entry stays behind.
    void asksAnotherSourceWhenOneDoesNotAnswer()
    {
        ExchangeHarness exchange;
        exchange.feed(RulesAnnounced{"a", rulesOf(2)});
        exchange.feed(RulesAnnounced{"b", rulesOf(2)});
        CPPUNIT_ASSERT_EQUAL(std::string("a"), exchange.take<RequestRulesUpdate>().at(0).name);
        exchange.feed(RulesSourceLost{"a"});
        CPPUNIT_ASSERT_EQUAL(std::string("b"), exchange.take<RequestRulesUpdate>().at(0).name);
        exchange.feed(RulesAnnounced{"a", rulesOf(2)});
        exchange.advance(rulesRequestTimeout - 1ms);
        exchange.feed(RulesAnnounced{"a", rulesOf(2)});
        exchange.feed(RulesAnnounced{"b", rulesOf(2)});
        CPPUNIT_ASSERT(exchange.take<RequestRulesUpdate>().empty());
        exchange.advance(1ms);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), exchange.take<RequestRulesUpdate>().at(0).name);
    }

    /// Guards against an entry that asks again and again for changes that don't fit its rules.
    void asksForACompleteUpdateAfterAMismatch()
    {
        ExchangeHarness exchange;
        exchange.feed(RulesAnnounced{"a", rulesOf(2)});
        exchange.take<RequestRulesUpdate>();
        exchange.feed(RulesUpdateArrived{"a", false});
        const auto asked = exchange.take<RequestRulesUpdate>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), asked.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), asked[0].request.version);
        exchange.feed(RulesUpdateArrived{"a", false});
        CPPUNIT_ASSERT(exchange.take<RequestRulesUpdate>().empty());
    }

    /// Guards against an entry that hears no reader and leaves the store to others.
    void watchesTheStoreWithoutASource()
    {
        ExchangeHarness exchange;
        CPPUNIT_ASSERT(!followsPeers(exchange.state));
        exchange.feed(RulesAnnounced{"a", rulesOf(1)});
        CPPUNIT_ASSERT(followsPeers(exchange.state));
        exchange.feed(RulesSourceLost{"a"});
        CPPUNIT_ASSERT(!followsPeers(exchange.state));
        exchange.feed(RulesAnnounced{"a", rulesOf(1)});
        exchange.feed(RulesReader{true, true});
        CPPUNIT_ASSERT(!followsPeers(exchange.state));
    }

    /// Guards against an entry that relies on a reader which was cut off or stands still.
    void watchesTheStoreWhenASourceFallsSilent()
    {
        ExchangeHarness exchange;
        exchange.feed(RulesAnnounced{"a", rulesOf(1)});
        exchange.advance(rulesSourceTimeout - 1ms);
        CPPUNIT_ASSERT(followsPeers(exchange.state));
        CPPUNIT_ASSERT(nextDue(exchange.state) == Base::MonoTime(1s) + rulesSourceTimeout);
        exchange.advance(1ms);
        CPPUNIT_ASSERT(!followsPeers(exchange.state));
    }

    /// Guards against an entry that waits for a reader which announces new rules and can't deliver them.
    void watchesTheStoreWhenUpdatesDontArrive()
    {
        ExchangeHarness exchange;
        for (Base::Duration waited{}; waited < rulesBehindLimit; waited += 100ms) {
            exchange.feed(RulesAnnounced{"a", rulesOf(2)});
            CPPUNIT_ASSERT(followsPeers(exchange.state));
            exchange.advance(100ms);
        }
        CPPUNIT_ASSERT(!followsPeers(exchange.state));
        exchange.feed(OwnRules{rulesOf(2)});
        CPPUNIT_ASSERT(followsPeers(exchange.state));
    }

    /// Guards against a delay that no one is told of, and against a line for each announcement.
    void reportsThatItIsBehindOnce()
    {
        ExchangeHarness exchange;
        for (int i = 0; i < 40; ++i) {
            exchange.feed(RulesAnnounced{"a", rulesOf(3)});
            exchange.advance(100ms);
        }
        const auto reports = exchange.take<RulesBehind>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), reports[0].newestVersion);
        CPPUNIT_ASSERT(reports[0].age == rulesBehindReportDelay);
    }

    /// Guards against rules that revert to those of a reader that is behind.
    void olderAnnouncementsAskForNothing()
    {
        ExchangeHarness exchange;
        exchange.feed(OwnRules{rulesOf(4)});
        exchange.feed(RulesAnnounced{"a", rulesOf(3)});
        CPPUNIT_ASSERT(exchange.take<RequestRulesUpdate>().empty());
        CPPUNIT_ASSERT(!exchange.state.behindSince);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRulesExchange);
