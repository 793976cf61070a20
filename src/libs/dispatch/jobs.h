#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Sets body and deadline of a record, and queues its tasks. Tasks that were taken over with attempts continue from these.
void beginJob(Context &context, Submission &submission, BodyPointer body, Base::MonoTime deadline);

/// Answers the job at once as failed, and stops its remaining tasks.
void failJob(Context &context, Submission &submission, Protocol::Outcome outcome, FailureDetails details);

/// Stops the job. Answers it once the agents have confirmed the end of its live attempts, at the latest at its deadline.
void stopJob(Context &context, Submission &submission, FailureDetails details);

/// Ends a task that has no live attempt, and queues the next one of its ordering key.
void endTask(Context &context, Submission &submission, std::uint16_t index, TaskPhase phase);

/// Answers the job if all tasks succeeded, or if it is being stopped and has no live attempt.
void answerIfDone(Context &context, Submission &submission);

/// Sends the answer to all waiters and retains it for resubmissions.
void answerJob(Context &context, Submission &submission, Protocol::JobAnswer answer);

/// Stops the job up to jobStopLeadTime before its deadline.
void handleStopTimer(Context &context, const Base::Uuid &id);
/// Answers the job at its deadline, also while attempts are live.
void handleJobDeadline(Context &context, const Base::Uuid &id);
/// Releases the place of an ended task whose lost attempt can't run any more.
void handleOrderReleaseTimer(Context &context, const Base::TaskKey &key);

/// Removes a task from its order queue, and queues the task that is now at the front.
void advanceOrderQueue(Context &context, const std::string &orderKey, const Base::TaskKey &key);

/// Increments the counter of the failure's outcome and reason, such as "refused.overloaded".
void countFailure(Context &context, const Protocol::JobFailed &failed);

} // namespace LaburnumFlow::Dispatch::Internal
