#pragma once

#include "clusterstate.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace LaburnumFlow::Cluster::Internal {

/// Returns the map to write to a store that holds none, because this is the first start or because the store has lost it.
Protocol::PartitionMap firstMap(ClusterState &state);

/// Returns the map that should replace the current one, or nothing if no change is due. It leaves out silent members, adds this entry when it joins or leaves
/// it out when it drains, lists entries that were confirmed as dead, or clears the unfenced sets.
std::optional<Protocol::PartitionMap> nextMap(ClusterState &state, const Protocol::PartitionMap &current);

/// Returns the processes of that name in the map and its unfenced sets from which this entry receives no heartbeats. Each has the form "name/incarnation" of
/// PartitionMap::confirmedDead, so that a confirmation never applies to a later process. The map must be known.
std::vector<std::string> deadProcesses(const ClusterState &state, std::string_view name);

} // namespace LaburnumFlow::Cluster::Internal
