#include "cluster/settingsspread.h"
#include "harness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Cluster;
using namespace LaburnumFlow::ClusterTest;

namespace {

const Protocol::EntryRecord b = entryRecord("eb");
const Base::ProcessId agentId{"a", 1};

Protocol::SettingsSubtree subtree(const std::string &team, std::uint64_t revision)
{
    return {team, revision, "change" + std::to_string(revision), team.empty() ? "" : "kinds: {k: {idempotent: true}}\n"};
}

std::string statusValue(const std::vector<Events::StatusRow> &rows, std::string_view section, std::string_view name, std::string_view key)
{
    for (const Events::StatusRow &row : rows) {
        for (const auto &[each, value] : row.values) {
            if (row.section == section && row.name == name && each == key) {
                return value;
            }
        }
    }
    return "absent";
}

} // namespace

/// Distribution of settings among entries, and the state of agents as their heartbeats and links tell it.
class TestSpread : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSpread);
    CPPUNIT_TEST(settingsNeverRevert);
    CPPUNIT_TEST(settingsReachPeers);
    CPPUNIT_TEST(acceptedByHalf);
    CPPUNIT_TEST(silentAgent);
    CPPUNIT_TEST(brokenLinkFences);
    CPPUNIT_TEST(restartedAgent);
    CPPUNIT_TEST(leavingAgent);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against older settings from the store or from a peer that replace newer ones.
    void settingsNeverRevert()
    {
        const struct {
            std::vector<std::uint64_t> revisions;
            std::uint64_t active;
            std::uint64_t ignored;
        } table[] = {{{1, 2, 3}, 3, 0}, {{3, 1, 2}, 3, 2}, {{2, 2}, 2, 0}, {{5, 4, 6, 5}, 6, 2}};
        for (const auto &row : table) {
            for (const bool fromPeer : {false, true}) {
                Entry entry("ea");
                std::uint64_t highest = 0;
                for (const std::uint64_t revision : row.revisions) {
                    if (fromPeer) {
                        entry.message(b, Protocol::SettingsContents{{subtree("t", revision)}});
                    } else {
                        entry.feed(Events::SettingsRead{{subtree("t", revision)}});
                    }
                    highest = std::max(highest, revision);
                    CPPUNIT_ASSERT(rulesFor(entry.state, "t") != nullptr && rulesFor(entry.state, "t")->revision == highest);
                }
                CPPUNIT_ASSERT_EQUAL(row.active, activeRevisions(entry.state).at("t"));
                CPPUNIT_ASSERT_EQUAL(row.ignored, entry.counterValue("settings.older-ignored"));
            }
        }
    }

    /// Guards against an entry that misses a change of settings because its watch at the store has failed.
    void settingsReachPeers()
    {
        Entry ahead("ea");
        Entry behind("eb");
        ahead.feed(Events::SettingsRead{{subtree("", 1), subtree("t", 4), subtree("u", 1)}});
        behind.feed(Events::SettingsRead{{subtree("u", 1)}});
        behind.link(ahead.state.self);
        behind.receiveHeartbeat(ahead.state.self, 0, -1, Internal::settingsDigest(ahead.state));
        const auto fetches = behind.sent<Protocol::SettingsFetch>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fetches.size());
        ahead.message(b, fetches[0]);
        const auto contents = ahead.sent<Protocol::SettingsContents>();
        CPPUNIT_ASSERT(contents.size() == 1 && contents[0].subtrees.size() == 2);
        behind.message(ahead.state.self, contents[0]);
        CPPUNIT_ASSERT_EQUAL(Internal::settingsDigest(ahead.state), Internal::settingsDigest(behind.state));
        CPPUNIT_ASSERT(behind.sent<Protocol::SettingsAck>().back().activeRevisions == activeRevisions(ahead.state));
        behind.clearRecorded();
        behind.receiveHeartbeat(ahead.state.self, 0, -1, Internal::settingsDigest(ahead.state));
        CPPUNIT_ASSERT(behind.sent<Protocol::SettingsFetch>().empty());
    }

    /// Guards against reporting settings as accepted before ceil(n/2) entries of the map apply them, or by the acknowledgement of a former process.
    void acceptedByHalf()
    {
        Entry entry("ea");
        Protocol::PartitionMap map;
        map.epoch = 10;
        map.entries = {entry.state.self, b, entryRecord("ec")};
        entry.read(map, 1);
        entry.receiveHeartbeat(b, 10);
        entry.feed(Events::SettingsRead{{subtree("t", 2)}});
        CPPUNIT_ASSERT_EQUAL(std::string("pending"), statusValue(statusRows(entry.state), "settings", "t", "accepted"));
        entry.message(b, Protocol::SettingsAck{b.id, {{"t", 1}}});
        entry.message(b, Protocol::SettingsAck{{"eb", 9}, {{"t", 2}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entriesWithRevision(entry.state, "t", 2));
        entry.message(b, Protocol::SettingsAck{b.id, {{"t", 2}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entriesWithRevision(entry.state, "t", 2));
        CPPUNIT_ASSERT_EQUAL(std::string("yes"), statusValue(statusRows(entry.state), "settings", "t", "accepted"));
        entry.clearRecorded();
        entry.feed(Events::SettingsStatusRequested{3});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.all<Events::AnswerOperator>().at(0)->rows.size());
    }

    /// Guards against new work for an agent that was silent for 1.5 s, and against fencing it before its leases have expired at 2.5 s.
    void silentAgent()
    {
        const struct {
            std::int64_t silentMs;
            bool accepts;
            std::size_t suspected;
            std::size_t fenced;
        } table[] = {{0, true, 0, 0}, {1450, true, 0, 0}, {1500, false, 1, 0}, {2450, false, 1, 0}, {2500, false, 1, 1}, {9000, false, 1, 1}};
        for (const auto &row : table) {
            Entry entry("ea");
            entry.receiveAgentHeartbeat();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.all<Events::ConnectAgent>().size());
            entry.feed(Events::AgentLinkChanged{agentId, true});
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.all<AgentReachable>().size());
            entry.advance(row.silentMs);
            CPPUNIT_ASSERT_EQUAL(row.accepts, acceptsWork(entry.state, entry.state.agents.at("a")));
            CPPUNIT_ASSERT_EQUAL(row.suspected, entry.all<AgentSuspected>().size());
            CPPUNIT_ASSERT_EQUAL(row.fenced, entry.all<AgentFenced>().size());
            entry.receiveAgentHeartbeat();
            CPPUNIT_ASSERT(acceptsWork(entry.state, entry.state.agents.at("a")) || row.silentMs == 0);
            CPPUNIT_ASSERT_EQUAL(1 + row.suspected, entry.all<AgentReachable>().size());
        }
    }

    /// Guards against attempts that are never fenced because the agent's heartbeats still arrive while its link is down.
    void brokenLinkFences()
    {
        Entry entry("ea");
        entry.receiveAgentHeartbeat();
        entry.feed(Events::AgentLinkChanged{agentId, true});
        entry.advance(250);
        entry.feed(Events::AgentLinkChanged{agentId, false});
        const std::int64_t brokenAt = entry.nowMs;
        std::int64_t lastEcho = 0;
        while (entry.nowMs < brokenAt + 6000) {
            entry.clearRecorded();
            entry.advance(250);
            if (!entry.all<AgentFenced>().empty()) {
                break;
            }
            entry.receiveAgentHeartbeat();
            const auto &hello = std::get<Protocol::EntryHello>(entry.all<Events::SendDatagram>().back()->datagram);
            lastEcho = hello.echo.agentMonoUs;
        }
        CPPUNIT_ASSERT_EQUAL(brokenAt + 1500, lastEcho - 1);
        CPPUNIT_ASSERT_EQUAL(brokenAt + 1500 + 2500, entry.nowMs);
    }

    /// Guards against attempts of a former process that are never reported as lost, or that are reported before their leases have expired.
    void restartedAgent()
    {
        Entry entry("ea");
        entry.receiveAgentHeartbeat(1);
        entry.feed(Events::AgentLinkChanged{agentId, true});
        entry.advance(500);
        entry.receiveAgentHeartbeat(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.all<Events::DisconnectAgent>().size());
        entry.receiveAgentHeartbeat(1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), entry.counterValue("agents.former-incarnation"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), entry.state.agents.at("a").id.incarnation);
        entry.feed(Events::AgentLinkChanged{agentId, true}); // of the former process
        CPPUNIT_ASSERT(!entry.state.agents.at("a").linkUp);
        entry.advance(1950);
        CPPUNIT_ASSERT(entry.all<AgentFenced>().empty());
        entry.advance(50);
        CPPUNIT_ASSERT(entry.all<AgentFenced>().size() == 1 && entry.all<AgentFenced>()[0]->agent == agentId);
    }

    /// Guards against new work for an agent that reported that it is draining or leaving.
    void leavingAgent()
    {
        for (const auto agentState : {Protocol::AgentState::Draining, Protocol::AgentState::Leaving}) {
            Entry entry("ea");
            entry.receiveAgentHeartbeat();
            entry.feed(Events::AgentLinkChanged{agentId, true});
            entry.advance(250);
            CPPUNIT_ASSERT(acceptsWork(entry.state, entry.state.agents.at("a")));
            entry.receiveAgentHeartbeat(1, agentState);
            CPPUNIT_ASSERT(!acceptsWork(entry.state, entry.state.agents.at("a")));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSpread);
