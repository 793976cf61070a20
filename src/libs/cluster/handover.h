#pragma once

#include "cluster.h"

#include <vector>

/// Transfers the ledgers of partitions whose owner changes while the former owner is alive.
namespace LaburnumFlow::Cluster::Internal {

/// Starts to hand the lost partitions over to their new owners. Partitions whose ledger can't be handed over are reported as lost at once: \a direct is false
/// if the new map does not directly follow the one under which this entry served them, or this entry may not know all submissions of the deduplication window.
void beginHandovers(ClusterState &state, Step &step, const std::vector<Protocol::Partition> &lost, bool direct);

/// Sends handovers whose new owner has a link, and abandons those that have timed out.
void handoverTick(ClusterState &state, Step &step);
void handleLedgerHandover(ClusterState &state, Step &step, const Base::ProcessId &from, const Protocol::LedgerHandover &handover);
void handleHandoverAck(ClusterState &state, const Protocol::HandoverAck &ack);
/// Finishes leaving once nothing is left to hand over or leaveTimeout has passed.
void leaveTick(ClusterState &state, Step &step);

} // namespace LaburnumFlow::Cluster::Internal
