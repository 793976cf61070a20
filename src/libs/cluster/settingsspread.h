#pragma once

#include "cluster.h"

/// Applies settings subtrees by revision and distributes them among entries.
namespace LaburnumFlow::Cluster::Internal {

/// Returns an xxhash64 of the active revisions.
std::uint64_t settingsDigest(const ClusterState &state);

/// Applies the subtrees whose revision is higher than the active one and ignores all others.
void applySubtrees(ClusterState &state, Step &step, const std::vector<Protocol::SettingsSubtree> &subtrees);

/// Fetches the peer's settings if its digest, received with a heartbeat, differs from this entry's.
void compareSettings(ClusterState &state, Step &step, PeerInfo &peer);
void sendSettingsAck(const ClusterState &state, Step &step, const std::string &peer);
void handleSettingsFetch(ClusterState &state, Step &step, const Base::ProcessId &from, const Protocol::SettingsFetch &fetch);
void handleSettingsContents(ClusterState &state, Step &step, const Base::ProcessId &from, const Protocol::SettingsContents &contents);
void handleSettingsAck(ClusterState &state, const Protocol::SettingsAck &ack);

} // namespace LaburnumFlow::Cluster::Internal
