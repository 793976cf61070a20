#pragma once

#include "cluster.h"

#include <set>

/// Section 4.2 of the design: fencing of former owners and recovery of what they started.
namespace LaburnumFlow::Cluster::Internal {

/// Records that a process has adopted a map of this epoch.
void recordAcknowledgement(ClusterState &state, const Protocol::EntryRecord &from, Protocol::Epoch epoch);

/// Starts the fencing that the current map asks for. partitions may be empty.
void beginTakeover(ClusterState &state, Step &step, std::set<Protocol::Partition> partitions, bool formerProcessEnded);

void takeoverTick(ClusterState &state, Step &step);
void handleFenceReply(ClusterState &state, Step &step, const Base::ProcessId &agent, const Protocol::FenceReply &reply);

/// Forgets an unanswered query, so that it is sent again on the next link.
void resetFenceQuery(ClusterState &state, const std::string &agent);

/// True once every unfenced set of the current map has lost its authority.
bool mayClearUnfenced(const ClusterState &state);

/// The number of members that have acknowledged a higher epoch than the set's.
std::size_t acknowledgementCount(const ClusterState &state, const Protocol::UnfencedSet &set);

} // namespace LaburnumFlow::Cluster::Internal
