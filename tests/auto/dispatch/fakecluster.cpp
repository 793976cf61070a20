// Implements the functions of cluster that dispatch calls. They read fields of ClusterState that the tests set.

#include "cluster/cluster.h"

#include "protocol/protocolconstants.h"

namespace LaburnumFlow::Cluster {

Authority authority(const ClusterState &state, Protocol::Partition partition)
{
    if (ownerName(state, partition) != state.self.id.name) {
        return Authority::NotOwner;
    }
    if (state.takeover && state.takeover->partitions.contains(partition)) {
        return Authority::Recovering;
    }
    return state.mapConfirmed ? Authority::Serving : Authority::Suspended;
}

std::optional<std::string> ownerName(const ClusterState &state, Protocol::Partition partition)
{
    return state.map ? std::optional(state.map->entries[state.map->owner[partition]].id.name) : std::nullopt;
}

bool acceptsWork(const ClusterState &state, const AgentInfo &agent)
{
    return agent.state == Protocol::AgentState::Active && agent.linkUp && !agent.fenced && state.now - agent.tokenReceivedAt < Protocol::agentSilenceTimeout;
}

bool isKnownUnstarted(const ClusterState &state, Protocol::Partition partition, Base::WallTime submissionTime)
{
    if (state.takeover && state.takeover->partitions.contains(partition)) {
        return false;
    }
    const auto found = state.lastTakeovers.find(partition);
    return found == state.lastTakeovers.end() || found->second.complete || submissionTime > found->second.at + Protocol::maxClockSkew;
}

const Settings::TeamRules *rulesFor(const ClusterState &state, std::string_view team)
{
    const auto found = state.rules.teams.find(team);
    return found == state.rules.teams.end() ? nullptr : &found->second;
}

} // namespace LaburnumFlow::Cluster
