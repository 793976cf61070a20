#include "waitingsteps.h"

namespace LaburnumFlow::Jobs {

namespace {

/// Returns whether the workers that may run the step depend on its own tasks, tickets or reservations.
bool hasOwnGroup(const Job &job, const StepSpec &step)
{
    return step.gang || step.longRunning || step.maxPerWorker > 0 || job.rules.advice.has_value();
}

void updateWaiting(OwnerState &state, Job &job, StepIndex step, bool waits)
{
    StepProgress &progress = job.steps[step];
    if (progress.waiting == waits) {
        return;
    }
    progress.waiting = waits;
    const PlacementRequirements requirements = placementRequirements(job, step);
    const WaitingStep waiting{*job.queuedAt, step};
    if (waits) {
        state.waitingSteps[requirements].insert(waiting);
    } else {
        state.waitingSteps.at(requirements).erase(waiting);
    }
}

void listStepsWithReadyTasks(Job &job)
{
    job.stepsToRequeue.clear();
    for (StepIndex step = 0; step < job.steps.size(); ++step) {
        if (job.steps[step].readyTasks > 0) {
            job.stepsToRequeue.push_back(step);
        }
    }
}

} // namespace

PlacementRequirements placementRequirements(const Job &job, StepIndex step)
{
    const StepSpec &spec = stepSpec(job, step);
    PlacementRequirements requirements{{job.rules.service, spec.requiredLabel, spec.dataRack, std::nullopt}, spec.need};
    if (hasOwnGroup(job, spec)) {
        requirements.worker.onlyStep.emplace(job.id, step);
    }
    return requirements;
}

void enterQueue(OwnerState &state, Job &job)
{
    const QueuePlace place = queuePlace(job);
    if (job.queuedAt && *job.queuedAt != place) {
        leaveQueue(state, job);
    }
    if (!job.queuedAt) {
        job.queuedAt = place;
        state.ready.insert(place);
        listStepsWithReadyTasks(job);
    }
    for (const StepIndex step : job.stepsToRequeue) {
        updateWaiting(state, job, step, job.steps[step].readyTasks > 0);
    }
    job.stepsToRequeue.clear();
}

void leaveQueue(OwnerState &state, Job &job)
{
    if (!job.queuedAt) {
        return;
    }
    for (StepIndex step = 0; step < job.steps.size(); ++step) {
        updateWaiting(state, job, step, false);
    }
    state.ready.erase(*job.queuedAt);
    job.queuedAt.reset();
    // Room may have been reserved for the job.
    state.schedulingDue |= !state.ready.empty();
}

void dropEmptyGroups(OwnerState &state)
{
    std::erase_if(state.waitingSteps, [](const auto &group) { return group.second.empty(); });
}

} // namespace LaburnumFlow::Jobs
