#pragma once

#include "agentstate.h"

#include <optional>

namespace LaburnumFlow::TaskAgent {

AgentState makeAgent(Base::MonoTime now);

/// Applies an event to the state and returns the effects to execute. Time advances only with TimePassed, which must come before the
/// events of each round.
AgentEffects reduce(AgentState &state, const AgentEvent &event);

/// Returns when the next TimePassed is due, or no value if none is needed.
std::optional<Base::MonoTime> nextDue(const AgentState &state);

/// Returns whether no run is left and the owner has recorded all ends.
bool isIdle(const AgentState &state);

} // namespace LaburnumFlow::TaskAgent
