#include "entrynode/entrynodeconstants.h"
#include "entrynode/rulesfeed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode;
using namespace std::chrono_literals;

namespace {

constexpr Base::Duration changeBound = 2s; ///< within which a change has to be in force
constexpr Base::Duration callTime = 5ms; ///< of a call that doesn't wait
constexpr Base::Duration lostCallTime = 1200ms; ///< after which a call without an answer has failed
constexpr Base::Duration history = 20s; ///< for which the store remembers changes
constexpr Base::Duration otherChangesInterval = 50ms; ///< other keys of the store change at this interval

/// A store with the rules document. Changes of other keys raise its revision as well.
class ModelStore
{
public:
    void advance(Base::MonoTime now)
    {
        now_ = now;
        while (nextOtherChange_ <= now_) {
            ++revision_;
            nextOtherChange_ += otherChangesInterval;
            trail_.emplace_back(now_, revision_);
        }
        while (!trail_.empty() && trail_.front().first + history < now_) {
            historyStart_ = std::max(historyStart_, trail_.front().second);
            trail_.erase(trail_.begin());
        }
    }

    void change()
    {
        documentRevision_ = ++revision_;
        changedAt_ = now_;
    }

    void dropHistory()
    {
        historyStart_ = revision_;
    }

    /// Puts the store back to a state from before all of its changes.
    void restore()
    {
        revision_ = 1;
        documentRevision_ = 1;
        historyStart_ = 0;
        trail_.clear();
    }

    RulesRead read()
    {
        ++reads;
        return {RulesText{std::to_string(documentRevision_), documentRevision_}, revision_};
    }

    /// Returns the answer to a watch if there is one already.
    std::optional<RulesWatched> watch(std::int64_t after) const
    {
        if (after < historyStart_) {
            return RulesWatched{RulesWatched::Outcome::HistoryLost, 0, {}, 0};
        }
        if (withholds || documentRevision_ <= after) {
            return std::nullopt;
        }
        return RulesWatched{RulesWatched::Outcome::Answered, documentRevision_, RulesText{std::to_string(documentRevision_), documentRevision_}, revision_};
    }

    RulesWatched nothing() const
    {
        return {RulesWatched::Outcome::Answered, 0, {}, revision_};
    }

    std::int64_t documentRevision() const
    {
        return documentRevision_;
    }

    Base::MonoTime changedAt() const
    {
        return changedAt_;
    }

    bool withholds = false; ///< watches don't report changes
    int reads = 0;

private:
    Base::MonoTime now_{};
    Base::MonoTime nextOtherChange_{};
    std::vector<std::pair<Base::MonoTime, std::int64_t>> trail_; ///< revisions of the store within its history
    std::int64_t revision_ = 1;
    std::int64_t documentRevision_ = 1;
    std::int64_t historyStart_ = 0;
    Base::MonoTime changedAt_{};
};

/// An entry's rules feed at a store, in steps of a millisecond.
class FeedHarness
{
public:
    explicit FeedHarness(unsigned seed = 1) : random_(seed) { }

    void run(Base::Duration time)
    {
        for (const Base::MonoTime end = now_ + time; now_ < end;) {
            step();
        }
    }

    void step()
    {
        now_ += 1ms;
        store.advance(now_);
        feed(TimePassed{now_});
        endCall();
        checkBound();
    }

    void feed(const RulesFeedEvent &event)
    {
        for (const RulesFeedEffect &effect : reduce(state, event)) {
            std::visit([this](const auto &what) { carryOut(what); }, effect);
        }
    }

    /// Ends the call in progress without an answer, as a store does that drops its history.
    void cutWatch()
    {
        if (watch_) {
            watch_.reset();
            feed(RulesWatched{});
        }
    }

    ModelStore store;
    RulesFeedState state;
    std::vector<std::int64_t> adopted;
    int calls = 0;
    double lostShare = 0;
    bool checksBound = false;

private:
    struct Watch {
        std::int64_t after = 0;
        Base::MonoTime answersFrom{};
        Base::MonoTime until{};
        bool lost = false;
    };

    bool isLost()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < lostShare;
    }

    void carryOut(const ReadRules & /*read*/)
    {
        ++calls;
        readLost_ = isLost();
        readEnd_ = now_ + (readLost_ ? lostCallTime : callTime);
    }

    void carryOut(const WatchRules &watch)
    {
        ++calls;
        const bool lost = isLost();
        watch_ = Watch{watch.after, now_ + callTime, now_ + (lost ? lostCallTime : watch.wait), lost};
    }

    void carryOut(const AdoptRules &adopt)
    {
        adopted.push_back(adopt.document.revision);
    }

    void endCall()
    {
        if (readEnd_ && *readEnd_ <= now_) {
            readEnd_.reset();
            feed(readLost_ ? RulesRead{} : store.read());
        }
        if (!watch_ || now_ < watch_->answersFrom) {
            return;
        }
        const std::optional<RulesWatched> answer = watch_->lost ? std::nullopt : store.watch(watch_->after);
        if (!answer && now_ < watch_->until) {
            return;
        }
        const RulesWatched none = watch_->lost ? RulesWatched{} : store.nothing();
        watch_.reset();
        feed(answer.value_or(none));
    }

    void checkBound() const
    {
        if (checksBound && now_ - store.changedAt() > changeBound) {
            CPPUNIT_ASSERT_EQUAL(store.documentRevision(), state.adoptedRevision);
        }
    }

    std::mt19937 random_;
    Base::MonoTime now_ = Base::MonoTime(1s);
    std::optional<Base::MonoTime> readEnd_;
    bool readLost_ = false;
    std::optional<Watch> watch_;
};

} // namespace

/// Tests how an entry keeps its rules up to date.
class TestRulesFeed : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRulesFeed);
    CPPUNIT_TEST(unchangedDocumentIsReadOnce);
    CPPUNIT_TEST(changeIsAdoptedFromTheWatch);
    CPPUNIT_TEST(changeThatNoWatchReportsIsAdopted);
    CPPUNIT_TEST(changeThatSeveralWatchesDontReportIsAdopted);
    CPPUNIT_TEST(changesWhileHistoriesAreLostAndCallsFail);
    CPPUNIT_TEST(olderDocumentIsNotAdopted);
    CPPUNIT_TEST(deletedDocumentIsKept);
    CPPUNIT_TEST(restoredStoreIsReadAgain);
    CPPUNIT_TEST(callsThatFailAtOnceAreSpacedOut);
    CPPUNIT_TEST(watchThatWaitedInVainIsRepeatedAtOnce);
    CPPUNIT_TEST(entryThatFollowsOthersMakesNoCalls);
    CPPUNIT_TEST(lostHistoryIsMadeUpForByARead);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against transfers of a document that has not changed, also when the first watch would have left the store's history long ago.
    void unchangedDocumentIsReadOnce()
    {
        FeedHarness feed;
        feed.run(10min);
        CPPUNIT_ASSERT_EQUAL(1, feed.store.reads);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), feed.adopted.size());
        CPPUNIT_ASSERT(feed.calls <= 10 * 60 + 1);
    }

    /// Guards against a change that is transferred more than once, or comes late.
    void changeIsAdoptedFromTheWatch()
    {
        FeedHarness feed;
        feed.run(3s);
        feed.store.change();
        feed.run(20ms);
        CPPUNIT_ASSERT_EQUAL(feed.store.documentRevision(), feed.state.adoptedRevision);
        feed.run(10s);
        CPPUNIT_ASSERT_EQUAL(1, feed.store.reads);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), feed.adopted.size());
    }

    /// Guards against rules that stay out of force: a store withholds a change from the watches for a second, names a revision after it meanwhile, and then
    /// drops its history.
    void changeThatNoWatchReportsIsAdopted()
    {
        FeedHarness feed;
        feed.checksBound = true;
        for (int round = 0; round < 50; ++round) {
            feed.run(3s + std::chrono::milliseconds(37 * round));
            withholdAChange(feed, 900ms);
        }
        feed.run(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(51), feed.adopted.size());
    }

    /// Guards against a watch that begins after a change which the former ones should have reported: the store reports it late and keeps its history.
    void changeThatSeveralWatchesDontReportIsAdopted()
    {
        FeedHarness feed;
        for (int round = 0; round < 50; ++round) {
            feed.run(3s + std::chrono::milliseconds(37 * round));
            feed.store.withholds = true;
            feed.store.change();
            feed.run(4s);
            feed.store.withholds = false;
            feed.run(changeBound);
            CPPUNIT_ASSERT_EQUAL(feed.store.documentRevision(), feed.state.adoptedRevision);
        }
    }

    /// Guards against a version that is missed for good, or adopted twice, in any order of changes, lost calls, withheld changes and lost histories.
    void changesWhileHistoriesAreLostAndCallsFail()
    {
        constexpr unsigned seeds = 200;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            std::mt19937 random(seed);
            FeedHarness feed(seed);
            feed.lostShare = 0.3;
            for (int i = 0; i < 40; ++i) {
                const unsigned event = random() % 4;
                feed.store.withholds = event == 1;
                if (event == 0) {
                    feed.store.dropHistory();
                    feed.cutWatch();
                }
                if (event < 3) {
                    feed.store.change();
                }
                feed.run(std::chrono::milliseconds(random() % 1000));
            }
            feed.store.withholds = false;
            feed.lostShare = 0;
            feed.run(5s);
            const std::string message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, feed.store.documentRevision(), feed.state.adoptedRevision);
            CPPUNIT_ASSERT_MESSAGE(message, std::adjacent_find(feed.adopted.begin(), feed.adopted.end(), std::greater_equal<>()) == feed.adopted.end());
        }
    }

    /// Guards against rules that revert when an answer with a former version comes after a newer one.
    void olderDocumentIsNotAdopted()
    {
        RulesFeedState state;
        reduce(state, TimePassed{Base::MonoTime(1s)});
        reduce(state, RulesRead{RulesText{"new", 9}, 9});
        const RulesFeedEffects effects = reduce(state, RulesWatched{RulesWatched::Outcome::Answered, 8, RulesText{"old", 8}, 9});
        CPPUNIT_ASSERT(std::none_of(effects.begin(), effects.end(), [](const auto &effect) { return std::holds_alternative<AdoptRules>(effect); }));
    }

    /// Guards against an entry that loses its rules, or watches the deletion again and again, when the document was deleted.
    void deletedDocumentIsKept()
    {
        RulesFeedState state;
        reduce(state, TimePassed{Base::MonoTime(1s)});
        reduce(state, RulesRead{RulesText{"new", 9}, 9});
        reduce(state, TimePassed{Base::MonoTime(2s)});
        reduce(state, RulesWatched{RulesWatched::Outcome::Answered, 12, {}, 12});
        const RulesFeedEffects effects = reduce(state, TimePassed{Base::MonoTime(3s)});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), state.adoptedRevision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), effects.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), std::get<WatchRules>(effects[0]).after);
    }

    /// Guards against a watch that waits for a revision that a restored store reaches only much later, and against changes that are ignored because their
    /// revisions are lower than before.
    void restoredStoreIsReadAgain()
    {
        FeedHarness feed;
        feed.run(30s);
        feed.store.change();
        feed.run(1s);
        feed.store.restore();
        feed.run(2s);
        CPPUNIT_ASSERT_EQUAL(2, feed.store.reads);
        feed.store.change();
        feed.run(2s);
        CPPUNIT_ASSERT_EQUAL(feed.store.documentRevision(), feed.state.adoptedRevision);
    }

    /// Guards against some thousand calls per second to a store that ends watches at once, or keeps no history.
    void callsThatFailAtOnceAreSpacedOut()
    {
        for (const auto outcome : {RulesWatched::Outcome::Answered, RulesWatched::Outcome::HistoryLost, RulesWatched::Outcome::Failed}) {
            RulesFeedState state;
            int calls = 0;
            for (Base::MonoTime now = Base::MonoTime(1s); now < Base::MonoTime(11s); now += 1ms) {
                RulesFeedEffects effects = reduce(state, TimePassed{now});
                while (!effects.empty()) {
                    ++calls;
                    const bool read = std::holds_alternative<ReadRules>(effects[0]);
                    effects = read ? reduce(state, RulesRead{RulesText{"text", 9}, 9}) : reduce(state, RulesWatched{outcome, 0, {}, 9});
                    std::erase_if(effects, [](const auto &effect) { return std::holds_alternative<AdoptRules>(effect); });
                }
            }
            CPPUNIT_ASSERT(calls <= 102);
        }
    }

    /// Guards against a change that waits for the retry delay after a silent connection has used up most of the time for it.
    void watchThatWaitedInVainIsRepeatedAtOnce()
    {
        RulesFeedState state;
        reduce(state, TimePassed{Base::MonoTime(1s)});
        reduce(state, RulesRead{RulesText{"text", 9}, 9});
        reduce(state, TimePassed{Base::MonoTime(2s)});
        reduce(state, TimePassed{Base::MonoTime(2s) + lostCallTime});
        const RulesFeedEffects effects = reduce(state, RulesWatched{});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), effects.size());
        CPPUNIT_ASSERT(std::holds_alternative<WatchRules>(effects[0]));
    }

    /// Guards against calls to the store by each entry for a change that others pass on, and against an entry that makes none when it has to.
    void entryThatFollowsOthersMakesNoCalls()
    {
        FeedHarness entry;
        entry.run(3s);
        entry.feed(RulesRole{true, false});
        entry.run(2s);
        const int calls = entry.calls;
        entry.run(10min);
        CPPUNIT_ASSERT_EQUAL(calls, entry.calls);
        CPPUNIT_ASSERT(!nextDue(entry.state));
        entry.store.change();
        entry.feed(RulesLearned{entry.store.documentRevision(), entry.store.documentRevision()});
        entry.store.change();
        entry.feed(RulesRole{false, false});
        entry.run(100ms);
        CPPUNIT_ASSERT_EQUAL(entry.store.documentRevision(), entry.state.adoptedRevision);
        CPPUNIT_ASSERT_EQUAL(1, entry.store.reads);
    }

    /// Guards against an entry that takes up the watch of another one instead of reading what it has missed, and so loses the history again and again.
    void lostHistoryIsMadeUpForByARead()
    {
        RulesFeedState state;
        reduce(state, TimePassed{Base::MonoTime(1s)});
        reduce(state, RulesRead{RulesText{"text", 9}, 9});
        reduce(state, TimePassed{Base::MonoTime(2s)});
        reduce(state, RulesWatched{RulesWatched::Outcome::HistoryLost, 0, {}, 0});
        reduce(state, RulesLearned{9, 12});
        const RulesFeedEffects effects = reduce(state, TimePassed{Base::MonoTime(3s)});
        CPPUNIT_ASSERT(state.phase == RulesFeedState::Phase::Reading || std::holds_alternative<ReadRules>(effects.at(0)));
    }

private:
    /// Makes a change that watches don't report, drops the history after the given time and ends the watch.
    static void withholdAChange(FeedHarness &feed, Base::Duration time)
    {
        feed.store.withholds = true;
        feed.run(100ms);
        feed.store.change();
        feed.run(time);
        feed.store.dropHistory();
        feed.store.withholds = false;
        feed.cutWatch();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRulesFeed);
