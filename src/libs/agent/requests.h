#pragma once

#include "step.h"

#include <string>

namespace LaburnumFlow::Agent::Internal {

/// Cancels known attempts, unless a higher epoch is known of their partition, and fences unknown ones.
void handleCancel(AgentState &state, Step &step, const std::string &entry, const Protocol::CancelTasks &cancel);
/// Reports known attempts and fences unknown ones.
void handleQuery(AgentState &state, Step &step, const std::string &entry, const Protocol::QueryAttempts &query);
/// Makes the entry the owner of the partitions and lists their attempts to it. Sends no reply if a higher epoch is known of
/// any of them.
void handleFenceQuery(AgentState &state, Step &step, const std::string &entry, const Protocol::FenceQuery &query);

} // namespace LaburnumFlow::Agent::Internal
