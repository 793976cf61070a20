#pragma once

#include "ownerstate.h"

/// Maps between the identity of a task (occurrence, step and index) and its position in Job::tasks.
namespace LaburnumFlow::Jobs {

/// Creates a job with its tasks. Those of a repeated job are added by beginOccurrence().
Job makeJob(JobId id, QueueRules rules, JobSpec spec, Base::MonoTime arrivedAt);

/// Adds the tasks of an occurrence that hasn't begun, in place of those of an occurrence that is done if there is one. Returns its position.
OccurrencePosition beginOccurrence(Job &job, std::uint32_t occurrence);

/// Adds the tasks of a repeated job that had begun these occurrences, at the positions in which they are given.
void restoreOccurrences(Job &job, std::uint32_t next, std::vector<std::uint32_t> occurrences);

/// Returns the number of tasks of one occurrence.
std::uint32_t countTasks(const JobSpec &spec);

/// Returns when the next occurrence is due; nothing if all have begun, or if the job has so many open tasks that an earlier one must end first.
std::optional<Base::WallTime> nextOccurrenceAt(const Job &job);

/// Returns whether all tasks of the occurrence at the position are done.
bool isOccurrenceDone(const Job &job, OccurrencePosition position);

/// Returns whether all tasks of all occurrences are done.
bool isComplete(const Job &job);

const StepSpec &stepSpec(const Job &job, StepIndex step);

/// Returns whether the job holds the task: its occurrence has begun and isn't forgotten.
bool hasTask(const Job &job, const TaskRef &task);

/// Returns whether the task's occurrence is done and the job no longer holds it.
bool isForgotten(const Job &job, const TaskRef &task);

/// Returns whether the task is one of the step.
bool isOfStep(const Job &job, const TaskRef &task, StepIndex step);

/// Returns the first step of the occurrence at the position.
StepIndex firstStepAt(const Job &job, OccurrencePosition position);
OccurrencePosition positionOfStep(const Job &job, StepIndex step);

/// Conversions from and to positions in Job::tasks. The job must hold the task.
StepIndex findStepIndex(const Job &job, const TaskRef &task);
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
