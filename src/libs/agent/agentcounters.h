#pragma once

#include "protocol/messages.h"

#include <string_view>

namespace LaburnumFlow::Agent::Internal {

/// Returns the counter name "agent.refused.REASON", which has static storage.
std::string_view refusedCounter(Protocol::AgentReason reason);

/// Returns the counter name "agent.stopped.REASON", which has static storage.
std::string_view stoppedCounter(Protocol::AgentReason reason);

} // namespace LaburnumFlow::Agent::Internal
