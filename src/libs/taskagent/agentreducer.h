#pragma once

#include "agentstate.h"

#include <optional>

namespace LaburnumFlow::TaskAgent {

AgentState makeAgent(Base::MonoTime now);

/// The agent's decisions. Time enters with TimePassed, which must precede the events of each round.
AgentEffects reduce(AgentState &state, const AgentEvent &event);

/// When TimePassed is needed next.
std::optional<Base::MonoTime> nextDue(const AgentState &state);

/// Whether nothing runs and the owner has recorded all ends.
bool isIdle(const AgentState &state);

} // namespace LaburnumFlow::TaskAgent
