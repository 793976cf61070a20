#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// The record of a submission, or nothing.
Submission *findSubmission(DispatchState &state, const Base::Uuid &id);

/// Adds an empty record that lives for the horizon.
Submission &addRecord(Context &context, const Base::Uuid &id, Protocol::Partition partition, std::string_view team, std::uint64_t digest);

/// Keeps the answer of an ended job within the byte bound; the oldest answers are dropped first.
void retainAnswer(Context &context, Submission &submission);

/// Frees what is needed only while the job or an attempt of it lives.
void releaseIfEnded(Submission &submission);

/// Removes the record if it has reached its end of life; otherwise arms the timer again.
void expireRecord(Context &context, const Base::Uuid &id);

/// The status of a submission for its team; phase Unknown if there is none.
Protocol::JobStatus jobStatus(DispatchState &state, const Base::Uuid &id, std::string_view team);

/// The record of one submission for a handover.
Protocol::LedgerRecord makeHandoverRecord(const DispatchState &state, const Submission &submission);

} // namespace LaburnumFlow::Dispatch::Internal
