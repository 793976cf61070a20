#include "ownersteps.h"

namespace LaburnumFlow::Jobs::Internal {

namespace {

/// Restarts the job's objective if all earlier occurrences are done. Each occurrence is expected in time from when it is due, so the oldest open one counts.
void restartObjective(OwnerState &state, Job &job)
{
    if (job.doneTasks != job.tasks.size()) {
        return;
    }
    job.arrivedAt = state.now;
    job.timeliness = Timeliness::InTime;
    job.starved = false;
}

void beginNextOccurrence(Context &context, Job &job)
{
    OwnerState &state = context.state;
    restartObjective(state, job);
    const std::size_t first = job.tasks.size();
    beginOccurrence(job);
    logDecision(context, "job.occurrence", {{"id", formatId(job.id)}, {"occurrence", std::to_string(occurrencesBegun(job) - 1)}});
    if (formerRunsResolved(state)) {
        return;
    }
    // The occurrence may have been due earlier by the clock of a former owner, which may have started its tasks.
    for (std::size_t flat = first; flat < job.tasks.size(); ++flat) {
        job.tasks[flat].phase = Task::Phase::InDoubt;
        ++state.tasksInDoubt;
    }
}

} // namespace

void beginDueOccurrences(Context &context)
{
    OwnerState &state = context.state;
    while (!state.occurrences.empty() && state.occurrences.begin()->first <= state.wall) {
        Job &job = state.jobs.at(state.occurrences.begin()->second);
        beginNextOccurrence(context, job);
        updateNextOccurrence(state, job, true);
        unblockSteps(context, job);
    }
}

bool ensureOccurrenceBegun(Context &context, Job &job, const TaskRef &task)
{
    if (task.occurrence < job.spec.repetition.count && occurrencesBegun(job) <= task.occurrence) {
        while (occurrencesBegun(job) <= task.occurrence) {
            beginNextOccurrence(context, job);
        }
        updateNextOccurrence(context.state, job, true);
        unblockSteps(context, job);
    }
    return hasTask(job, task);
}

void updateNextOccurrence(OwnerState &state, Job &job, bool enabled)
{
    const std::optional<Base::WallTime> next = enabled && job.stored && !job.finishing ? nextOccurrenceAt(job) : std::nullopt;
    if (next == job.nextOccurrence) {
        return;
    }
    if (job.nextOccurrence) {
        state.occurrences.erase({*job.nextOccurrence, job.id});
    }
    job.nextOccurrence = next;
    if (next) {
        state.occurrences.emplace(*next, job.id);
    }
}

} // namespace LaburnumFlow::Jobs::Internal
