#include "retries.h"

#include "dispatchconstants.h"
#include "jobs.h"
#include "ledger.h"
#include "taskqueue.h"

#include "protocol/protocolconstants.h"

#include <algorithm>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

using Protocol::AgentReason;
using Protocol::AttemptState;
using Protocol::Outcome;
using Protocol::Reason;

/// Between half of the delay and one and a half times of it.
Base::Duration jittered(DispatchState &state, Base::Duration delay)
{
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    return Base::Duration(static_cast<Base::Duration::rep>(static_cast<double>(delay.count()) * factor(state.random)));
}

Base::Duration doubled(Base::Duration first, unsigned times, Base::Duration limit)
{
    return std::min(limit, first * (1U << std::min(times, 10U)));
}

void backOff(Context &context, Submission &submission, std::uint16_t index, Base::Duration delay)
{
    Task &task = submission.tasks[index];
    task.phase = TaskPhase::Backoff;
    addWaiting(context, submission, index);
    context.arm(context.state.now + delay, TimerKind::TaskRetry, {submission.id, index}, task.nextAttempt);
}

/// The attempt certainly did not start, so the task goes elsewhere without using up the retry budget.
void placeElsewhere(Context &context, Submission &submission, std::uint16_t index, const Attempt &attempt, AgentReason reason)
{
    Task &task = submission.tasks[index];
    context.count("retry.not-started");
    if (reason == AgentReason::DeadlinePast) {
        closeJob(context, submission, {Reason::DeadlineExceeded, index, 0, {}});
        return;
    }
    if (++task.refusals > maxRefusals) {
        closeJob(context, submission, {Reason::Overloaded, index, 1000, "refused by too many agents"});
        return;
    }
    avoidAgent(task, attempt.agent);
    const Base::Duration delay = doubled(refusalBackoff, task.refusals - 1U, refusalBackoffLimit);
    backOff(context, submission, index, jittered(context.state, delay));
}

/// Looked up at the time of the retry: rules may have been flipped while the attempt ran.
bool mayRepeat(Context &context, const Submission &submission, std::uint16_t index, const Attempt &attempt)
{
    const auto *rules = kindRules(Cluster::rulesFor(context.cluster, submission.team), submission.body->tasks[index].kind);
    return attempt.idempotent && rules != nullptr && rules->idempotent;
}

bool takeRetryToken(Context &context, const Submission &submission)
{
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, submission.team);
    TeamState &team = teamOf(context.state, rules, submission.team);
    if (rules == nullptr || rules->retryBudget <= 0 || team.retryTokens < 1) {
        return false;
    }
    team.retryTokens -= 1;
    return true;
}

std::string_view retryCounter(AttemptState state)
{
    switch (state) {
    case AttemptState::Failed:
        return "retry.task-failed";
    case AttemptState::Stopped:
        return "retry.attempt-stopped";
    default:
        return "retry.attempt-lost";
    }
}

Base::Duration retryDelay(DispatchState &state, const Task &task, const Protocol::TaskUpdate &update)
{
    const Base::Duration delay = jittered(state, doubled(retryBackoff, task.ran - 1U, 1s));
    // After a broken connection the backend server may run the task on until its lease ends.
    const bool mayRunOn = update.state == AttemptState::Lost && update.reason != AgentReason::Fenced;
    return mayRunOn ? delay + Protocol::leaseDuration + Protocol::leaseMargin : delay;
}

} // namespace

void avoidAgent(Task &task, const std::string &agent)
{
    if (std::find(task.avoid.begin(), task.avoid.end(), agent) != task.avoid.end()) {
        return;
    }
    if (task.avoid.size() >= avoidedAgents) {
        task.avoid.erase(task.avoid.begin());
    }
    task.avoid.push_back(agent);
}

void decideAfterEnd(Context &context, Submission &submission, std::uint16_t index, const Attempt &attempt, const Protocol::TaskUpdate &update)
{
    Task &task = submission.tasks[index];
    if (update.state == AttemptState::Refused) {
        placeElsewhere(context, submission, index, attempt, update.reason);
        return;
    }
    ++task.ran;
    const bool endKnown = update.state == AttemptState::Failed;
    task.lost = task.lost || !endKnown;
    const Outcome outcome = endKnown ? Outcome::Failed : Outcome::Unknown;
    if (update.state == AttemptState::Stopped && update.reason == AgentReason::RunTimeLimit) {
        failJob(context, submission, Outcome::Failed, {Reason::RunTimeLimit, index, 0, update.result});
    } else if (!mayRepeat(context, submission, index, attempt)) {
        failJob(context, submission, outcome, {endKnown ? Reason::TaskFailed : Reason::AttemptLost, index, 0, update.result});
    } else if (task.ran >= maxAttempts) {
        failJob(context, submission, outcome, {Reason::RetriesExhausted, index, 0, update.result});
    } else if (!takeRetryToken(context, submission)) {
        context.count("retry.budget-exhausted");
        failJob(context, submission, outcome, {Reason::RetriesExhausted, index, 0, update.result});
    } else {
        context.count(retryCounter(update.state));
        avoidAgent(task, attempt.agent);
        backOff(context, submission, index, retryDelay(context.state, task, update));
    }
}

void retryDue(Context &context, const Base::TaskKey &key, std::uint64_t attemptNumber)
{
    Submission *submission = find(context.state, key.submission);
    if (submission == nullptr || key.index >= submission->tasks.size()) {
        return;
    }
    const Task &task = submission->tasks[key.index];
    if (task.phase == TaskPhase::Backoff && task.nextAttempt == attemptNumber) {
        enqueue(context, *submission, key.index, true);
    }
}

} // namespace LaburnumFlow::Dispatch::Internal
