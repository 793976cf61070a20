#pragma once

#include "cluster.h"

#include <set>

/// Takes partitions over from former owners: waits until they are fenced and collects from the agents what they started.
namespace LaburnumFlow::Cluster::Internal {

/// Records that a process has adopted a map of this epoch.
void recordAcknowledgement(ClusterState &state, const Protocol::EntryRecord &from, Protocol::Epoch epoch);

/// Records the agents at which the sender may have started tasks. The takeover is incomplete without a reply of each.
void recordAgentsOfPeer(ClusterState &state, const Protocol::MapAck &ack);

/// Starts the fencing that the current map requires. \a partitions may be empty. \a formerProcessEnded tells that no former owner is left to wait for.
void beginTakeover(ClusterState &state, Step &step, std::set<Protocol::Partition> partitions, bool formerProcessEnded);

/// Queries agents whose link is up, and finishes the takeover once former owners are fenced and the agents have replied or fenceReplyTimeout has passed.
void takeoverTick(ClusterState &state, Step &step);
void handleFenceReply(ClusterState &state, Step &step, const Base::ProcessId &agent, const Protocol::FenceReply &reply);

/// Drops an unanswered FenceQuery and its partial replies, so that the query is sent again on the next link.
void resetFenceQuery(ClusterState &state, const std::string &agent);

/// Returns whether this entry may clear the unfenced sets: they have all lost their authority, and agents refuse their delayed starts.
bool mayClearUnfenced(const ClusterState &state);

/// Returns the number of members of the set that have acknowledged a higher epoch or are confirmed as dead.
std::size_t acknowledgementCount(const ClusterState &state, const Protocol::UnfencedSet &set);

} // namespace LaburnumFlow::Cluster::Internal
