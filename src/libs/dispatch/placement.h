#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Requirements of a task that is to be placed on an agent.
struct PlacementRequest {
    std::string_view kind;
    double costMs = 0; ///< Expected run time at reference speed
    bool isLongTask = false;
    bool idempotent = false; ///< Only idempotent tasks probe an ejected agent
    const Task *task = nullptr;
};

struct PlacementChoice {
    const Cluster::AgentInfo *agent = nullptr;
    bool isProbe = false;
};

/// Picks an agent with free capacity by the policy. The choice has no agent if none fits at the moment.
PlacementChoice choosePlacement(Context &context, const PlacementRequest &request);

/// Rebuilds the list of available agents and the totals over all agents.
void refreshAgents(Context &context);

/// Lists the agent as available if it has free capacity. Called after it reported or an attempt ended there.
void relistAgent(Context &context, const std::string &name);

/// True if a known agent runs the kind, or if no agent is known yet.
bool isPlaceable(const DispatchState &state, std::string_view kind);

} // namespace LaburnumFlow::Dispatch::Internal
