#include "jobs.h"

#include "attempts.h"
#include "dispatchconstants.h"
#include "ledger.h"
#include "order.h"
#include "relay.h"
#include "retries.h"
#include "taskqueue.h"

#include <algorithm>
#include <array>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

using Protocol::JobFailed;
using Protocol::Outcome;

constexpr std::size_t reasonCount = static_cast<std::size_t>(Protocol::Reason::NotFound) + 1;

std::array<std::string, reasonCount> counterNames(std::string_view prefix)
{
    std::array<std::string, reasonCount> names;
    for (std::size_t i = 0; i < reasonCount; ++i) {
        names[i] = std::string(prefix) + std::string(Protocol::toString(static_cast<Protocol::Reason>(i)));
    }
    return names;
}

bool isWaiting(TaskPhase phase)
{
    return phase == TaskPhase::Blocked || phase == TaskPhase::Queued || phase == TaskPhase::Suspended || phase == TaskPhase::Backoff;
}

void dropTask(Context &context, Submission &submission, std::uint16_t index)
{
    const TaskPhase phase = submission.tasks[index].phase;
    if (phase == TaskPhase::Queued) {
        dequeue(context.state, submission, index, TaskPhase::Dropped);
    }
    if (isWaiting(phase)) {
        removeWaitingTask(context.state, submission, index);
        endTask(context, submission, index, TaskPhase::Dropped);
    } else if (phase == TaskPhase::Active && !submission.tasks[index].liveAttempts.empty()) {
        cancelLiveAttempts(context, submission, index);
    } else if (phase == TaskPhase::Active || phase == TaskPhase::New) {
        endTask(context, submission, index, TaskPhase::Dropped);
    }
}

void dropTasks(Context &context, Submission &submission)
{
    for (std::size_t i = 0; i < submission.tasks.size(); ++i) {
        dropTask(context, submission, static_cast<std::uint16_t>(i));
    }
}

Outcome currentOutcome(const Submission &submission)
{
    const bool unknownTask = std::any_of(
        submission.tasks.begin(), submission.tasks.end(), [](const Task &task) { return task.outcomeUnknown && task.phase != TaskPhase::Succeeded; });
    if (submission.liveAttemptCount > 0 || unknownTask) {
        return Outcome::Unknown;
    }
    return submission.startedTasks > 0 ? Outcome::Failed : Outcome::NotRun;
}

void answerStopped(Context &context, Submission &submission)
{
    const FailureDetails &details = *submission.stopping;
    answerJob(context, submission, JobFailed{currentOutcome(submission), details.reason, details.retryAfterMs, details.taskIndex, details.detail});
}

void answerSucceeded(Context &context, Submission &submission)
{
    Protocol::JobSucceeded succeeded;
    succeeded.results.reserve(submission.tasks.size());
    for (Task &task : submission.tasks) {
        succeeded.results.push_back(std::move(task.lastEnd.result));
    }
    context.count("jobs.succeeded");
    answerJob(context, submission, std::move(succeeded));
}

/// Queues a task of a record, or continues it from the attempts that were taken over.
void beginTask(Context &context, Submission &submission, std::uint16_t index)
{
    Task &task = submission.tasks[index];
    const auto *rules = kindRules(Cluster::rulesFor(context.cluster, submission.team), submission.body->tasks[index].kind);
    const bool isOrdered = !submission.orderingKey.empty() && rules != nullptr && rules->ordered;
    if (isOrdered && task.phase != TaskPhase::Succeeded) {
        task.ordered = true;
        task.inOrderQueue = true;
        const bool isFirst = enterOrderQueue(context.state, submission, {submission.id, index});
        if (!isFirst && task.liveAttempts.empty() && task.lastEnd.key.attempt == 0) {
            task.phase = TaskPhase::Blocked;
            addWaitingTask(context, submission, index);
            return;
        }
    }
    if (task.phase == TaskPhase::Succeeded || !task.liveAttempts.empty()) {
        return;
    }
    if (task.lastEnd.key.attempt > 0) {
        Attempt ended;
        ended.number = task.lastEnd.key.attempt;
        ended.agent = task.lastAgent;
        ended.idempotent = task.lastIdempotent;
        const Protocol::TaskUpdate update = task.lastEnd;
        retryOrFail(context, submission, index, ended, update);
        return;
    }
    addWaitingTask(context, submission, index);
    enqueue(context, submission, index);
}

} // namespace

void countFailure(Context &context, const JobFailed &failed)
{
    static const auto refusedCounters = counterNames("refused.");
    static const auto failedCounters = counterNames("failed.");
    static const auto unknownCounters = counterNames("unknown.");
    const auto &names = failed.outcome == Outcome::NotRun ? refusedCounters : failed.outcome == Outcome::Failed ? failedCounters : unknownCounters;
    context.count(names[static_cast<std::size_t>(failed.reason)]);
}

void beginJob(Context &context, Submission &submission, BodyPointer body, Base::MonoTime deadline)
{
    DispatchState &state = context.state;
    submission.body = std::move(body);
    submission.orderingKey = submission.body->orderingKey;
    submission.deadline = deadline;
    submission.taskCount = static_cast<std::uint16_t>(submission.body->tasks.size());
    submission.tasks.resize(submission.taskCount);
    ++state.openJobs;
    teamState(state, Cluster::rulesFor(context.cluster, submission.team), submission.team);
    const Base::Duration lead = std::min<Base::Duration>(jobStopLeadTime, (deadline - state.now) / 10);
    context.armTimer(deadline - lead, TimerKind::JobStop, {submission.id, 0});
    context.armTimer(deadline, TimerKind::JobDeadline, {submission.id, 0});
    for (std::uint16_t i = 0; i < submission.taskCount && !submission.answer && !submission.stopping; ++i) {
        beginTask(context, submission, i);
    }
    answerIfDone(context, submission);
}

void endTask(Context &context, Submission &submission, std::uint16_t index, TaskPhase phase)
{
    DispatchState &state = context.state;
    Task &task = submission.tasks[index];
    task.phase = phase;
    if (!task.inOrderQueue) {
        return;
    }
    task.inOrderQueue = false;
    const Base::TaskKey key{submission.id, index};
    if (task.orderBlockedUntil > state.now) {
        state.pendingOrderReleases[key] = orderQueueKey(submission);
        context.armTimer(task.orderBlockedUntil, TimerKind::OrderRelease, key);
        return;
    }
    advanceOrderQueue(context, orderQueueKey(submission), key);
}

void stopJob(Context &context, Submission &submission, FailureDetails details)
{
    if (submission.answer || submission.stopping) {
        return;
    }
    submission.stopping = std::move(details);
    dropTasks(context, submission);
    answerIfDone(context, submission);
}

void failJob(Context &context, Submission &submission, Outcome outcome, FailureDetails details)
{
    if (submission.answer) {
        return;
    }
    const JobFailed failed{outcome, details.reason, details.retryAfterMs, details.taskIndex, details.detail};
    submission.stopping = std::move(details);
    dropTasks(context, submission);
    answerJob(context, submission, failed);
}

void answerIfDone(Context &context, Submission &submission)
{
    if (!submission.answer && submission.body != nullptr) {
        if (submission.succeededTasks == submission.taskCount) {
            answerSucceeded(context, submission);
        } else if (submission.stopping && submission.liveAttemptCount == 0) {
            answerStopped(context, submission);
        }
    }
    releaseIfEnded(submission);
}

void answerJob(Context &context, Submission &submission, Protocol::JobAnswer answer)
{
    if (const auto *failed = std::get_if<JobFailed>(&answer)) {
        countFailure(context, *failed);
    }
    submission.answer = std::move(answer);
    --context.state.openJobs;
    for (const Waiter &waiter : submission.waiters) {
        answerWaiter(context, waiter, submission.id, *submission.answer);
    }
    submission.waiters.clear();
    retainAnswer(context, submission);
    releaseIfEnded(submission);
}

void handleStopTimer(Context &context, const Base::Uuid &id)
{
    Submission *submission = findSubmission(context.state, id);
    if (submission != nullptr && submission->body != nullptr && submission->deadline - jobStopLeadTime <= context.state.now) {
        stopJob(context, *submission, {Protocol::Reason::DeadlineExceeded, 0, 0, {}});
    }
}

void handleJobDeadline(Context &context, const Base::Uuid &id)
{
    Submission *submission = findSubmission(context.state, id);
    if (submission == nullptr || submission->body == nullptr || submission->answer || submission->deadline > context.state.now) {
        return;
    }
    stopJob(context, *submission, {Protocol::Reason::DeadlineExceeded, 0, 0, {}});
    if (!submission->answer) {
        answerStopped(context, *submission);
    }
}

void advanceOrderQueue(Context &context, const std::string &orderKey, const Base::TaskKey &key)
{
    const auto next = leaveOrderQueue(context.state, orderKey, key);
    Submission *submission = next ? findSubmission(context.state, next->submission) : nullptr;
    if (submission != nullptr && next->index < submission->tasks.size() && submission->tasks[next->index].phase == TaskPhase::Blocked) {
        enqueue(context, *submission, next->index);
    }
}

void handleOrderReleaseTimer(Context &context, const Base::TaskKey &key)
{
    const auto found = context.state.pendingOrderReleases.find(key);
    if (found != context.state.pendingOrderReleases.end()) {
        const std::string orderKey = std::move(found->second);
        context.state.pendingOrderReleases.erase(found);
        advanceOrderQueue(context, orderKey, key);
    }
}

} // namespace LaburnumFlow::Dispatch::Internal
