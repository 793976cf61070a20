#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Returns the record of a submission, or null.
Submission *findSubmission(DispatchState &state, const Base::Uuid &id);

/// Adds an empty record that is kept for the deduplication window.
Submission &addRecord(Context &context, const Base::Uuid &id, Protocol::Partition partition, std::string_view team, std::uint64_t digest);

/// Retains the answer of an ended job; drops the oldest answers beyond maxRetainedAnswerBytes.
void retainAnswer(Context &context, Submission &submission);

/// Frees the tasks and the body once the job is answered and has no live attempt.
void releaseIfEnded(Submission &submission);

/// Removes the record if it has expired. Arms the timer again if the job or a live attempt still needs it.
void expireRecord(Context &context, const Base::Uuid &id);

/// Returns the status of a submission for its team; phase Unknown if the team has no such submission.
Protocol::JobStatus jobStatus(DispatchState &state, const Base::Uuid &id, std::string_view team);

/// Returns the record of one submission for a handover.
Protocol::LedgerRecord makeHandoverRecord(const DispatchState &state, const Submission &submission);

} // namespace LaburnumFlow::Dispatch::Internal
