#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Schedules another attempt after one that ended without success, or fails the job.
void retryOrFail(Context &context, Submission &submission, std::uint16_t index, const Attempt &attempt, const Protocol::TaskUpdate &update);

/// Queues a task again after its backoff.
void handleRetryTimer(Context &context, const Base::TaskKey &key, std::uint64_t attemptNumber);

/// Remembers an agent where the task failed or was refused; later placements prefer other agents.
void avoidAgent(Task &task, const std::string &agent);

} // namespace LaburnumFlow::Dispatch::Internal
