#include "fleet.h"
#include "waiting.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <cstdint>
#include <string>

using namespace SystemTest;

namespace {

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    CPPUNIT_ASSERT(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::uint64_t revisionAt(const Fleet &fleet, int entry, bool *accepted = nullptr)
{
    for (const auto &row : fleet.status(entry).value("settings", nlohmann::json::array())) {
        if (row.value("name", std::string()) == "adire") {
            if (accepted != nullptr) {
                *accepted = row.value("accepted", std::string()) == "yes";
            }
            return std::stoull(row.value("revision", std::string("0")));
        }
    }
    return 0;
}

bool waitRevision(const Fleet &fleet, int entry, std::uint64_t revision)
{
    return waitFor(generousSeconds, [&] { return revisionAt(fleet, entry) >= revision; });
}

/// The operators of a race use up their entry's share of store calls, so the read after it may have to wait for the next one.
nlohmann::json readWithinBudget(const Fleet &fleet, int entry)
{
    HttpResult answer;
    const bool answered = waitFor(generousSeconds, [&] {
        answer = call("GET", fleet.http(entry), "/v1/settings/teams/adire");
        const bool exhausted = answer.status == 503 && answer.json().value("title", std::string()) == "store-budget-exhausted";
        CPPUNIT_ASSERT_MESSAGE(answer.body, answer.status == 200 || exhausted);
        return !exhausted;
    });
    CPPUNIT_ASSERT(answered);
    return answer.json();
}

} // namespace

class TestSettings : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSettings);
    CPPUNIT_TEST(changeIsInForceEverywhere);
    CPPUNIT_TEST(operatorsRace);
    CPPUNIT_TEST(lostAnswerIsSettled);
    CPPUNIT_TEST(silentWatchAndOutage);
    CPPUNIT_TEST(olderContentsAreIgnored);
    CPPUNIT_TEST(noRetryAfterKindBecomesUnrepeatable);
    CPPUNIT_TEST(frozenEntryAppliesNoOldRule);
    CPPUNIT_TEST(faultsAreNamed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a change that only the entry which took it applies.
    void changeIsInForceEverywhere()
    {
        Fleet fleet({.entries = 3});
        const std::string withNewKind = std::string(adireSettings) + "  new-law: {idempotent: true}\n";
        CPPUNIT_ASSERT_EQUAL(422L, fleet.submit(1, newId(), job("new-law", 1, 5)).status);
        CPPUNIT_ASSERT_EQUAL(202L, fleet.setSettings(0, "adire", withNewKind, 1).status);
        for (int entry = 0; entry < 3; ++entry) {
            CPPUNIT_ASSERT(waitRevision(fleet, entry, 2));
        }
        // Only now: an entry relays to the owner, and the change may be pending there for some milliseconds.
        for (int entry = 0; entry < 3; ++entry) {
            const HttpResult answer = fleet.submit(entry, newId(), job("new-law", 1, 5));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200L, answer.status);
        }
        bool accepted = false;
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return revisionAt(fleet, 0, &accepted) == 2 && accepted; }));
    }

    /// Guards against a change that silently overwrites another one: each operator reads, adds a kind, writes and
    /// starts over on a conflict.
    void operatorsRace()
    {
        Fleet fleet({});
        constexpr int operators = 10;
        std::vector<std::future<bool>> done;
        done.reserve(operators);
        for (int i = 0; i < operators; ++i) {
            done.push_back(std::async(std::launch::async, [&fleet, i] {
                return waitFor(generousSeconds, [&] {
                    const nlohmann::json stored = call("GET", fleet.http(i % 2), "/v1/settings/teams/adire").json();
                    const std::string yaml = stored.value("yaml", std::string()) + "  kind-" + std::to_string(i) + ": {idempotent: true}\n";
                    return fleet.setSettings(i % 2, "adire", yaml, stored.value("revision", std::uint64_t{0})).status == 202;
                });
            }));
        }
        for (auto &one : done) {
            CPPUNIT_ASSERT(one.get());
        }
        const nlohmann::json stored = readWithinBudget(fleet, 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{operators + 1}, stored.value("revision", std::uint64_t{0}));
        for (int i = 0; i < operators; ++i) {
            CPPUNIT_ASSERT(stored.value("yaml", std::string()).find("kind-" + std::to_string(i) + ":") != std::string::npos);
        }
    }

    /// Guards against reporting a change as refused that has taken effect, and against writing it twice.
    void lostAnswerIsSettled()
    {
        Fleet fleet({});
        fleet.faultStore(R"({"loseAnswers":1})");
        const HttpResult answer = fleet.setSettings(0, "adire", std::string(adireSettings) + "  late: {idempotent: true}\n", 1);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 202L, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, answer.json().value("revision", std::uint64_t{0}));
        CPPUNIT_ASSERT(waitRevision(fleet, 1, 2));
    }

    /// Guards against a watch that is dead without a sign, and against changes that wait for the store to come back
    /// although another entry knows them.
    void silentWatchAndOutage()
    {
        Fleet fleet({});
        fleet.faultStore(R"({"silenceWatches":true})");
        CPPUNIT_ASSERT_EQUAL(202L, fleet.setSettings(0, "adire", std::string(adireSettings) + "  a: {idempotent: true}\n", 1).status);
        fleet.faultStore(R"({"down":true})");
        CPPUNIT_ASSERT(waitRevision(fleet, 1, 2));
        CPPUNIT_ASSERT_EQUAL(200L, fleet.submit(1, newId(), job("a", 1, 5)).status);
        CPPUNIT_ASSERT(fleet.setSettings(0, "adire", std::string(adireSettings), 2).status >= 500);
        fleet.faultStore(R"({"down":false})");
    }

    /// Guards against going back to an old law when the store answers with an older state.
    void olderContentsAreIgnored()
    {
        Fleet fleet({});
        fleet.faultStore(R"({"stale":true})");
        CPPUNIT_ASSERT_EQUAL(202L, fleet.setSettings(0, "adire", std::string(adireSettings) + "  a: {idempotent: true}\n", 1).status);
        CPPUNIT_ASSERT(waitRevision(fleet, 0, 2) && waitRevision(fleet, 1, 2));
        fleet.entry(1).kill();
        fleet.startEntry(1);
        CPPUNIT_ASSERT(waitRevision(fleet, 1, 2));
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, revisionAt(fleet, 0));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, revisionAt(fleet, 1));
        }
    }

    /// Guards against a retry by the old rule: the kind stops being idempotent while its first attempt is lost.
    void noRetryAfterKindBecomesUnrepeatable()
    {
        Fleet fleet({});
        const std::string id = newId();
        auto answer = fleet.submitAsync(0, id, job("fold-plan", 1, 3'000, 15'000));
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return !fleet.startsOf(id).empty(); }));
        const std::string flipped = replaced(std::string(adireSettings), "fold-plan: {idempotent: true", "fold-plan: {idempotent: false");
        CPPUNIT_ASSERT_EQUAL(202L, fleet.setSettings(0, "adire", flipped, 1).status);
        CPPUNIT_ASSERT(waitRevision(fleet, 0, 2) && waitRevision(fleet, 1, 2));
        fleet.agent(fleet.startsOf(id)[0].worker).kill();
        const HttpResult result = answer.get();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, std::string("unknown"), result.json().value("outcome", std::string()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.startsOf(id).size());
    }

    /// Guards against starts under the old rule by an entry that was frozen over the change: the kind is forbidden.
    void frozenEntryAppliesNoOldRule()
    {
        Fleet fleet({.entries = 3});
        const std::string without = replaced(std::string(adireSettings), "  fold-preview: {idempotent: true, expectedMs: 50}\n", "");
        std::vector<std::future<HttpResult>> answers;
        fleet.entry(0).freeze();
        std::vector<std::string> ids;
        for (int i = 0; i < 10; ++i) {
            ids.push_back(newId());
            answers.push_back(fleet.submitAsync(0, ids.back(), job("fold-preview", 1, 5, 30'000)));
        }
        CPPUNIT_ASSERT_EQUAL(202L, fleet.setSettings(1, "adire", without, 1).status);
        CPPUNIT_ASSERT(waitRevision(fleet, 1, 2) && waitRevision(fleet, 2, 2));
        // The frozen entry's authority and tokens run out before the change counts as in force everywhere.
        const auto inForce = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        waitFor(generousSeconds, [&] { return std::chrono::steady_clock::now() > inForce; });
        fleet.entry(0).signal(SIGCONT);
        for (auto &answer : answers) {
            CPPUNIT_ASSERT(answer.get().status != 200);
        }
        for (const std::string &id : ids) {
            CPPUNIT_ASSERT(fleet.startsOf(id).empty());
        }
    }

    /// Guards against a text with faults that is written in part, and against faults told one at a time.
    void faultsAreNamed()
    {
        Fleet fleet({});
        const HttpResult answer = fleet.setSettings(0, "adire", "quota: 7\nkinds:\n  fold-plan: {idempotant: true, limitMs: -1}\n", 1);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 422L, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, answer.json()["faults"].size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, revisionAt(fleet, 0));
        const HttpResult large = fleet.setSettings(0, "adire", std::string(adireSettings) + "#" + std::string(1'040'000, 'x') + "\n", 1);
        CPPUNIT_ASSERT_EQUAL(413L, large.status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSettings);
