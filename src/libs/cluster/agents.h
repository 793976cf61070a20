#pragma once

#include "cluster.h"

/// Agents: their heartbeats, links and clock tokens, and when the leases of their attempts have expired.
namespace LaburnumFlow::Cluster::Internal {

void handleAgentHeartbeat(ClusterState &state, Step &step, const Protocol::AgentHeartbeat &heartbeat);
void handleAgentLink(ClusterState &state, Step &step, const Events::AgentLinkChanged &change);

/// Records the clock token of a reply that arrived on the agent's link, and its load unless \a load is null.
void recordAgentReply(ClusterState &state, const Base::ProcessId &id, const Protocol::ClockToken &token, const Protocol::AgentLoad *load);

/// Updates which agents are reachable, reports those whose leases have expired as fenced, and removes agents that stay silent.
void agentsTick(ClusterState &state, Step &step);

} // namespace LaburnumFlow::Cluster::Internal
