#include "settings/teamsettings.h"
#include "settingscases.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Settings;

namespace {

using Subtrees = std::map<std::string, Protocol::SettingsSubtree, std::less<>>;

void put(Subtrees &subtrees, const std::string &team, std::uint64_t revision, const std::string &yaml)
{
    subtrees.insert_or_assign(team, Protocol::SettingsSubtree{team, revision, "c", yaml});
}

std::string formatExplanations(const Subtrees &subtrees, std::string_view path)
{
    std::string text;
    for (const Explanation &item : explain(subtrees, "adire", path)) {
        text += (text.empty() ? "" : "; ") + item.path + "=" + item.value + " " + item.level;
    }
    return text;
}

} // namespace

class TestTeamSettings : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTeamSettings);
    CPPUNIT_TEST(faults);
    CPPUNIT_TEST(inheritance);
    CPPUNIT_TEST(explanation);
    CPPUNIT_TEST(contradictingLevels);
    CPPUNIT_TEST(rejectedSubtrees);
    CPPUNIT_TEST(fortyEightTeams);
    CPPUNIT_TEST(examples);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against values out of range or of a wrong type that are accepted, and against wrong positions of faults.
    void faults()
    {
        std::string manyKinds = "kinds:\n";
        for (int i = 0; i < 257; ++i) {
            manyKinds += "  k" + std::to_string(i) + ": {}\n";
        }
        const FaultCase cases[] = {
            {"", "", ""},
            {"kinds:\n  a:\n  b: ~\n", "", ""},
            {"quota: 1\nweight: 1e3\nretryBudget: 0\nhedgeBudget: 1.0", "", ""},
            {"quota: 0\nweight: 0\nretryBudget: -0.1\nhedgeBudget: 1.01", "1:8 quota; 2:9 weight; 3:14 retryBudget; 4:14 hedgeBudget", "0.0001 to 1"},
            {"quota: .nan\nweight: .inf\nretryBudget: nan\nhedgeBudget: 0.1x", "1:8 quota; 2:9 weight; 3:14 retryBudget; 4:14 hedgeBudget", ""},
            {"quota: [1]\nweight: {}\ndeadlineMs:", "1:8 quota; 2:9 weight; 3:1 deadlineMs", ""},
            {"deadlineMs: 120001\nmaxDeadlineMs: 0", "1:13 deadlineMs; 2:16 maxDeadlineMs", "1 to 120000"},
            {"deadlineMs: 4294967297", "1:13 deadlineMs", ""},
            {"deadlineMs: 2000\nmaxDeadlineMs: 1000", "1:13 deadlineMs", "1 to 1000"},
            {"guards: 3", "1:9 guards", "a map"},
            {"guards:\n  maxTasksPerJob: 581\n  maxPayloadBytes: 1048577\n  maxJobs: 1",
             "2:19 guards.maxTasksPerJob; 3:20 guards.maxPayloadBytes; 4:3 guards.maxJobs",
             "1 to 580"},
            {"kinds: [a]", "1:8 kinds", "a map"},
            {"kinds:\n  Fold: {}\n  a b: {}\n  -c: {}", "2:3 kinds.Fold; 3:3 kinds.a b; 4:3 kinds.-c", ""},
            {"kinds:\n  a: {}\n  a: {}", "3:3 kinds.a", ""},
            {"kinds:\n  a: {idempotent: yes, orderingKey: 1, urgent: \"true\"}",
             "2:19 kinds.a.idempotent; 2:37 kinds.a.orderingKey; 2:48 kinds.a.urgent",
             "true or false"},
            {"kinds:\n  a:\n    expectedMs: 300\n    limitMs: 200", "3:17 kinds.a.expectedMs", "1 to 200"},
            {"kinds:\n  a: {resources: {cores: -1, memoryMb: 1.5, gpus: 1}}",
             "2:26 kinds.a.resources.cores; 2:40 kinds.a.resources.memoryMb; 2:45 kinds.a.resources.gpus",
             "0 to 1024"},
            {"kinds: {a: {ordered: true}}", "1:13 kinds.a.ordered", "idempotent, orderingKey, urgent, expectedMs, limitMs, resources"},
            {"kindDefaults: {}", "1:1 kindDefaults", ""},
            {manyKinds, "2:3 kinds", "at most 256"},
        };
        for (const FaultCase &expected : cases) {
            checkCase(expected, [](const std::string &yaml) { return checkSubtree("adire", yaml); });
        }
        checkCase({"kinds: {}\nkindDefaults: {limitMs: 0}", "1:1 kinds; 2:25 kindDefaults.limitMs", ""},
                  [](const std::string &yaml) { return checkSubtree("", yaml); });
        checkCase({"quota: 1", "0:0 ", ""}, [](const std::string &yaml) { return checkSubtree("a/b", yaml); });
    }

    /// Guards against values that are inherited from the wrong level.
    void inheritance()
    {
        Subtrees subtrees;
        put(subtrees, "", 4, "weight: 3\nquota: 0.5\nguards: {maxTasksPerJob: 100}\nkindDefaults: {limitMs: 9000, idempotent: true, resources: {cores: 2}}");
        put(subtrees, "adire", 7, "quota: 0.25\nguards: {maxQueuedTasks: 50}\nkinds:\n  a: {idempotent: false, resources: {memoryMb: 64}}\n  b:");
        put(subtrees, "kitami", 1, "");
        const RuleSet rules = buildRules(subtrees);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), rules.rootRevision);
        TeamRules adire;
        adire.team = "adire";
        adire.revision = 7;
        adire.rootRevision = 4;
        adire.quota = 0.25;
        adire.weight = 3;
        adire.guards = {100, 65'536, 50};
        adire.kinds["a"] = {false, false, false, 200, 9000, {2, 64, 0}};
        adire.kinds["b"] = {true, false, false, 200, 9000, {2, 0, 0}};
        CPPUNIT_ASSERT(adire == rules.teams.at("adire"));
        CPPUNIT_ASSERT_EQUAL(0.5, rules.teams.at("kitami").quota);
        CPPUNIT_ASSERT(rules.teams.at("kitami").kinds.empty());
    }

    /// Guards against explanations that name another level than the one that set the value.
    void explanation()
    {
        Subtrees subtrees;
        put(subtrees, "", 1, "weight: 3\nquota: 0.5\nkindDefaults: {limitMs: 9000}");
        put(subtrees, "adire", 1, "quota: 0.5\nkinds: {a: {urgent: true, resources: {cores: 1.5}}, ab: {}}");
        const std::pair<std::string_view, std::string> cases[] = {
            {"quota", "quota=0.5 team"},
            {"weight", "weight=3 root"},
            {"deadlineMs", "deadlineMs=10000 default"},
            {"kinds.a.resources.cores", "kinds.a.resources.cores=1.5 team"},
            {"kinds.ab.limitMs", "kinds.ab.limitMs=9000 root"},
            {"guards", "guards.maxTasksPerJob=580 default; guards.maxPayloadBytes=65536 default; guards.maxQueuedTasks=20000 default"},
            {"kinds.a.resources", "kinds.a.resources.cores=1.5 team; kinds.a.resources.memoryMb=0 default; kinds.a.resources.accelerators=0 default"},
            {"kinds.c", ""},
        };
        for (const auto &[path, expected] : cases) {
            CPPUNIT_ASSERT_EQUAL(expected, formatExplanations(subtrees, path));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(6 + 3 + 2 * 8), explain(subtrees, "adire", "").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), explain(subtrees, "adire", "kinds.a").size());
        CPPUNIT_ASSERT(explain(subtrees, "kitami", "").empty());
    }

    /// Guards against a deadline or expected run time above the limit that another level sets.
    void contradictingLevels()
    {
        Subtrees subtrees;
        put(subtrees, "", 1, "maxDeadlineMs: 4000\nkindDefaults: {limitMs: 1000}");
        put(subtrees, "adire", 1, "deadlineMs: 8000\nkinds: {a: {expectedMs: 5000}}");
        const RuleSet rules = buildRules(subtrees);
        CPPUNIT_ASSERT_EQUAL(4000U, rules.teams.at("adire").deadlineMs);
        CPPUNIT_ASSERT_EQUAL(1000U, rules.teams.at("adire").kinds.at("a").expectedMs);
    }

    /// Guards against faulty settings of one team that affect other teams or are not reported.
    void rejectedSubtrees()
    {
        Subtrees subtrees;
        put(subtrees, "", 3, "quota: 9");
        put(subtrees, "adire", 1, "quota: 0.5");
        put(subtrees, "kitami", 1, "quota: [");
        std::vector<std::string> rejected;
        const RuleSet rules = buildRules(subtrees, &rejected);
        CPPUNIT_ASSERT(rejected == std::vector<std::string>({"", "kitami"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), rules.teams.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), rules.rootRevision);
        CPPUNIT_ASSERT(explain(subtrees, "kitami", "").empty());
    }

    /// Guards against values of one team that leak into the next one.
    void fortyEightTeams()
    {
        Subtrees subtrees;
        put(subtrees, "", 1, "kindDefaults: {limitMs: 5000}");
        for (unsigned int i = 0; i < 48; ++i) {
            const std::string own = "k" + std::to_string(i);
            put(subtrees,
                "team-" + std::to_string(i),
                i + 1,
                i % 2 == 0 ? "kinds: {" + own + ": {limitMs: " + std::to_string(6000 + i) + "}}" : "kinds: {common: }");
        }
        const RuleSet rules = buildRules(subtrees);
        CPPUNIT_ASSERT_EQUAL(std::size_t(48), rules.teams.size());
        for (unsigned int i = 0; i < 48; ++i) {
            const TeamRules &team = rules.teams.at("team-" + std::to_string(i));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), team.kinds.size());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(i + 1), team.revision);
            CPPUNIT_ASSERT_EQUAL(i % 2 == 0 ? 6000 + i : 5000U, team.kinds.begin()->second.limitMs);
        }
    }

    /// Guards against example files that are rejected, and against an example in which the kind glass-order could run twice.
    void examples()
    {
        Subtrees subtrees;
        for (const std::string team : {"", "adire", "kitami"}) {
            const std::string yaml = readExample("teams/" + (team.empty() ? "root" : team) + ".yaml");
            CPPUNIT_ASSERT_EQUAL(std::string(), formatPositions(collectFaults([&] { return checkSubtree(team, yaml); })));
            put(subtrees, team, 1, yaml);
        }
        const RuleSet rules = buildRules(subtrees);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), rules.teams.at("adire").kinds.size());
        const auto &kitami = rules.teams.at("kitami").kinds;
        for (const std::string kind : {"came-strength", "panel-deflection", "tint-match"}) {
            CPPUNIT_ASSERT(kitami.at(kind).urgent && kitami.at(kind).idempotent);
        }
        CPPUNIT_ASSERT(!kitami.at("glass-order").idempotent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTeamSettings);
