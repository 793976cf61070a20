#pragma once

#include "protocol/messages.h"

#include <string_view>

namespace LaburnumFlow::Agent::Internal {

/// "agent.refused.REASON", of static storage.
std::string_view refusedCounter(Protocol::AgentReason reason);

/// "agent.stopped.REASON", of static storage.
std::string_view stoppedCounter(Protocol::AgentReason reason);

} // namespace LaburnumFlow::Agent::Internal
