#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// What a task asks of its agent.
struct PlacementRequest {
    std::string_view kind;
    double costMs = 0; ///< expected run time at reference speed
    bool longTask = false;
    bool idempotent = false; ///< only idempotent tasks probe an ejected agent
    const Task *task = nullptr;
};

struct PlacementChoice {
    const Cluster::AgentInfo *agent = nullptr;
    bool isProbe = false;
};

/// Picks an agent with room by the policy; nothing if none fits at the moment.
PlacementChoice choosePlacement(Context &context, const PlacementRequest &request);

/// Rebuilds the list of agents with room and the totals over all agents.
void refreshAgents(Context &context);

/// Lists the agent again if it has room, after it reported or an attempt ended there.
void relistAgent(Context &context, const std::string &name);

/// True if some known agent runs the kind, or no agent is known yet.
bool isPlaceable(const DispatchState &state, std::string_view kind);

} // namespace LaburnumFlow::Dispatch::Internal
