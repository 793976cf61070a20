#include "scheduler.h"

#include "attempts.h"
#include "jobs.h"
#include "ledger.h"
#include "order.h"
#include "placement.h"
#include "taskqueue.h"

namespace LaburnumFlow::Dispatch::Internal {

namespace {

/// A task is not started if less than this share of its expected run time is left. Below 1, as the estimate may be too high.
constexpr double minRemainingTimeShare = 0.5;

void suspendTask(DispatchState &state, Submission &submission, std::uint16_t index)
{
    dequeue(state, submission, index, TaskPhase::Suspended);
    state.suspendedTasks[submission.partition].push_back({submission.id, index});
}

bool mayStart(Context &context, const Submission &submission, const Task &task)
{
    if (Cluster::authority(context.cluster, submission.partition) != Cluster::Authority::Serving) {
        return false;
    }
    context.state.lastServingAt = context.state.now;
    return !task.ordered || !isBlockedByRecovered(context.state, submission);
}

/// Starts the selected task, or suspends or ends it if it must not start. Returns false if no agent has free capacity for it.
bool handleSelection(Context &context, const Selection &selection)
{
    DispatchState &state = context.state;
    Submission &submission = *findSubmission(state, selection.key.submission);
    const std::uint16_t index = selection.key.index;
    const Task &task = submission.tasks[index];
    if (!mayStart(context, submission, task)) {
        suspendTask(state, submission, index);
        return true;
    }
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, selection.team);
    const Settings::KindRules *kind = kindRules(rules, selection.kind);
    if (kind == nullptr) {
        stopJob(context, submission, {rules == nullptr ? Protocol::Reason::UnknownTeam : Protocol::Reason::UnknownKind, index, 0, {}});
        return true;
    }
    if (task.attemptsRun > 0 && !kind->idempotent) {
        // The kind ceased to be idempotent after the retry was scheduled.
        const auto outcome = task.outcomeUnknown ? Protocol::Outcome::Unknown : Protocol::Outcome::Failed;
        failJob(
            context, submission, outcome, {task.outcomeUnknown ? Protocol::Reason::AttemptLost : Protocol::Reason::TaskFailed, index, 0, task.lastEnd.result});
        return true;
    }
    const double cost = expectedRunMs(state, rules, selection.team, selection.kind);
    if (remainingMs(submission.deadline, state.now) < minRemainingTimeShare * cost) {
        stopJob(context, submission, {Protocol::Reason::DeadlineExceeded, index, 0, "too little time was left before the deadline to run the task"});
        return true;
    }
    const bool longTask = isLongTask(state, rules, selection.team, selection.kind);
    const PlacementChoice choice = choosePlacement(context, {selection.kind, cost, longTask, kind->idempotent, &task});
    if (choice.agent == nullptr) {
        return false;
    }
    startAttempt(context, submission, index, choice, false);
    return true;
}

} // namespace

void startQueuedTasks(Context &context)
{
    DispatchState &state = context.state;
    ++state.schedulingRound;
    while (!state.availableAgents.empty()) {
        const std::optional<Selection> selection = selectNext(context);
        if (!selection) {
            return;
        }
        if (!handleSelection(context, *selection)) {
            state.teams.find(selection->team)->second.kinds.find(selection->kind)->second.blockedInRound = state.schedulingRound;
        }
    }
}

void resumeSuspendedTasks(Context &context)
{
    DispatchState &state = context.state;
    if (state.suspendedTasks.empty()) {
        return;
    }
    std::vector<Base::TaskKey> ready;
    std::erase_if(state.suspendedTasks, [&](auto &entry) {
        if (Cluster::authority(context.cluster, entry.first) != Cluster::Authority::Serving) {
            return false;
        }
        ready.insert(ready.end(), entry.second.begin(), entry.second.end());
        return true;
    });
    for (const Base::TaskKey &key : ready) {
        Submission *submission = findSubmission(state, key.submission);
        if (submission != nullptr && key.index < submission->tasks.size() && submission->tasks[key.index].phase == TaskPhase::Suspended) {
            enqueue(context, *submission, key.index, true);
        }
    }
}

} // namespace LaburnumFlow::Dispatch::Internal
