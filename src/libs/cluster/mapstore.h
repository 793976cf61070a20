#pragma once

#include "cluster.h"

/// Reads and writes the partition map at the store and announces it among entries.
namespace LaburnumFlow::Cluster::Internal {

/// Requests a read of the map when one is due.
void storeTick(ClusterState &state, Step &step);
void handleMapRead(ClusterState &state, Step &step, const Events::MapRead &read);
void handleMapWritten(ClusterState &state, Step &step, const Events::MapWritten &written);
void handleMapAnnounce(ClusterState &state, Step &step, const Base::ProcessId &from, const Protocol::MapAnnounce &announce);
/// Sends the map to the peer, if this entry knows one.
void announceMap(const ClusterState &state, Step &step, const std::string &peer);

} // namespace LaburnumFlow::Cluster::Internal
