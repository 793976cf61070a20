#pragma once

#include "context.h"
#include "placement.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Sends a new attempt of a queued task, or of a running one as a hedge. The caller has checked the authority.
void startAttempt(Context &context, Submission &submission, std::uint16_t index, const PlacementChoice &choice, bool hedge);

/// Handles an agent's updates. Those of attempts that are not live at this incarnation are ignored.
void handleUpdates(Context &context, const Base::ProcessId &agent, const Protocol::TaskUpdates &updates);

/// Asks the agents to stop the live attempts of a task.
void cancelLiveAttempts(Context &context, Submission &submission, std::uint16_t index);

/// Asks an agent for all live attempts there, and repeats cancellations that it may have missed.
void queryAgent(Context &context, const std::string &agent);

/// All leases at this incarnation have ended.
void endFencedAttempts(Context &context, const Base::ProcessId &agent);

/// Counts a live attempt in the indexes and totals, and takes it out again.
void addLiveAttempt(Context &context, Submission &submission, std::uint16_t index, Attempt attempt);
void removeLiveAttempt(DispatchState &state, Submission &submission, std::uint16_t index, std::size_t position);

/// Sends a second attempt of a slow idempotent task if the team's rules and budget allow it.
void handleHedgeTimer(Context &context, const Base::TaskKey &key, std::uint64_t attemptNumber);

} // namespace LaburnumFlow::Dispatch::Internal
