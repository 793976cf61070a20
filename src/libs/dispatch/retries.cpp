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

/// Returns a random duration between 0.5 and 1.5 times the delay.
Base::Duration jittered(DispatchState &state, Base::Duration delay)
{
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    return Base::Duration(static_cast<Base::Duration::rep>(static_cast<double>(delay.count()) * factor(state.random)));
}

Base::Duration exponentialDelay(Base::Duration initial, unsigned doublings, Base::Duration max)
{
    return std::min(max, initial * (1U << std::min(doublings, 10U)));
}

void startBackoff(Context &context, Submission &submission, std::uint16_t index, Base::Duration delay)
{
    Task &task = submission.tasks[index];
    task.phase = TaskPhase::Backoff;
    addWaitingTask(context, submission, index);
    context.armTimer(context.state.now + delay, TimerKind::TaskRetry, {submission.id, index}, task.nextAttemptNumber);
}

/// Retries a task whose attempt certainly did not start. This uses none of the retry budget; other agents are preferred.
void retryElsewhere(Context &context, Submission &submission, std::uint16_t index, const Attempt &attempt, AgentReason reason)
{
    Task &task = submission.tasks[index];
    context.count("retry.not-started");
    if (reason == AgentReason::DeadlinePast) {
        stopJob(context, submission, {Reason::DeadlineExceeded, index, 0, {}});
        return;
    }
    if (++task.refusalCount > maxRefusals) {
        stopJob(context, submission, {Reason::Overloaded, index, 1000, "agents refused too many attempts of the task"});
        return;
    }
    avoidAgent(task, attempt.agent);
    const Base::Duration delay = exponentialDelay(refusalDelayInitial, task.refusalCount - 1U, refusalDelayMax);
    startBackoff(context, submission, index, jittered(context.state, delay));
}

/// Checks the present rules as well, since they may have changed while the attempt ran.
bool mayRetry(Context &context, const Submission &submission, std::uint16_t index, const Attempt &attempt)
{
    const auto *rules = kindRules(Cluster::rulesFor(context.cluster, submission.team), submission.body->tasks[index].kind);
    return attempt.idempotent && rules != nullptr && rules->idempotent;
}

bool tryAcquireRetryToken(Context &context, const Submission &submission)
{
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, submission.team);
    TeamState &team = teamState(context.state, rules, submission.team);
    if (rules == nullptr || rules->retryBudget <= 0 || team.retryTokens < 1) {
        return false;
    }
    team.retryTokens -= 1;
    return true;
}

std::string_view retryCounterName(AttemptState state)
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
    const Base::Duration delay = jittered(state, exponentialDelay(retryDelayInitial, task.attemptsRun - 1U, 1s));
    // After a broken connection the backend server may go on running the task until its lease ends.
    const bool mayRunOn = update.state == AttemptState::Lost && update.reason != AgentReason::Fenced;
    return mayRunOn ? delay + Protocol::leaseDuration + Protocol::leaseMargin : delay;
}

} // namespace

void avoidAgent(Task &task, const std::string &agent)
{
    if (std::find(task.avoidedAgents.begin(), task.avoidedAgents.end(), agent) != task.avoidedAgents.end()) {
        return;
    }
    if (task.avoidedAgents.size() >= maxAvoidedAgents) {
        task.avoidedAgents.erase(task.avoidedAgents.begin());
    }
    task.avoidedAgents.push_back(agent);
}

void retryOrFail(Context &context, Submission &submission, std::uint16_t index, const Attempt &attempt, const Protocol::TaskUpdate &update)
{
    Task &task = submission.tasks[index];
    if (submission.mayRunUnreported) {
        // The former owner may have started the next attempt at an agent that did not answer.
        task.outcomeUnknown = true;
        failJob(context, submission, Outcome::Unknown, {Reason::AttemptLost, index, 0, update.result});
        return;
    }
    if (update.state == AttemptState::Refused) {
        retryElsewhere(context, submission, index, attempt, update.reason);
        return;
    }
    ++task.attemptsRun;
    const bool endKnown = update.state == AttemptState::Failed;
    task.outcomeUnknown = task.outcomeUnknown || !endKnown;
    const Outcome outcome = endKnown ? Outcome::Failed : Outcome::Unknown;
    if (update.state == AttemptState::Stopped && update.reason == AgentReason::RunTimeLimit) {
        failJob(context, submission, Outcome::Failed, {Reason::RunTimeLimit, index, 0, update.result});
    } else if (!mayRetry(context, submission, index, attempt)) {
        failJob(context, submission, outcome, {endKnown ? Reason::TaskFailed : Reason::AttemptLost, index, 0, update.result});
    } else if (task.attemptsRun >= maxAttempts) {
        failJob(context, submission, outcome, {Reason::RetriesExhausted, index, 0, update.result});
    } else if (!tryAcquireRetryToken(context, submission)) {
        context.count("retry.budget-exhausted");
        failJob(context, submission, outcome, {Reason::RetriesExhausted, index, 0, update.result});
    } else {
        context.count(retryCounterName(update.state));
        avoidAgent(task, attempt.agent);
        startBackoff(context, submission, index, retryDelay(context.state, task, update));
    }
}

void handleRetryTimer(Context &context, const Base::TaskKey &key, std::uint64_t attemptNumber)
{
    Submission *submission = findSubmission(context.state, key.submission);
    if (submission == nullptr || key.index >= submission->tasks.size()) {
        return;
    }
    const Task &task = submission->tasks[key.index];
    if (task.phase == TaskPhase::Backoff && task.nextAttemptNumber == attemptNumber) {
        enqueue(context, *submission, key.index, true);
    }
}

} // namespace LaburnumFlow::Dispatch::Internal
