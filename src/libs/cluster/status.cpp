#include "cluster.h"
#include "ownership.h"

#include <array>
#include <string>

namespace LaburnumFlow::Cluster {

namespace {

using Values = std::vector<std::pair<std::string, std::string>>;

std::string formatEndpoint(const Base::Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

std::string millisecondsSince(const ClusterState &state, Base::MonoTime time)
{
    return time == Base::MonoTime{} ? "never" : std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(state.now - time).count());
}

Events::StatusRow selfRow(const ClusterState &state)
{
    const bool member = state.map && Internal::isMember(*state.map, state.self.id);
    return {"entry",
            state.self.id.name,
            {{"incarnation", std::to_string(state.self.id.incarnation)},
             {"peer", formatEndpoint(state.self.peer)},
             {"http", formatEndpoint(state.self.http)},
             {"failureDomain", state.self.failureDomain},
             {"member", member ? "yes" : "no"},
             {"self", "yes"},
             {"epoch", std::to_string(state.map ? state.map->epoch : 0)},
             {"leaving", state.leaving ? "yes" : "no"}}};
}

Events::StatusRow peerRow(const ClusterState &state, const PeerInfo &peer)
{
    const bool member = state.map && Internal::isMember(*state.map, peer.record.id);
    return {"entry",
            peer.record.id.name,
            {{"incarnation", std::to_string(peer.record.id.incarnation)},
             {"peer", formatEndpoint(peer.record.peer)},
             {"http", formatEndpoint(peer.record.http)},
             {"failureDomain", peer.record.failureDomain},
             {"member", member ? "yes" : "no"},
             {"self", "no"},
             {"epoch", std::to_string(peer.mapEpoch)},
             {"leaving", peer.leaving ? "yes" : "no"},
             {"link", peer.linkUp ? "up" : "down"},
             {"heardMsAgo", millisecondsSince(state, peer.lastHeartbeatAt)},
             {"echoMsAgo", millisecondsSince(state, peer.echoedSentAt)}}};
}

Events::StatusRow agentRow(const ClusterState &state, const AgentInfo &agent)
{
    return {"agent",
            agent.id.name,
            {{"incarnation", std::to_string(agent.id.incarnation)},
             {"worker", agent.worker},
             {"failureDomain", agent.failureDomain},
             {"state", std::string(Protocol::toString(agent.state))},
             {"acceptsWork", acceptsWork(state, agent) ? "yes" : "no"},
             {"fenced", agent.fenced ? "yes" : "no"},
             {"link", agent.linkUp ? "up" : "down"},
             {"slots", std::to_string(agent.load.slots)},
             {"running", std::to_string(agent.load.running)},
             {"queued", std::to_string(agent.load.queued)},
             {"heardMsAgo", millisecondsSince(state, agent.tokenReceivedAt)}}};
}

Events::StatusRow partitionsRow(const ClusterState &state)
{
    std::array<std::size_t, 4> byAuthority{};
    for (Protocol::Partition partition = 0; partition < Protocol::partitionCount; ++partition) {
        ++byAuthority.at(static_cast<std::size_t>(authority(state, partition)));
    }
    const auto text = [&](Authority value) { return std::to_string(byAuthority.at(static_cast<std::size_t>(value))); };
    return {"partitions",
            "map",
            {{"epoch", std::to_string(state.map ? state.map->epoch : 0)},
             {"entries", std::to_string(state.map ? state.map->entries.size() : 0)},
             {"unfencedSets", std::to_string(state.map ? state.map->unfenced.size() : 0)},
             {"serving", text(Authority::Serving)},
             {"suspended", text(Authority::Suspended)},
             {"recovering", text(Authority::Recovering)},
             {"elsewhere", text(Authority::NotOwner)},
             {"confirmedByStore", Internal::confirmedByStore(state) ? "yes" : "no"}}};
}

Events::StatusRow settingsRow(const ClusterState &state, const Protocol::SettingsSubtree &subtree)
{
    const std::size_t members = state.map ? state.map->entries.size() : 0;
    const std::size_t active = entriesWithRevision(state, subtree.team, subtree.revision);
    const bool accepted = members > 0 && active >= (members + 1) / 2;
    return {"settings",
            subtree.team.empty() ? "root" : subtree.team,
            {{"revision", std::to_string(subtree.revision)},
             {"changeId", subtree.changeId},
             {"entriesInForce", std::to_string(active)},
             {"entries", std::to_string(members)},
             {"accepted", accepted ? "yes" : "pending"}}};
}

} // namespace

std::vector<Events::StatusRow> statusRows(const ClusterState &state)
{
    std::vector<Events::StatusRow> rows;
    rows.push_back(selfRow(state));
    for (const auto &[name, peer] : state.peers) {
        rows.push_back(peerRow(state, peer));
    }
    for (const auto &[name, agent] : state.agents) {
        rows.push_back(agentRow(state, agent));
    }
    rows.push_back(partitionsRow(state));
    for (const auto &[team, subtree] : state.subtrees) {
        rows.push_back(settingsRow(state, subtree));
    }
    return rows;
}

} // namespace LaburnumFlow::Cluster
