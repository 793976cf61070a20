#pragma once

#include "cluster.h"

#include <vector>

/// Ledgers of partitions that change their owner while the former owner is alive.
namespace LaburnumFlow::Cluster::Internal {

/// Gives up the partitions. Their ledger goes to the new owner if the new map directly follows the one under which this
/// entry served them, and this entry knows of all submissions within the horizon.
void beginHandovers(ClusterState &state, Step &step, const std::vector<Protocol::Partition> &lost, bool direct);

void handoverTick(ClusterState &state, Step &step);
void handleLedgerHandover(ClusterState &state, Step &step, const Base::ProcessId &from, const Protocol::LedgerHandover &handover);
void handleHandoverAck(ClusterState &state, const Protocol::HandoverAck &ack);
void leaveTick(ClusterState &state, Step &step);

} // namespace LaburnumFlow::Cluster::Internal
