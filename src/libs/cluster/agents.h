#pragma once

#include "cluster.h"

/// Agents: heartbeats, links, echoes of their tokens, and the moment from which their leases have ended.
namespace LaburnumFlow::Cluster::Internal {

void handleAgentHeartbeat(ClusterState &state, Step &step, const Protocol::AgentHeartbeat &heartbeat);
void handleAgentLink(ClusterState &state, Step &step, const Events::AgentLinkChanged &change);

/// Takes the token and, if given, the load that came with a reply on a link.
void recordAgentReply(ClusterState &state, const Base::ProcessId &id, const Protocol::ClockToken &token, const Protocol::AgentLoad *load);

void agentsTick(ClusterState &state, Step &step);

} // namespace LaburnumFlow::Cluster::Internal
