#pragma once

#include "ownerharness.h"

#include <string>

/// Jobs for the tests of waiting.
namespace LaburnumFlow::Jobs::Testing {

constexpr const char *commonLabel = "a";
constexpr const char *rareLabel = "b"; ///< Of one worker, or of none.
constexpr std::uint32_t workerMilli = 32'000; ///< Processor capacity of a worker, in thousandths of a core.

/// Submits many stored jobs like the given one, which can't start, and lets their commits succeed. Their IDs begin at 1000.
void submitBlocked(OwnerHarness &owner, const SubmitCall &blocked);

/// Lets all commits succeed while the agents report.
void commitWithReports(OwnerHarness &owner);

/// Submits a stored job and lets its commit succeed, while the agents report.
void submitAndCommit(OwnerHarness &owner, const SubmitCall &call);

/// Returns the submission with a label that its workers must have.
SubmitCall requiring(SubmitCall call, const std::string &label);

/// Returns the submission with tasks that run until they are cancelled, one on a worker.
SubmitCall longRunning(SubmitCall call);

/// Returns the submission with tasks that run together or not at all.
SubmitCall gang(SubmitCall call);

/// Returns the submission in a queue whose workers the advice service chooses.
SubmitCall advised(SubmitCall call);

/// Returns how often tasks of the job were ordered to start.
std::size_t startsOf(const OwnerHarness &owner, JobId job);

} // namespace LaburnumFlow::Jobs::Testing
