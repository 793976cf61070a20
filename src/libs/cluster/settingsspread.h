#pragma once

#include "cluster.h"

/// Settings subtrees: applied by revision and spread among entries.
namespace LaburnumFlow::Cluster::Internal {

/// xxhash64 over the revisions in force.
std::uint64_t settingsDigest(const ClusterState &state);

/// Applies the subtrees of higher revisions; others are ignored.
void applySubtrees(ClusterState &state, Step &step, const std::vector<Protocol::SettingsSubtree> &subtrees);

void compareSettings(ClusterState &state, Step &step, PeerInfo &peer);
void sendSettingsAck(const ClusterState &state, Step &step, const std::string &peer);
void handleSettingsFetch(ClusterState &state, Step &step, const Base::ProcessId &from, const Protocol::SettingsFetch &fetch);
void handleSettingsContents(ClusterState &state, Step &step, const Base::ProcessId &from, const Protocol::SettingsContents &contents);
void handleSettingsAck(ClusterState &state, const Protocol::SettingsAck &ack);

} // namespace LaburnumFlow::Cluster::Internal
