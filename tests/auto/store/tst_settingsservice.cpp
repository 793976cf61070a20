#include "store/embeddedstore.h"
#include "store/etcdstore.h"
#include "store/settingsservice.h"
#include "store/storeconstants.h"
#include "storeoutcome.h"
#include "storeprocess.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <functional>
#include <mutex>
#include <thread>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Store;

namespace {

/// The fault of one call.
enum class Fault {
    None,
    LostAfter, ///< Takes effect, but the response is lost
    LostBefore, ///< Fails without effect
    Delayed, ///< Takes effect just before the next write; the response is lost
    Refused,
};

/// An embedded store whose next calls fail as told.
class FaultyStore : public EmbeddedStore
{
public:
    boost::leaf::result<RangeResult> range(std::string_view prefix, Base::Duration deadline) override
    {
        if (nextFault(readFaults) != Fault::None) {
            return boost::leaf::new_error(StoreUnavailable{});
        }
        return EmbeddedStore::range(prefix, deadline);
    }

    boost::leaf::result<SwapResult> compareAndSwap(std::string_view key, std::string_view value, std::int64_t expected, Base::Duration deadline) override
    {
        ++writes;
        if (const auto late = std::exchange(delayed_, nullptr)) {
            late();
        }
        const Fault fault = nextFault(writeFaults);
        if (fault == Fault::Refused) {
            return boost::leaf::new_error(StoreRefused{400, ""});
        }
        if (fault == Fault::Delayed) {
            delayed_ = [this, key = std::string(key), value = std::string(value), expected] {
                static_cast<void>(EmbeddedStore::compareAndSwap(key, value, expected, 1s));
            };
        }
        if (fault == Fault::Delayed || fault == Fault::LostBefore) {
            return lost();
        }
        auto swapped = EmbeddedStore::compareAndSwap(key, value, expected, deadline);
        return fault == Fault::LostAfter ? lost() : std::move(swapped);
    }

    std::deque<Fault> readFaults;
    std::deque<Fault> writeFaults;
    std::function<void()> onLost; ///< Runs once, at the first lost write or response
    int writes = 0;

private:
    static Fault nextFault(std::deque<Fault> &faults)
    {
        if (faults.empty()) {
            return Fault::None;
        }
        const Fault fault = faults.front();
        faults.pop_front();
        return fault;
    }

    boost::leaf::result<SwapResult> lost()
    {
        if (const auto run = std::exchange(onLost, nullptr)) {
            run();
        }
        return boost::leaf::new_error(StoreUnavailable{});
    }

    std::function<void()> delayed_;
};

constexpr std::string_view first = "quota: 0.5";
constexpr std::string_view second = "quota: 0.6";

/// Returns "ok REVISION" or the name of the error's type.
template<class Call>
std::string revisionOrError(Call call)
{
    StoredSettings settings;
    const std::string outcome = callOutcome(call, &settings);
    return outcome == "ok" ? "ok " + std::to_string(settings.subtree.revision) : outcome;
}

} // namespace

class TestSettingsService : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSettingsService);
    CPPUNIT_TEST(lostAnswers);
    CPPUNIT_TEST(outcomeUnknown);
    CPPUNIT_TEST(refusedChanges);
    CPPUNIT_TEST(repeatedChange);
    CPPUNIT_TEST(rollback);
    CPPUNIT_TEST(teamNamesWithCommonPrefix);
    CPPUNIT_TEST(raceEmbedded);
    CPPUNIT_TEST(raceEtcd);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a change that is reported wrongly, made twice or lost when the response to its write is lost.
    void lostAnswers()
    {
        using enum Fault;
        const struct {
            std::string name;
            std::deque<Fault> reads;
            std::deque<Fault> writes;
            bool otherOperator; ///< Another operator changes the subtree after the first lost response
            std::string outcome;
            std::uint64_t revision; ///< Revision in the store afterwards
            int sent; ///< Writes sent
        } cases[] = {
            {"no fault", {}, {}, false, "ok 2", 2, 1},
            {"lost after effect", {}, {LostAfter}, false, "ok 2", 2, 1},
            {"lost before effect", {}, {LostBefore}, false, "ok 2", 2, 2},
            {"lost several times", {}, {LostBefore, LostBefore, LostAfter}, false, "ok 2", 2, 3},
            {"reads fail too", {None, LostBefore, LostBefore}, {LostAfter}, false, "ok 2", 2, 1},
            {"arrives after the second was sent", {}, {Delayed}, false, "ok 2", 2, 2},
            {"refused when sent again", {}, {LostBefore, Refused}, false, "ok 2", 2, 3},
            {"overwritten after effect", {}, {LostAfter}, true, "ok 2", 3, 2},
            {"another change instead", {}, {LostBefore}, true, "SettingsConflict", 2, 2},
            {"refused", {}, {Refused}, false, "StoreRefused", 1, 1},
            {"not sent", {LostBefore}, {}, false, "StoreUnavailable", 1, 0},
        };
        for (const auto &row : cases) {
            FaultyStore store;
            SettingsService service(store);
            CPPUNIT_ASSERT(service.set("adire", first, 0, "c1", "op"));
            store.writes = 0;
            store.readFaults = row.reads;
            store.writeFaults = row.writes;
            if (row.otherOperator) {
                store.onLost = [&] {
                    const std::uint64_t present = service.get("adire").value()->subtree.revision;
                    CPPUNIT_ASSERT(service.set("adire", "weight: 2", present, "other", "op2"));
                };
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.outcome, revisionOrError([&] { return service.set("adire", second, 1, "c2", "op"); }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.sent, store.writes);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.revision, service.get("adire").value()->subtree.revision);
        }
    }

    /// Guards against a failure that is reported although the change may have taken effect, and against calls that delay a
    /// shutdown by their retries.
    void outcomeUnknown()
    {
        FaultyStore store;
        SettingsService service(store);
        store.writeFaults = {Fault::LostAfter};
        store.readFaults = {Fault::None, Fault::LostBefore};
        service.stop();
        CPPUNIT_ASSERT_EQUAL(std::string("ChangeOutcomeUnknown"), revisionOrError([&] { return service.set("adire", first, 0, "c1", "op"); }));
        CPPUNIT_ASSERT_EQUAL(std::string("ok 1"), revisionOrError([&] { return service.set("adire", first, 0, "c1", "op"); }));
        CPPUNIT_ASSERT_EQUAL(1, store.writes);
    }

    /// Guards against settings in the store that are faulty, too large or written over a revision that the operator has not seen.
    void refusedChanges()
    {
        FaultyStore store;
        SettingsService service(store);
        const std::string large = "# " + std::string(maxValueBytes, 'x');
        const std::string escapedLarge = "#" + std::string(maxValueBytes / 2, '\n');
        const struct {
            std::string team;
            std::string yaml;
            std::uint64_t expected;
            std::string outcome;
        } cases[] = {
            {"adire", "quota: 2", 0, "SettingsFaults"},
            {"a/b", "quota: 1", 0, "SettingsFaults"},
            {"adire", large, 0, "ValueTooLarge"},
            {"adire", escapedLarge, 0, "ValueTooLarge"},
            {"adire", "quota: 1", 1, "SettingsConflict"},
            {"adire", "quota: 1", 0, "ok 1"},
            {"adire", "quota: 0.5", 0, "SettingsConflict"},
            {"adire", "quota: 0.5", 2, "SettingsConflict"},
            {"adire", "quota: 0.5", 1, "ok 2"},
        };
        for (const auto &row : cases) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                row.yaml.substr(0, 40), row.outcome, revisionOrError([&] { return service.set(row.team, row.yaml, row.expected, "", "op"); }));
        }
        CPPUNIT_ASSERT(store.EmbeddedStore::compareAndSwap(settingsKey("broken"), "{}", 0, 1s));
        CPPUNIT_ASSERT_EQUAL(std::string("MalformedValue"), revisionOrError([&] { return service.set("broken", "quota: 1", 0, "", "op"); }));
    }

    /// Guards against a repeated call that overwrites a newer change, and against one change id used for two changes.
    void repeatedChange()
    {
        EmbeddedStore store;
        SettingsService service(store);
        CPPUNIT_ASSERT(service.set("adire", first, 0, "c1", "op"));
        CPPUNIT_ASSERT(service.set("adire", second, 1, "c2", "op"));
        CPPUNIT_ASSERT_EQUAL(std::string("ok 1"), revisionOrError([&] { return service.set("adire", first, 0, "c1", "op"); }));
        CPPUNIT_ASSERT_EQUAL(std::string("ok 1"), revisionOrError([&] { return service.set("adire", first, 2, "c1", "op"); }));
        CPPUNIT_ASSERT_EQUAL(std::string("SettingsConflict"), revisionOrError([&] { return service.set("adire", second, 0, "c1", "op"); }));
        CPPUNIT_ASSERT_EQUAL(std::string(second), service.get("adire").value()->subtree.yaml);
    }

    /// Guards against a rollback that lowers the revision, and a history that grows or loses the newest revisions.
    void rollback()
    {
        EmbeddedStore store;
        SettingsService service(store);
        for (std::uint64_t revision = 0; revision < 15; ++revision) {
            const std::string yaml = "deadlineMs: " + std::to_string(revision + 1);
            CPPUNIT_ASSERT_EQUAL("ok " + std::to_string(revision + 1), revisionOrError([&] { return service.set("adire", yaml, revision, "", "op"); }));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("NoSuchRevision"), revisionOrError([&] { return service.rollback("adire", 4, 15, "", "op"); }));
        CPPUNIT_ASSERT_EQUAL(std::string("NoSuchRevision"), revisionOrError([&] { return service.rollback("kitami", 1, 0, "", "op"); }));
        CPPUNIT_ASSERT_EQUAL(std::string("SettingsConflict"), revisionOrError([&] { return service.rollback("adire", 5, 14, "", "op"); }));
        CPPUNIT_ASSERT_EQUAL(std::string("ok 16"), revisionOrError([&] { return service.rollback("adire", 5, 15, "back", "op"); }));
        CPPUNIT_ASSERT_EQUAL(std::string("ok 16"), revisionOrError([&] { return service.rollback("adire", 5, 15, "back", "op"); }));
        const StoredSettings now = service.get("adire").value().value();
        CPPUNIT_ASSERT_EQUAL(std::string("deadlineMs: 5"), now.subtree.yaml);
        CPPUNIT_ASSERT_EQUAL(maxHistory, now.history.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(15), now.history.front().revision);
    }

    /// Guards against reading the settings of another team whose name starts with this team's name.
    void teamNamesWithCommonPrefix()
    {
        EmbeddedStore store;
        SettingsService service(store);
        CPPUNIT_ASSERT(service.set("adire-2", first, 0, "", "op"));
        CPPUNIT_ASSERT(!service.get("adire").value());
        CPPUNIT_ASSERT(service.set("adire", second, 0, "", "op"));
        CPPUNIT_ASSERT(service.set("", "weight: 1", 0, "", "op"));
        CPPUNIT_ASSERT_EQUAL(std::string(first), service.get("adire-2").value()->subtree.yaml);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), service.list().value().size());
    }

    /// Guards against changes of concurrent operators that overwrite each other or are reported with a wrong revision.
    void raceEmbedded()
    {
        EmbeddedStore store;
        race(0, [&](const auto &operate) { operate(store); });
    }

    /// Guards against the same over HTTP with lost responses.
    void raceEtcd()
    {
        StoreProcess process;
        Base::CounterRegistry counters;
        process.control(R"({"loseAnswers":6})");
        race(6, [&](const auto &operate) {
            EtcdStore store(process.settings(), counters);
            operate(store);
        });
    }

private:
    static constexpr int operators = 10;
    static constexpr int changesEach = 4;

    /// Results that the operators received.
    struct Reports {
        std::map<std::uint64_t, StoredSettings> made; ///< By revision
        int successes = 0;
        int outcomeUnknown = 0;
        int failures = 0;
    };

    /// The outcome of a change may be unknown only if a response was lost and more than maxHistory revisions followed.
    static void race(int lostAnswers, const std::function<void(const std::function<void(PlatformStore &)> &)> &withStore)
    {
        std::mutex mutex;
        Reports reports;
        std::vector<std::thread> threads;
        threads.reserve(operators);
        for (int i = 0; i < operators; ++i) {
            threads.emplace_back([&, i] {
                withStore([&](PlatformStore &store) {
                    for (int change = 0; change < changesEach; ++change) {
                        StoredSettings result;
                        const std::string outcome = changeUntilMade(store, std::to_string(i) + "-" + std::to_string(change), result);
                        const std::lock_guard lock(mutex);
                        reports.successes += outcome == "ok" ? 1 : 0;
                        reports.outcomeUnknown += outcome == "ChangeOutcomeUnknown" ? 1 : 0;
                        reports.failures += outcome != "ok" && outcome != "ChangeOutcomeUnknown" ? 1 : 0;
                        if (outcome == "ok") {
                            reports.made[result.subtree.revision] = result;
                        }
                    }
                });
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(0, reports.failures);
        CPPUNIT_ASSERT(reports.outcomeUnknown <= lostAnswers);
        checkOneOrder(reports);
    }

    static std::string changeUntilMade(PlatformStore &store, const std::string &id, StoredSettings &result)
    {
        SettingsService service(store);
        std::string outcome;
        do {
            std::optional<StoredSettings> present;
            outcome = callOutcome([&] { return service.get("adire"); }, &present);
            if (outcome != "ok") {
                return outcome;
            }
            const std::uint64_t expected = present ? present->subtree.revision : 0;
            outcome = callOutcome([&] { return service.set("adire", "# " + id, expected, id, "op"); }, &result);
        } while (outcome == "SettingsConflict");
        return outcome;
    }

    /// Checks that each successful change has its own revision and follows the one before. Only changes of unknown outcome
    /// leave gaps.
    static void checkOneOrder(const Reports &reports)
    {
        CPPUNIT_ASSERT_EQUAL(operators * changesEach, reports.successes + reports.outcomeUnknown);
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(reports.successes), reports.made.size());
        CPPUNIT_ASSERT(reports.made.rbegin()->first <= static_cast<std::uint64_t>(operators * changesEach));
        for (const auto &[revision, change] : reports.made) {
            const auto before = reports.made.find(revision - 1);
            if (before != reports.made.end()) {
                CPPUNIT_ASSERT_EQUAL(before->second.subtree.changeId, change.history.at(0).changeId);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSettingsService);
