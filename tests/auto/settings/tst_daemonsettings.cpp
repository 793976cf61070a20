#include "settings/daemonsettings.h"
#include "settings/teamsettings.h"
#include "settingscases.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Settings;

namespace {

const std::string entry = "role: entry\nname: e1\nfailureDomain: fd-a\nhttp: 127.0.0.1:0\npeer: 127.0.0.1:0\n";
const std::string agent = "role: agent\nname: a1\nworker: w1\nfailureDomain: fd-a\nlisten: 127.0.0.1:0\nentries: [10.0.0.1:7]\nbackend: 127.0.0.1:9\n";
const std::string acceptedRemoteEndpoints = "IPv4:PORT other than 0.0.0.0, with a port from 1 to 65535";

template<class Role>
Role parsed(const std::string &yaml)
{
    const auto settings = parseDaemonSettings(yaml);
    CPPUNIT_ASSERT_MESSAGE(yaml, settings);
    return std::get<Role>(*settings);
}

} // namespace

class TestDaemonSettings : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDaemonSettings);
    CPPUNIT_TEST(faults);
    CPPUNIT_TEST(documentFaults);
    CPPUNIT_TEST(defaults);
    CPPUNIT_TEST(examples);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against faults that are missed, reported one at a time or reported at a wrong position.
    void faults()
    {
        const FaultCase cases[] = {
            {entry, "", ""},
            {agent, "", ""},
            {"", "0:0 role", ""},
            {"name: e1", "1:1 role", ""},
            {"role: worker\nfoo: 1", "1:7 role", "entry, agent"},
            {"role: entry", "1:1 name; 1:1 failureDomain; 1:1 http; 1:1 peer", ""},
            {"role: agent", "1:1 name; 1:1 worker; 1:1 failureDomain; 1:1 listen; 1:1 entries; 1:1 backend", ""},
            {entry + "foo: 1", "6:1 foo", "role, name, failureDomain, http, peer, advertisedPeer, entries, store, rootSettings, teams, placement, seed, log"},
            {entry + "name: e2", "6:1 name", ""},
            {entry + "worker: w", "6:1 worker", ""},
            {entry + "? [a]\n: 1", "6:3 ", "scalar keys"},
            {entry + "seed: -1\nplacement: best", "6:7 seed; 7:12 placement", "0 to 18446744073709551615"},
            {entry + "seed: 18446744073709551616", "6:7 seed", ""},
            {entry + "seed: \"1\"", "6:7 seed", ""},
            {entry + "seed: 1.5", "6:7 seed", ""},
            {entry + "seed: 0x10", "6:7 seed", ""},
            {entry + "seed:\nlog: info", "6:1 seed; 7:6 log", ""},
            {entry + "log: {level: loud, file: [x]}", "6:14 log.level; 6:26 log.file", "error, warn, info, debug"},
            {entry + "advertisedPeer: 10.0.0.1:0", "6:17 advertisedPeer", acceptedRemoteEndpoints},
            {entry + "entries: 10.0.0.1:7", "6:10 entries", "a list of endpoints"},
            {entry + "entries: [10.0.0.1:7, 10.0.0.1, {a: 1}]", "6:23 entries[1]; 6:33 entries[2]", acceptedRemoteEndpoints},
            {entry + "store: redis", "6:8 store", "embedded, or a map with the key etcd"},
            {entry + "store: {etcd: {}}", "6:15 store.etcd.endpoint", ""},
            {entry + "store: {etcd: {endpoint: \"10.0.0.1:2\"}}\nteams: {}", "7:8 teams", ""},
            {entry + "store:\n  etcd:\n    endpoint: \"10.0.0.1:2\"\n    readsPerSecond: 0\n    port: 3",
             "9:21 store.etcd.readsPerSecond; 10:5 store.etcd.port",
             "1 to 10000"},
            {entry + "teams:\n  Adire: {}\n  kitami:\n    quota: 2", "7:3 teams.Adire; 9:12 teams.kitami.quota", ""},
            {entry + "rootSettings: {kinds: {}}", "6:16 rootSettings.kinds", ""},
            {"role: entry\nname: E 1\nfailureDomain: \"\"\nhttp: localhost:80\npeer: 1.2.3.4:65536",
             "2:7 name; 3:16 failureDomain; 4:7 http; 5:7 peer",
             "1 to 63 of a-z, 0-9 and '-', not starting with '-'"},
            {"role: entry\nname: e\nfailureDomain: f\nhttp: 0.0.0.0:80\npeer: 0.0.0.0:7", "1:1 advertisedPeer", acceptedRemoteEndpoints},
            {agent + "slots: 4\nreservedShortSlots: 4", "9:21 reservedShortSlots", "0 to 3"},
            {agent + "slots: 0", "8:8 slots", "1 to 1024"},
            {agent + "slots: 65537", "8:8 slots", "1 to 1024"},
            {"role: agent\nname: a\nworker: w\nfailureDomain: f\nlisten: 1.2.3.4:0\nentries: []\nbackend: 1.2.3.4:0", "6:10 entries; 7:10 backend", ""},
        };
        for (const FaultCase &expected : cases) {
            checkCase(expected, [](const std::string &yaml) { return parseDaemonSettings(yaml); });
        }
    }

    /// Guards against texts that crash the parser, and against parts of a text that are silently ignored or replaced.
    void documentFaults()
    {
        const FaultCase cases[] = {
            {"role: entry\n  name: [x", "2:7 ", ""},
            {"role: *unknown", "1:7 ", ""},
            {entry + "---\nrole: agent", "7:1 ", "one document"},
            {"- role: entry", "1:1 ; 1:1 role", "a map"},
            {std::string(50'000, '['), "1:1 ", ""},
            {"role: entry\nname: \"\xff\"", "2:8 ", ""},
            {"\xff\xfe\x01", "1:1 ", ""},
            {std::string("role: entry\0", 12), "1:12 ", ""},
            {"# " + std::string(140'000, 'x'), "1:1 ", "at most 131072 bytes"},
            {entry + "teams: &a\n  adire: *a", "7:3 teams.adire.adire", ""},
        };
        for (const FaultCase &expected : cases) {
            checkCase(expected, [](const std::string &yaml) { return parseDaemonSettings(yaml); });
        }
    }

    /// Guards against defaults that differ from the documented ones or contradict values in the text.
    void defaults()
    {
        const auto single = parsed<EntrySettings>(entry);
        CPPUNIT_ASSERT(single.advertisedPeer == single.peer);
        CPPUNIT_ASSERT(std::holds_alternative<EmbeddedStoreSettings>(single.store));
        CPPUNIT_ASSERT_EQUAL(std::string("expected-wait"), single.placement);
        const auto two = parsed<AgentSettings>(agent + "slots: 2");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(1), two.reservedShortSlots);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(2), parsed<AgentSettings>(agent).reservedShortSlots);
    }

    /// Guards against example files that are rejected, and against teams of a file that are missing in the embedded store.
    void examples()
    {
        const auto embedded = std::get<EmbeddedStoreSettings>(parsed<EntrySettings>(readExample("entry-embedded.yaml")).store);
        CPPUNIT_ASSERT(checkSubtree("", embedded.rootYaml));
        const RuleSet rules = buildRules({{"", {"", 1, "", embedded.rootYaml}}, {"adire", {"adire", 1, "", embedded.teamYaml.at("adire")}}});
        const TeamRules &adire = rules.teams.at("adire");
        CPPUNIT_ASSERT_EQUAL(0.8, adire.quota);
        CPPUNIT_ASSERT(adire.kinds.at("fold-preview").urgent);
        CPPUNIT_ASSERT_EQUAL(30'000U, adire.kinds.at("fold-plan").limitMs);

        const auto etcd = std::get<EtcdStoreSettings>(parsed<EntrySettings>(readExample("entry-etcd.yaml")).store);
        CPPUNIT_ASSERT(etcd.endpoint == (Base::Endpoint{"10.20.0.2", 2379}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), parsed<AgentSettings>(readExample("agent.yaml")).entries.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDaemonSettings);
