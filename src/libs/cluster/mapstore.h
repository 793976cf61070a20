#pragma once

#include "cluster.h"

/// The partition map: read and written at the store, announced among entries.
namespace LaburnumFlow::Cluster::Internal {

void storeTick(ClusterState &state, Step &step);
void handleMapRead(ClusterState &state, Step &step, const Events::MapRead &read);
void handleMapWritten(ClusterState &state, Step &step, const Events::MapWritten &written);
void handleMapAnnounce(ClusterState &state, Step &step, const Base::ProcessId &from, const Protocol::MapAnnounce &announce);
void announceMap(const ClusterState &state, Step &step, const std::string &peer);

} // namespace LaburnumFlow::Cluster::Internal
