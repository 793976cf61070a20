#pragma once

#include "cluster.h"

namespace LaburnumFlow::Cluster::Internal {

/// Replaces the map by one of a higher epoch, starts the takeover of gained partitions and the handover of lost ones, and announces the map to peers. From
/// then on, the heartbeats and acknowledgements of this entry carry the new epoch.
void adoptMap(ClusterState &state, Step &step, const Protocol::PartitionMap &map);

/// Replaces the map by a later write of the same epoch, which differs only in its unfenced sets and confirmed dead entries.
void refreshMap(ClusterState &state, Step &step, const Protocol::PartitionMap &map);

} // namespace LaburnumFlow::Cluster::Internal
