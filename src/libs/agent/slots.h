#pragma once

#include "step.h"

#include <cstdint>

namespace LaburnumFlow::Agent::Internal {

std::uint16_t slotCount(const AgentState &state);
Protocol::AgentLoad currentLoad(const AgentState &state);

/// False if an attempt of that class could neither start at once nor wait.
bool hasCapacity(const AgentState &state, bool isLong);

void enqueue(AgentState &state, const Base::AttemptKey &key, const LiveAttempt &live);
void dequeue(AgentState &state, const Base::AttemptKey &key, const LiveAttempt &live);

/// True if an attempt waits that is not long.
bool hasQueuedShortTask(const AgentState &state);

/// Starts queued attempts on free slots.
void fillSlots(AgentState &state, Step &step);

/// Refuses queued attempts that may no longer start: deadline past, lease ended, settings too old.
void refuseOutdated(AgentState &state, Step &step);

/// Hands back everything queued, so that its owners can place it elsewhere.
void refuseAllQueued(AgentState &state, Step &step, Protocol::AgentReason reason);

/// Adjusts the learned speed by an attempt that has succeeded.
void updateSpeedEstimate(AgentState &state, const LiveAttempt &live);

} // namespace LaburnumFlow::Agent::Internal
