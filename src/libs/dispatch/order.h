#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Enters an ordered task behind the earlier ones of its ordering key. True if it is its turn.
bool enterOrderQueue(DispatchState &state, const Submission &submission, Base::TaskKey key);

/// Takes a task out of its order. Returns the task whose turn it now is, if that changed.
std::optional<Base::TaskKey> leaveOrderQueue(DispatchState &state, const std::string &orderKey, Base::TaskKey key);

/// The key under which a submission's ordered tasks are kept.
std::string orderQueueKey(const Submission &submission);

/// True while a recovered attempt, whose ordering key is not known, may belong to the same key as this submission.
bool isBlockedByRecovered(const DispatchState &state, const Submission &submission);

} // namespace LaburnumFlow::Dispatch::Internal
