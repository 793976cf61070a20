#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Records how a run ended at an agent; ejects an agent that fails far more often than the others do.
void recordOutcome(Context &context, const std::string &agent, bool ok, bool probe);

/// True if an agent seems to fail alone, on too few ends for its ejection. It gets one task at a time, so that it can't use
/// up the retries of a team with tasks that were started before its first ends came.
bool isLimitedToOneTask(const DispatchState &state, const AgentRecord &record);

/// The share of an agent's slots that it may get: 1 if healthy, less during the slow start, 0 if ejected.
double capacityShare(const DispatchState &state, const AgentRecord &record);

/// True if an ejected agent is due for a single probe.
bool isProbeDue(const DispatchState &state, const AgentRecord &record);

} // namespace LaburnumFlow::Dispatch::Internal
