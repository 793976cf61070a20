#include "taskphase.h"

#include "jobshape.h"

namespace LaburnumFlow::Jobs::Internal {

namespace {

/// Returns the count of the step's tasks in the phase, or null if there is none.
std::uint32_t *countOfStep(StepProgress &progress, Task::Phase phase)
{
    switch (phase) {
    case Task::Phase::Blocked:
        return &progress.blockedTasks;
    case Task::Phase::Ready:
        return &progress.readyTasks;
    case Task::Phase::Done:
        return &progress.doneTasks;
    case Task::Phase::Active:
    case Task::Phase::InDoubt:
        return nullptr;
    }
    return nullptr;
}

void countLeft(OwnerState &state, Job &job, StepIndex step, Task::Phase phase)
{
    if (std::uint32_t *ofStep = countOfStep(job.steps[step], phase)) {
        --*ofStep;
    }
    job.readyTasks -= phase == Task::Phase::Ready ? 1 : 0;
    job.doneTasks -= phase == Task::Phase::Done ? 1 : 0;
    state.tasksInDoubt -= phase == Task::Phase::InDoubt ? 1 : 0;
}

void countEntered(OwnerState &state, Job &job, StepIndex step, Task::Phase phase)
{
    if (std::uint32_t *ofStep = countOfStep(job.steps[step], phase)) {
        ++*ofStep;
    }
    job.readyTasks += phase == Task::Phase::Ready ? 1 : 0;
    job.doneTasks += phase == Task::Phase::Done ? 1 : 0;
    state.tasksInDoubt += phase == Task::Phase::InDoubt ? 1 : 0;
}

} // namespace

void setPhase(OwnerState &state, Job &job, Task &task, Task::Phase phase)
{
    const StepIndex step = stepOfTask(job, task);
    const bool hadReady = job.steps[step].readyTasks > 0;
    countLeft(state, job, step, task.phase);
    task.phase = phase;
    countEntered(state, job, step, phase);
    const bool hasReady = job.steps[step].readyTasks > 0;
    if (hadReady != hasReady) {
        job.stepsToRequeue.push_back(step);
    }
}

} // namespace LaburnumFlow::Jobs::Internal
