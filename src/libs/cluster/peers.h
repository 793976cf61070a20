#pragma once

#include "cluster.h"

/// Other entries: heartbeats and links.
namespace LaburnumFlow::Cluster::Internal {

/// Starts to watch members of the map that the former map, if any, did not list.
void watchMembers(ClusterState &state, const Protocol::PartitionMap *former, const Protocol::PartitionMap &map);

/// Silence while this process was stopped says nothing about the others.
void restartWatch(ClusterState &state);

void handleEntryHeartbeat(ClusterState &state, Step &step, const Protocol::EntryHeartbeat &heartbeat);
void handlePeerLink(ClusterState &state, Step &step, const Events::PeerLinkChanged &change);
void peersTick(ClusterState &state, Step &step);

} // namespace LaburnumFlow::Cluster::Internal
