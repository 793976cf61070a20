#pragma once

#include "context.h"
#include "placement.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Sends a new attempt of a queued task, or a hedge of a running one. The caller has checked the authority.
void startAttempt(Context &context, Submission &submission, std::uint16_t index, const PlacementChoice &choice, bool hedge);

/// Handles an agent's updates. Ignores updates of attempts that are not live at this incarnation of the agent.
void handleUpdates(Context &context, const Base::ProcessId &agent, const Protocol::TaskUpdates &updates);

/// Asks the agents to stop the live attempts of a task.
void cancelLiveAttempts(Context &context, Submission &submission, std::uint16_t index);

/// Asks an agent for the state of all live attempts there, and resends cancellations that it may have missed.
void queryAgent(Context &context, const std::string &agent);

/// Ends the live attempts at this incarnation of the agent as lost, once all their leases have ended.
void endFencedAttempts(Context &context, const Base::ProcessId &agent);

/// Adds a live attempt to its task, and counts it in the indexes and totals.
void addLiveAttempt(Context &context, Submission &submission, std::uint16_t index, Attempt attempt);

/// Removes the live attempt at this position of the task from its task, the indexes and the totals.
void removeLiveAttempt(DispatchState &state, Submission &submission, std::uint16_t index, std::size_t position);

/// Sends a hedge, a second attempt of a slow idempotent task, if the team's rules and budget allow it.
void handleHedgeTimer(Context &context, const Base::TaskKey &key, std::uint64_t attemptNumber);

} // namespace LaburnumFlow::Dispatch::Internal
