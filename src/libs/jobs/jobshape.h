#pragma once

#include "ownerstate.h"

/// Maps between the identity of a task (occurrence, step and index) and its position in Job::tasks.
namespace LaburnumFlow::Jobs {

/// Creates a job with its tasks. Those of a repeated job are added by beginOccurrence().
Job makeJob(JobId id, QueueRules rules, JobSpec spec, Base::MonoTime arrivedAt);

/// Adds the tasks of the next occurrence.
void beginOccurrence(Job &job);

/// Returns the number of occurrences that have begun. A job that isn't repeated has one.
std::uint32_t occurrencesBegun(const Job &job);

/// Returns when the next occurrence is due; nothing if all have begun.
std::optional<Base::WallTime> nextOccurrenceAt(const Job &job);

/// Returns whether all tasks of all occurrences are done.
bool isComplete(const Job &job);

const StepSpec &stepSpec(const Job &job, StepIndex step);
StepIndex findStepIndex(const Job &job, const TaskRef &task);

/// Returns whether the task's occurrence has begun and contains the task.
bool hasTask(const Job &job, const TaskRef &task);

/// Conversions from and to positions in Job::tasks. The task must exist.
std::uint32_t flatIndex(const Job &job, const TaskRef &task);
StepIndex findStepIndex(const Job &job, std::uint32_t flat);
/// Returns the step of one of the job's tasks.
StepIndex stepOfTask(const Job &job, const Task &task);

const StepSpec &stepSpecOfTask(const Job &job, std::uint32_t flat);
TaskRef taskRef(const Job &job, std::uint32_t flat);

/// Returns the caller's estimate of a task's run time, or a default if there is none.
std::uint32_t effectiveEstimateMs(const StepSpec &step);

/// Returns the estimated run time of the longest chain of dependent steps.
std::uint32_t longestChainMs(const JobSpec &spec);

} // namespace LaburnumFlow::Jobs
