#pragma once

#include "clusterstate.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace LaburnumFlow::Cluster::Internal {

/// The first map, or one for a store that has lost it.
Protocol::PartitionMap firstMap(ClusterState &state);

/// The map that should replace the current one: without missed entries, with or without this one, or with the unfenced
/// sets cleared. Nothing if the current map is right.
std::optional<Protocol::PartitionMap> nextMap(ClusterState &state, const Protocol::PartitionMap &current);

/// The processes of that name, listed by the map or its unfenced sets, that are not alive as far as this entry knows; in
/// the form of confirmedDead, so that a confirmation never covers a later process. The map must be known.
std::vector<std::string> deadProcesses(const ClusterState &state, std::string_view name);

} // namespace LaburnumFlow::Cluster::Internal
