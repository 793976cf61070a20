#pragma once

#include "step.h"

#include <cstdint>

namespace LaburnumFlow::Agent::Internal {

/// Returns the configured number of slots, or the number reported by the backend server if that is smaller.
std::uint16_t slotCount(const AgentState &state);
Protocol::AgentLoad currentLoad(const AgentState &state);

/// Returns whether another long or short task could start at once or be queued.
bool hasCapacity(const AgentState &state, bool isLong);

void enqueue(AgentState &state, const Base::AttemptKey &key, const LiveAttempt &live);
void dequeue(AgentState &state, const Base::AttemptKey &key, const LiveAttempt &live);

/// Returns true if a task that is not long is queued.
bool hasQueuedShortTask(const AgentState &state);

/// Starts queued attempts on free slots.
void fillSlots(AgentState &state, Step &step);

/// Refuses queued attempts that may no longer start because their deadline is past, their lease has ended or their
/// settings are too old.
void refuseOutdated(AgentState &state, Step &step);

/// Refuses all queued attempts, so that their owners can place them elsewhere.
void refuseAllQueued(AgentState &state, Step &step, Protocol::AgentReason reason);

/// Updates the speed estimate with a running attempt that has just succeeded.
void updateSpeedEstimate(AgentState &state, const LiveAttempt &live);

} // namespace LaburnumFlow::Agent::Internal
