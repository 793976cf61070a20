#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Gives a record its body and deadline, and makes its tasks wait for their start. Tasks that were taken over with
/// attempts continue from there.
void beginJob(Context &context, Submission &submission, BodyPointer body, Base::MonoTime deadline);

/// Answers the job as failed now, and stops what is left of it.
void failJob(Context &context, Submission &submission, Protocol::Outcome outcome, FailureDetails details);

/// Stops the job and answers it once the agents have confirmed what did not start, at the latest at its deadline.
void stopJob(Context &context, Submission &submission, FailureDetails details);

/// Ends a task that has no live attempt and lets the next one of its order go ahead.
void endTask(Context &context, Submission &submission, std::uint16_t index, TaskPhase phase);

/// Answers the job if all tasks succeeded, or if it is closing and no attempt is live any more.
void answerIfDone(Context &context, Submission &submission);

void answerJob(Context &context, Submission &submission, Protocol::JobAnswer answer);

void handleStopTimer(Context &context, const Base::Uuid &id);
void handleJobDeadline(Context &context, const Base::Uuid &id);
void handleOrderReleaseTimer(Context &context, const Base::TaskKey &key);

/// Takes a task out of its order and queues the one whose turn it now is.
void advanceOrderQueue(Context &context, const std::string &orderKey, const Base::TaskKey &key);

/// Counts a refusal or failure under the name of its reason.
void countFailure(Context &context, const Protocol::JobFailed &failed);

} // namespace LaburnumFlow::Dispatch::Internal
