#include "scheduler.h"

#include "attempts.h"
#include "jobs.h"
#include "ledger.h"
#include "order.h"
#include "placement.h"
#include "taskqueue.h"

namespace LaburnumFlow::Dispatch::Internal {

namespace {

/// A start is given up when less than this share of its expected run time is left; the estimate may be too high.
constexpr double neededTimeShare = 0.5;

void park(DispatchState &state, Submission &submission, std::uint16_t index)
{
    dequeue(state, submission, index, TaskPhase::Parked);
    state.parked[submission.partition].push_back({submission.id, index});
}

bool mayStart(Context &context, const Submission &submission, const Task &task)
{
    if (Cluster::authority(context.cluster, submission.partition) != Cluster::Authority::Serving) {
        return false;
    }
    context.state.servingSeen = context.state.now;
    return !task.ordered || !blockedByRecovered(context.state, submission);
}

/// Places one selected task. False if no agent has room for it.
bool place(Context &context, const Selection &selection)
{
    DispatchState &state = context.state;
    Submission &submission = *find(state, selection.key.submission);
    const std::uint16_t index = selection.key.index;
    const Task &task = submission.tasks[index];
    if (!mayStart(context, submission, task)) {
        park(state, submission, index);
        return true;
    }
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, selection.team);
    const Settings::KindRules *kind = kindRules(rules, selection.kind);
    if (kind == nullptr) {
        closeJob(context, submission, {rules == nullptr ? Protocol::Reason::UnknownTeam : Protocol::Reason::UnknownKind, index, 0, {}});
        return true;
    }
    if (task.ran > 0 && !kind->idempotent) {
        // The rule was flipped after the retry had been decided.
        const auto outcome = task.lost ? Protocol::Outcome::Unknown : Protocol::Outcome::Failed;
        failJob(context, submission, outcome, {task.lost ? Protocol::Reason::AttemptLost : Protocol::Reason::TaskFailed, index, 0, task.last.result});
        return true;
    }
    const double cost = expectedRunMs(state, rules, selection.team, selection.kind);
    if (remainingMs(submission.deadline, state.now) < neededTimeShare * cost) {
        closeJob(context, submission, {Protocol::Reason::DeadlineExceeded, index, 0, "too little time was left to run the task"});
        return true;
    }
    const bool longWork = isLongWork(state, rules, selection.team, selection.kind);
    const PlacementChoice choice = choosePlacement(context, {selection.kind, cost, longWork, kind->idempotent, &task});
    if (choice.agent == nullptr) {
        return false;
    }
    startAttempt(context, submission, index, choice, false);
    return true;
}

} // namespace

void schedule(Context &context)
{
    DispatchState &state = context.state;
    ++state.round;
    while (!state.openAgents.empty()) {
        const std::optional<Selection> selection = selectNext(context);
        if (!selection) {
            return;
        }
        if (!place(context, *selection)) {
            state.teams.find(selection->team)->second.kinds.find(selection->kind)->second.blockedRound = state.round;
        }
    }
}

void unpark(Context &context)
{
    DispatchState &state = context.state;
    if (state.parked.empty()) {
        return;
    }
    std::vector<Base::TaskKey> ready;
    std::erase_if(state.parked, [&](auto &entry) {
        if (Cluster::authority(context.cluster, entry.first) != Cluster::Authority::Serving) {
            return false;
        }
        ready.insert(ready.end(), entry.second.begin(), entry.second.end());
        return true;
    });
    for (const Base::TaskKey &key : ready) {
        Submission *submission = find(state, key.submission);
        if (submission != nullptr && key.index < submission->tasks.size() && submission->tasks[key.index].phase == TaskPhase::Parked) {
            enqueue(context, *submission, key.index, true);
        }
    }
}

} // namespace LaburnumFlow::Dispatch::Internal
