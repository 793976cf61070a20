#pragma once

#include "cluster.h"

/// Heartbeats from and links to other entries.
namespace LaburnumFlow::Cluster::Internal {

/// Starts to count the silence of members that the former map, if any, did not list.
void watchMembers(ClusterState &state, const Protocol::PartitionMap *former, const Protocol::PartitionMap &map);

/// Counts the silence of all peers from now on. Called after this process was suspended, when it could not receive their heartbeats.
void restartWatch(ClusterState &state);

void handleEntryHeartbeat(ClusterState &state, Step &step, const Protocol::EntryHeartbeat &heartbeat);
void handlePeerLink(ClusterState &state, Step &step, const Events::PeerLinkChanged &change);
/// Sends heartbeats when they are due, and removes peers that stay silent.
void peersTick(ClusterState &state, Step &step);

} // namespace LaburnumFlow::Cluster::Internal
