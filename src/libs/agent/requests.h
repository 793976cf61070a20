#pragma once

#include "step.h"

#include <string>

namespace LaburnumFlow::Agent::Internal {

void handleCancel(AgentState &state, Step &step, const std::string &entry, const Protocol::CancelTasks &cancel);
void handleQuery(AgentState &state, Step &step, const std::string &entry, const Protocol::QueryAttempts &query);
void handleFenceQuery(AgentState &state, Step &step, const std::string &entry, const Protocol::FenceQuery &query);

} // namespace LaburnumFlow::Agent::Internal
