#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Decides what follows an attempt that ended without success: another attempt or the failure of the job.
void retryOrFail(Context &context, Submission &submission, std::uint16_t index, const Attempt &attempt, const Protocol::TaskUpdate &update);

/// Ends the wait of a task in Backoff.
void handleRetryTimer(Context &context, const Base::TaskKey &key, std::uint64_t attemptNumber);

/// Remembers an agent where the task failed or was refused; later placements prefer others.
void avoidAgent(Task &task, const std::string &agent);

} // namespace LaburnumFlow::Dispatch::Internal
