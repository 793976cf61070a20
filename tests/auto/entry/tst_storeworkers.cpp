#include "storemock.h"

#include "base/timerservice.h"
#include "entryruntime/mapworker.h"
#include "entryruntime/settingswatcher.h"
#include "store/storecodec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryTest;
using namespace std::chrono_literals;
using Events::SwapOutcome;
using trompeloeil::_; // NOLINT(bugprone-reserved-identifier): the name that Trompeloeil documents

namespace leaf = boost::leaf;

namespace {

constexpr std::int64_t expectedRevision = 5;

struct SwapCase {
    std::string name;
    std::function<SwapAnswer()> swap;
    std::function<RangeAnswer()> readBack; ///< empty if none may be made
    SwapOutcome outcome;
    std::int64_t writtenRevision;
    std::optional<std::int64_t> readRevision; ///< of the MapRead that follows; 0 for one without a map
};

RangeAnswer found(std::string_view writeId, std::int64_t modRevision)
{
    return Store::RangeResult{{pairOf(mapWith(writeId), modRevision)}, modRevision};
}

RangeAnswer rangeUnavailable()
{
    return leaf::new_error(Store::StoreUnavailable{});
}

SwapAnswer swapUnavailable()
{
    return leaf::new_error(Store::StoreUnavailable{});
}

std::vector<SwapCase> swapCases()
{
    const auto conflict = [](const Store::KeyValue &current) { return [current]() -> SwapAnswer { return leaf::new_error(Store::SwapConflict{current}); }; };
    const Store::KeyValue malformed{std::string(Store::mapKey), "{", 9};
    return {
        {"written", [] { return Store::SwapResult{6}; }, {}, SwapOutcome::Written, 6, {}},
        {"another map stands", conflict(pairOf(mapWith("other"), 8)), {}, SwapOutcome::Conflict, 0, 8},
        {"the key is gone", conflict({std::string(Store::mapKey), "", 0}), {}, SwapOutcome::Conflict, 0, 0},
        {"conflict with the own repeated write", conflict(pairOf(mapWith("mine"), 6)), {}, SwapOutcome::Written, 6, {}},
        {"answer lost after the write", swapUnavailable, [] { return found("mine", 6); }, SwapOutcome::Written, 6, {}},
        {"answer lost, may still take effect", swapUnavailable, [] { return found("old", 5); }, SwapOutcome::Unknown, 0, 5},
        {"answer lost, another map stands", swapUnavailable, [] { return found("other", 7); }, SwapOutcome::Conflict, 0, 7},
        {"answer lost, store down", swapUnavailable, rangeUnavailable, SwapOutcome::Unknown, 0, {}},
        {"answer lost, malformed map",
         swapUnavailable,
         [malformed]() -> RangeAnswer {
             return Store::RangeResult{{malformed}, 9};
         },
         SwapOutcome::Unknown,
         0,
         {}},
        {"refused", []() -> SwapAnswer { return leaf::new_error(Store::StoreRefused{}); }, {}, SwapOutcome::Refused, 0, {}},
        {"over the budget", []() -> SwapAnswer { return leaf::new_error(Store::BudgetExhausted{}); }, {}, SwapOutcome::Refused, 0, {}},
        {"too large", []() -> SwapAnswer { return leaf::new_error(Store::ValueTooLarge{}); }, {}, SwapOutcome::Refused, 0, {}},
    };
}

struct ReadCase {
    std::string name;
    std::function<RangeAnswer()> range;
    bool ok;
    std::int64_t modRevision; ///< 0 for no map
};

std::vector<ReadCase> readCases()
{
    const auto pairs = [](const std::vector<Store::KeyValue> &found) { return [found]() -> RangeAnswer { return Store::RangeResult{found, 9}; }; };
    return {
        {"found", [] { return found("other", 4); }, true, 4},
        {"no map yet", pairs({}), true, 0},
        {"another key with the same beginning", pairs({{std::string(Store::mapKey) + "-old", "x", 4}}), true, 0},
        {"malformed", pairs({{std::string(Store::mapKey), "{", 4}}), false, 0},
        {"store down", rangeUnavailable, false, 0},
    };
}

} // namespace

class TestStoreWorkers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreWorkers);
    CPPUNIT_TEST(swapOutcomes);
    CPPUNIT_TEST(mapReads);
    CPPUNIT_TEST(settingsReadThenWatched);
    CPPUNIT_TEST(settingsReadAgainWhileStoreIsDown);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an owner that acts on a map which was not written, or drops one that was.
    void swapOutcomes()
    {
        for (const SwapCase &testCase : swapCases()) {
            StoreMock store;
            ALLOW_CALL(store, compareAndSwap(Store::mapKey, _, expectedRevision, _)).RETURN(testCase.swap());
            std::vector<std::unique_ptr<trompeloeil::expectation>> readBacks;
            if (testCase.readBack) {
                readBacks.push_back(NAMED_REQUIRE_CALL(store, range(Store::mapKey, _)).RETURN(testCase.readBack()));
            }
            Base::CounterRegistry counters;
            EventLog log;
            Entry::MapWorker worker(store, 1s, counters, [&log](Events::Event event) { log.post(std::move(event)); });
            worker.queue(Events::WriteMap{mapWith("mine"), expectedRevision});
            const auto events = log.waitFor(testCase.readRevision ? 2 : 1);
            worker.stop();

            const auto &written = std::get<Events::MapWritten>(events.at(0));
            CPPUNIT_ASSERT_MESSAGE(testCase.name, written.outcome == testCase.outcome);
            CPPUNIT_ASSERT_MESSAGE(testCase.name, written.map == mapWith("mine"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(testCase.name, testCase.writtenRevision, written.modRevision);
            if (testCase.readRevision) {
                const auto &read = std::get<Events::MapRead>(events.at(1));
                CPPUNIT_ASSERT_MESSAGE(testCase.name, read.ok && read.map.has_value() == (*testCase.readRevision != 0));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(testCase.name, *testCase.readRevision, read.modRevision);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(testCase.name, events.size(), log.size());
        }
    }

    /// Guards against a failed or malformed read that confirms an owner's authority.
    void mapReads()
    {
        for (const ReadCase &testCase : readCases()) {
            StoreMock store;
            REQUIRE_CALL(store, range(Store::mapKey, _)).RETURN(testCase.range());
            Base::CounterRegistry counters;
            EventLog log;
            const Base::MonoTime before = Base::monoNow();
            Entry::MapWorker worker(store, 1s, counters, [&log](Events::Event event) { log.post(std::move(event)); });
            worker.queue(Events::ReadMap{});
            const auto events = log.waitFor(1);
            const auto &read = std::get<Events::MapRead>(events.at(0));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(testCase.name, testCase.ok, read.ok);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(testCase.name, testCase.modRevision != 0, read.map.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(testCase.name, testCase.modRevision, read.modRevision);
            CPPUNIT_ASSERT_MESSAGE(testCase.name, read.sentAt >= before);
        }
    }

    /// Guards against a change lost between the read and the watch, and against one malformed value hiding the others.
    void settingsReadThenWatched()
    {
        StoreMock store;
        const Store::KeyValue malformed{Store::settingsKey("broken"), "{", 3};
        const Store::KeyValue deleted{Store::settingsKey("gone"), "", 0};
        trompeloeil::sequence order;
        REQUIRE_CALL(store, range(Store::settingsPrefix, _)).IN_SEQUENCE(order).RETURN(Store::RangeResult{{malformed, settingsPair("adire", 2, 4)}, 10});
        REQUIRE_CALL(store, watch(Store::settingsPrefix, 10, _)).IN_SEQUENCE(order).RETURN(Store::WatchBatch{{}, 11});
        REQUIRE_CALL(store, watch(Store::settingsPrefix, 11, _)).IN_SEQUENCE(order).RETURN(Store::WatchBatch{{deleted, settingsPair("adire", 3, 12)}, 12});
        REQUIRE_CALL(store, watch(Store::settingsPrefix, 12, _)).IN_SEQUENCE(order).RETURN(WatchAnswer(leaf::new_error(Store::WatchCompacted{20})));
        REQUIRE_CALL(store, range(Store::settingsPrefix, _)).IN_SEQUENCE(order).RETURN(Store::RangeResult{{settingsPair("adire", 5, 22)}, 22});
        REQUIRE_CALL(store, watch(Store::settingsPrefix, 22, _)).IN_SEQUENCE(order).RETURN(Store::WatchBatch{{settingsPair("adire", 6, 23)}, 23});
        ALLOW_CALL(store, watch(Store::settingsPrefix, 23, _)).RETURN(WatchAnswer(leaf::new_error(Store::StoreUnavailable{})));
        ALLOW_CALL(store, range(Store::settingsPrefix, _)).IN_SEQUENCE(order).RETURN(rangeUnavailable());
        Base::CounterRegistry counters;
        EventLog log;
        Entry::SettingsWatcher watcher(
            store, 1s, counters, [&log](Events::Event event) { log.post(std::move(event)); }, 10ms);
        const auto events = log.waitFor(4);
        watcher.stop();
        std::vector<std::uint64_t> revisions;
        for (const Events::Event &event : events) {
            const auto &read = std::get<Events::SettingsRead>(event);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.subtrees.size());
            revisions.push_back(read.subtrees.front().revision);
        }
        CPPUNIT_ASSERT(revisions == (std::vector<std::uint64_t>{2, 3, 5, 6}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counters.counter("store.settings-malformed").value());
    }

    /// Guards against an entry that never learns the settings because the store was down at its start.
    void settingsReadAgainWhileStoreIsDown()
    {
        StoreMock store;
        trompeloeil::sequence order;
        REQUIRE_CALL(store, range(Store::settingsPrefix, _)).TIMES(3).IN_SEQUENCE(order).RETURN(rangeUnavailable());
        REQUIRE_CALL(store, range(Store::settingsPrefix, _)).IN_SEQUENCE(order).RETURN(Store::RangeResult{{settingsPair("", 1, 2)}, 2});
        ALLOW_CALL(store, watch(Store::settingsPrefix, 2, _)).RETURN(Store::WatchBatch{{}, 2});
        Base::CounterRegistry counters;
        EventLog log;
        Entry::SettingsWatcher watcher(
            store, 1s, counters, [&log](Events::Event event) { log.post(std::move(event)); }, 10ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.waitFor(1).size());
        watcher.stop();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, counters.counter("store.settings-read.failed").value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreWorkers);
