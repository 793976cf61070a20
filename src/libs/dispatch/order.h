#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Appends an ordered task to the queue of its ordering key. Returns whether it is at the front.
bool enterOrderQueue(DispatchState &state, const Submission &submission, Base::TaskKey key);

/// Removes a task from the queue of its ordering key. Returns the new front, if that changed.
std::optional<Base::TaskKey> leaveOrderQueue(DispatchState &state, const std::string &orderKey, Base::TaskKey key);

/// Returns the key of the submission's queue in DispatchState::orderQueues.
std::string orderQueueKey(const Submission &submission);

/// True while a recovered attempt, whose ordering key is not known, may have the same ordering key as this submission.
bool isBlockedByRecovered(const DispatchState &state, const Submission &submission);

} // namespace LaburnumFlow::Dispatch::Internal
