#include "base/timerservice.h"
#include "store/embeddedstore.h"
#include "store/etcdstore.h"
#include "store/storeconstants.h"
#include "store/storefactory.h"
#include "storeoutcome.h"
#include "storeprocess.h"

#include "../resettingserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <thread>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Store;

namespace {

constexpr Base::Duration generous = 30s;

} // namespace

/// Tests that each implementation of PlatformStore must pass.
class StoreContract : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreContract);
    CPPUNIT_TEST(swapsOnlyTheExpectedRevision);
    CPPUNIT_TEST(rangesByPrefix);
    CPPUNIT_TEST(limitsValues);
    CPPUNIT_TEST(watchesInOrder);
    CPPUNIT_TEST(watchWakesUp);
    CPPUNIT_TEST(losesNoSwapInARace);
    CPPUNIT_TEST_SUITE_END_ABSTRACT();

public:
    /// Guards against a write that overwrites a value which the writer has not read.
    void swapsOnlyTheExpectedRevision()
    {
        const std::int64_t first = put("/a", "1", 0);
        const struct {
            std::string key;
            std::int64_t expected;
            KeyValue current;
        } cases[] = {{"/a", 0, {"/a", "1", first}}, {"/a", first + 1, {"/a", "1", first}}, {"/b", first, {"/b", "", 0}}};
        for (const auto &row : cases) {
            SwapResult swapped;
            KeyValue current;
            const auto call = [&] { return store().compareAndSwap(row.key, "2", row.expected, generous); };
            CPPUNIT_ASSERT_EQUAL(std::string("SwapConflict"), callOutcome(call, &swapped, &current));
            CPPUNIT_ASSERT(row.current == current);
        }
        CPPUNIT_ASSERT(put("/a", "2", first) > first);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), all("/a").at(0).value);
    }

    /// Guards against pairs outside the prefix, and against bytes that encoding changes.
    void rangesByPrefix()
    {
        const std::string odd("/p/\xff\0\x01", 6);
        const std::string bytes("\0\xfe\xff", 3);
        const std::int64_t revision = put(odd, bytes, 0);
        put("/p/a", "", 0);
        put("/q", "x", 0);
        put("/o", "x", 0);
        const auto pairs = all("/p/");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pairs.size());
        CPPUNIT_ASSERT_EQUAL(std::string("/p/a"), pairs[0].key);
        CPPUNIT_ASSERT_EQUAL(std::string(), pairs[0].value);
        CPPUNIT_ASSERT((pairs[1] == KeyValue{odd, bytes, revision}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), all("").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), all(std::string_view("/p/\xff", 4)).size());
        CPPUNIT_ASSERT(all("/none").empty());
    }

    /// Guards against values that the platform's store would reject or truncate.
    void limitsValues()
    {
        const std::string largest(maxValueBytes, 'v');
        CPPUNIT_ASSERT_EQUAL(std::string("ValueTooLarge"), callOutcome([&] { return store().compareAndSwap("/v", largest + "v", 0, generous); }));
        CPPUNIT_ASSERT(all("/v").empty());
        put("/v", largest, 0);
        CPPUNIT_ASSERT(all("/v").at(0).value == largest);
    }

    /// Guards against changes that a watch misses between two calls, repeats or reorders.
    void watchesInOrder()
    {
        const std::int64_t start = put("/w/a", "1", 0);
        const std::int64_t second = put("/w/b", "2", 0);
        const std::int64_t third = put("/w/a", "3", start);
        put("/x", "4", 0);
        std::vector<KeyValue> seen;
        for (std::int64_t after = start; after < third;) {
            const auto batch = store().watch("/w/", after, generous);
            CPPUNIT_ASSERT(batch && !batch->changed.empty());
            seen.insert(seen.end(), batch->changed.begin(), batch->changed.end());
            CPPUNIT_ASSERT_EQUAL(seen.back().modRevision, batch->storeRevision);
            after = batch->storeRevision;
        }
        CPPUNIT_ASSERT((seen == std::vector<KeyValue>{{"/w/b", "2", second}, {"/w/a", "3", third}}));
        const auto none = store().watch("/w/", third, 50ms);
        CPPUNIT_ASSERT(none && none->changed.empty());
        CPPUNIT_ASSERT_EQUAL(third, none->storeRevision);
    }

    /// Guards against a watch that reports a change only at its deadline.
    void watchWakesUp()
    {
        const std::int64_t start = put("/w", "1", 0);
        const Base::MonoTime begun = Base::monoNow();
        auto waiting = std::async(std::launch::async, [&] {
            WatchBatch batch;
            callOutcome([&] { return store().watch("/w", start, generous); }, &batch);
            return batch;
        });
        put("/w", "2", start);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), waiting.get().changed.at(0).value);
        CPPUNIT_ASSERT(Base::monoNow() - begun < generous);
    }

    /// Guards against two concurrent writers that both succeed on the same revision.
    void losesNoSwapInARace()
    {
        constexpr int writers = 8;
        constexpr int writesEach = 10;
        const std::int64_t first = put("/n", "0", 0);
        std::atomic<int> failures = 0;
        std::vector<std::thread> threads;
        threads.reserve(writers);
        for (int i = 0; i < writers; ++i) {
            threads.emplace_back([&] {
                KeyValue current{"/n", "0", first};
                for (int done = 0; done < writesEach;) {
                    SwapResult swapped;
                    const std::string next = std::to_string(std::stoi(current.value) + 1);
                    const auto call = [&] { return store().compareAndSwap("/n", next, current.modRevision, generous); };
                    const std::string outcome = callOutcome(call, &swapped, &current);
                    if (outcome == "ok") {
                        current = {"/n", next, swapped.modRevision};
                        ++done;
                    } else if (outcome != "SwapConflict") {
                        ++failures;
                        return;
                    }
                }
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(0, failures.load());
        CPPUNIT_ASSERT_EQUAL(std::to_string(writers * writesEach), all("/n").at(0).value);
    }

protected:
    virtual PlatformStore &store() = 0;

    std::int64_t put(std::string_view key, std::string_view value, std::int64_t expected)
    {
        const auto swapped = store().compareAndSwap(key, value, expected, generous);
        CPPUNIT_ASSERT_MESSAGE(std::string(key), swapped);
        return swapped->modRevision;
    }

    std::vector<KeyValue> all(std::string_view prefix)
    {
        const auto found = store().range(prefix, generous);
        CPPUNIT_ASSERT(found);
        return found->pairs;
    }
};

class TestEmbeddedStore : public StoreContract
{
    CPPUNIT_TEST_SUB_SUITE(TestEmbeddedStore, StoreContract);
    CPPUNIT_TEST(startsWithTheTeams);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an entry with an embedded store that starts without the teams of its settings file.
    void startsWithTheTeams()
    {
        Base::CounterRegistry counters;
        const auto made = makeStore(Settings::EmbeddedStoreSettings{"weight: 2", {{"adire", "quota: 0.5"}}}, counters);
        SettingsService service(*made);
        const auto listed = service.list();
        CPPUNIT_ASSERT(listed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), listed->size());
        CPPUNIT_ASSERT((listed->at(1).subtree == Protocol::SettingsSubtree{"adire", 1, "initial", "quota: 0.5"}));
    }

private:
    PlatformStore &store() override
    {
        return store_;
    }

    EmbeddedStore store_;
};

class TestEtcdStore : public StoreContract
{
    CPPUNIT_TEST_SUB_SUITE(TestEtcdStore, StoreContract);
    CPPUNIT_TEST(faults);
    CPPUNIT_TEST(answerLostAfterEffect);
    CPPUNIT_TEST(readsAreSentAgain);
    CPPUNIT_TEST(writesUseNoIdleConnection);
    CPPUNIT_TEST(refusesStaleAnswers);
    CPPUNIT_TEST(silentWatch);
    CPPUNIT_TEST(watchEndsWithTheStore);
    CPPUNIT_TEST(refusedCalls);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an outage or a timeout that is reported as a result, and against a watch that skips changes after a
    /// compaction.
    void faults()
    {
        const std::int64_t start = put("/f", "1", 0);
        const std::int64_t second = put("/f", "2", start);
        put("/f", "3", second);
        const std::string range = "range";
        const std::string swap = "swap";
        const struct {
            std::string control;
            std::string call;
            std::string outcome;
        } cases[] = {
            {R"({"down":true})", range, "StoreUnavailable"},
            {R"({"down":true})", swap, "StoreUnavailable"},
            {R"({"down":true})", "watch", "StoreUnavailable"},
            {R"({"down":false,"delayMs":60000})", range, "StoreUnavailable"},
            {R"({"delayMs":60000})", swap, "StoreUnavailable"},
            {R"({"delayMs":60000})", "watch", "StoreUnavailable"},
            {R"({"delayMs":0})", range, "ok"},
            {R"({"compact":true})", "watch", "WatchCompacted"},
            {"{}", swap, "SwapConflict"},
        };
        for (const auto &row : cases) {
            process_.control(row.control);
            const Base::Duration deadline = row.control.find("60000") == std::string::npos ? generous : Base::Duration(100ms);
            const std::string outcome = row.call == range  ? callOutcome([&] { return store_.range("/f", deadline); })
                                        : row.call == swap ? callOutcome([&] { return store_.compareAndSwap("/f", "4", start, deadline); })
                                                           : callOutcome([&] { return store_.watch("/f", start, deadline); });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.control + " " + row.call, row.outcome, outcome);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("3"), all("/f").at(0).value);
    }

    /// Guards against a write that libcurl resends on a reused connection after the response was lost: the second one
    /// reported a conflict with the first.
    void answerLostAfterEffect()
    {
        const std::int64_t start = put("/l", "1", 0);
        for (int call = 0; call < 8; ++call) {
            all("/l");
        }
        const std::int64_t sent = process_.stat("txn");
        process_.control(R"({"loseAnswers":1})");
        CPPUNIT_ASSERT_EQUAL(std::string("StoreUnavailable"), callOutcome([&] { return store_.compareAndSwap("/l", "2", start, generous); }));
        CPPUNIT_ASSERT_EQUAL(sent + 1, process_.stat("txn"));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), all("/l").at(0).value);
    }

    /// Guards against reads that fail whenever the store resets an idle connection, and against second sendings that nobody counts.
    void readsAreSentAgain()
    {
        const Testing::AnswerCalls found{200, R"({"header":{"revision":"7"}})"};
        const struct {
            std::string name;
            std::function<std::string(EtcdStore &)> call;
            std::string outcome;
        } cases[] = {
            {"range", [](EtcdStore &store) { return callOutcome([&] { return store.range("/r", generous); }); }, "ok"},
            // The answer is none to a watch.
            {"watch", [](EtcdStore &store) { return callOutcome([&] { return store.watch("/r", 1, generous); }); }, "StoreUnavailable"},
        };
        for (const auto &row : cases) {
            const Testing::ResettingServer server(found);
            Base::CounterRegistry counters;
            EtcdStore store(settingsOf(server), counters);
            callOutcome([&] { return store.range("/r", generous); });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.outcome, row.call(store));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t{3}, server.calls().size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::uint64_t{1}, counters.snapshot().at("store.second-sending.sent"));
        }
    }

    /// Guards against a write on an idle connection: if the store closes it at that time, the write's outcome is unknown.
    void writesUseNoIdleConnection()
    {
        const Testing::ResettingServer server(Testing::AnswerCalls{});
        Base::CounterRegistry counters;
        EtcdStore store(settingsOf(server), counters);
        callOutcome([&] { return store.range("/r", generous); });
        // The server accepts no other connection while the first one is open, and would reset that one.
        const std::string detail = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string> {
                auto swapped = store.compareAndSwap("/r", "1", 0, 1s);
                return swapped ? boost::leaf::result<std::string>("written") : swapped.error();
            },
            [](const StoreUnavailable &error) { return error.detail; },
            [] { return std::string("an error of another type"); });
        CPPUNIT_ASSERT_EQUAL(std::string("Timeout was reached"), detail);
    }

    /// Guards against an entry that confirms its authority with an older state of the partition map.
    void refusesStaleAnswers()
    {
        const std::int64_t start = put("/s", "1", 0);
        process_.control(R"({"stale":true})");
        CPPUNIT_ASSERT_EQUAL(std::string("1"), all("/s").at(0).value);
        put("/s", "2", start);
        CPPUNIT_ASSERT_EQUAL(std::string("StoreUnavailable"), callOutcome([&] { return store_.range("/s", generous); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counters_.snapshot().at("store.stale"));
        process_.control(R"({"stale":false})");
        CPPUNIT_ASSERT_EQUAL(std::string("2"), all("/s").at(0).value);
    }

    /// Guards against changes that are lost when the connection of an open watch goes silent.
    void silentWatch()
    {
        const std::int64_t start = put("/q", "1", 0);
        auto waiting = std::async(std::launch::async, [&] {
            WatchBatch batch;
            return callOutcome([&] { return store_.watch("/q", start, 3s); }, &batch) + " " + std::to_string(batch.changed.size());
        });
        CPPUNIT_ASSERT(process_.waitForStat("openWatches", 1));
        process_.control(R"({"silenceWatches":true})");
        put("/q", "2", start);
        CPPUNIT_ASSERT_EQUAL(std::string("ok 0"), waiting.get());
        const auto batch = store_.watch("/q", start, generous);
        CPPUNIT_ASSERT(batch);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), batch->changed.at(0).value);
    }

    /// Guards against a broken watch that is reported as one without changes, and against watches that stay open at the store.
    void watchEndsWithTheStore()
    {
        auto waiting = std::async(std::launch::async, [&] { return callOutcome([&] { return store_.watch("/e", 1, generous); }); });
        CPPUNIT_ASSERT(process_.waitForStat("openWatches", 1));
        process_.control(R"({"down":true})");
        CPPUNIT_ASSERT_EQUAL(std::string("StoreUnavailable"), waiting.get());
        process_.control(R"({"down":false})");
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), callOutcome([&] { return store_.watch("/e", 1, 50ms); }));
        CPPUNIT_ASSERT(process_.waitForStat("openWatches", 0));
    }

    /// Guards against a rejected call that is reported as an outage, which would make the caller verify its write.
    void refusedCalls()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("StoreRefused"), callOutcome([&] { return store_.compareAndSwap("", "1", 0, generous); }));
    }

private:
    PlatformStore &store() override
    {
        return store_;
    }

    Settings::EtcdStoreSettings settingsOf(const Testing::ResettingServer &server) const
    {
        Settings::EtcdStoreSettings settings = process_.settings();
        settings.endpoint.port = server.port();
        return settings;
    }

    StoreProcess process_;
    Base::CounterRegistry counters_;
    EtcdStore store_{process_.settings(), counters_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEmbeddedStore);
CPPUNIT_TEST_SUITE_REGISTRATION(TestEtcdStore);
