#include "ownersteps.h"

#include "jobsconstants.h"

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

/// Begins the occurrence, and its steps that wait for no others.
void begin(Context &context, Job &job, std::uint32_t occurrence)
{
    OwnerState &state = context.state;
    restartObjective(state, job);
    const OccurrencePosition position = beginOccurrence(job, occurrence);
    dropAdvice(state, job, position);
    logDecision(context, "job.occurrence", {{"id", formatId(job.id)}, {"occurrence", std::to_string(occurrence)}});
    updateNextOccurrence(state, job, true);
    if (formerRunsResolved(state)) {
        unblockOccurrence(context, job, position);
        return;
    }
    // The occurrence may have been due earlier by the clock of a former owner, which may have started its tasks.
    const std::uint32_t end = job.firstTask[firstStepAt(job, position + 1)];
    for (std::uint32_t flat = job.firstTask[firstStepAt(job, position)]; flat < end; ++flat) {
        setPhase(state, job, job.tasks[flat], Task::Phase::InDoubt);
    }
}

} // namespace

void beginDueOccurrences(Context &context)
{
    OwnerState &state = context.state;
    std::size_t begunTasks = 0;
    while (!state.occurrences.empty() && state.occurrences.begin()->first <= state.wall && begunTasks < maxTasksBegunPerTurn) {
        Job &job = state.jobs.at(state.occurrences.begin()->second);
        begunTasks += countTasks(job.spec);
        begin(context, job, job.occurrences.next());
    }
}

bool ensureOccurrenceBegun(Context &context, Job &job, const TaskRef &task)
{
    if (task.occurrence < job.spec.repetition.count && !job.occurrences.hasBegun(task.occurrence)) {
        begin(context, job, task.occurrence);
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
