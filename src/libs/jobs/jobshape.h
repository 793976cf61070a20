#pragma once

#include "ownerstate.h"

/// How the tasks of a job lie: by occurrence, step and index in its spec, and one after the other in Job::tasks.
namespace LaburnumFlow::Jobs {

/// The tasks of a repeated job come with beginOccurrence().
Job makeJob(JobId id, QueueRules rules, JobSpec spec, Base::MonoTime arrivedAt);

/// Adds the tasks of the next occurrence.
void beginOccurrence(Job &job);

/// Occurrences that have begun.
std::uint32_t occurrencesBegun(const Job &job);

/// When the next occurrence is due; nothing if all have begun.
std::optional<Base::WallTime> nextOccurrenceAt(const Job &job);

/// Whether all tasks of all occurrences are done.
bool isComplete(const Job &job);

const StepSpec &stepSpec(const Job &job, StepIndex step);
StepIndex findStepIndex(const Job &job, const TaskRef &task);

/// Whether the task's occurrence has begun and has such a task.
bool hasTask(const Job &job, const TaskRef &task);

/// Positions in Job::tasks. The task must be there.
std::uint32_t flatIndex(const Job &job, const TaskRef &task);
StepIndex findStepIndex(const Job &job, std::uint32_t flat);
const StepSpec &stepSpecOfTask(const Job &job, std::uint32_t flat);
TaskRef taskRef(const Job &job, std::uint32_t flat);

std::uint32_t effectiveEstimateMs(const StepSpec &step);

/// Estimated run time of the longest chain of steps.
std::uint32_t longestChainMs(const JobSpec &spec);

} // namespace LaburnumFlow::Jobs
