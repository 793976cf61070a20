#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Records how an attempt ended at an agent. Ejects an agent that fails far more often than the others.
void recordOutcome(Context &context, const std::string &agent, bool ok, bool probe);

/// True if an agent seems to be a failure outlier, but has too few outcomes for its ejection. It gets one task at a time:
/// otherwise tasks that start there before its first outcomes arrive could use up a team's retries.
bool isLimitedToOneTask(const DispatchState &state, const AgentRecord &record);

/// Returns the share of its slots that an agent may get: 1 if healthy, less during the slow start, 0 if ejected.
double capacityShare(const DispatchState &state, const AgentRecord &record);

/// True if an ejected agent is due for a single probe.
bool isProbeDue(const DispatchState &state, const AgentRecord &record);

} // namespace LaburnumFlow::Dispatch::Internal
