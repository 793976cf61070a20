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
    return phase == TaskPhase::Blocked || phase == TaskPhase::Queued || phase == TaskPhase::Parked || phase == TaskPhase::Backoff;
}

void dropTask(Context &context, Submission &submission, std::uint16_t index)
{
    const TaskPhase phase = submission.tasks[index].phase;
    if (phase == TaskPhase::Queued) {
        dequeue(context.state, submission, index, TaskPhase::Dropped);
    }
    if (isWaiting(phase)) {
        removeWaiting(context.state, submission, index);
        endTask(context, submission, index, TaskPhase::Dropped);
    } else if (phase == TaskPhase::Active && !submission.tasks[index].live.empty()) {
        cancelLive(context, submission, index);
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

Outcome outcomeNow(const Submission &submission)
{
    const bool lost
        = std::any_of(submission.tasks.begin(), submission.tasks.end(), [](const Task &task) { return task.lost && task.phase != TaskPhase::Succeeded; });
    if (submission.liveAttempts > 0 || lost) {
        return Outcome::Unknown;
    }
    return submission.started > 0 ? Outcome::Failed : Outcome::NotRun;
}

void answerClosing(Context &context, Submission &submission)
{
    const Closing &closing = *submission.closing;
    answerJob(context, submission, JobFailed{outcomeNow(submission), closing.reason, closing.retryAfterMs, closing.taskIndex, closing.detail});
}

void answerSucceeded(Context &context, Submission &submission)
{
    Protocol::JobSucceeded succeeded;
    succeeded.results.reserve(submission.tasks.size());
    for (Task &task : submission.tasks) {
        succeeded.results.push_back(std::move(task.last.result));
    }
    context.count("jobs.succeeded");
    answerJob(context, submission, std::move(succeeded));
}

/// Continues a task of a record; its attempts, if any, were taken over.
void beginTask(Context &context, Submission &submission, std::uint16_t index)
{
    Task &task = submission.tasks[index];
    const auto *rules = kindRules(Cluster::rulesFor(context.cluster, submission.team), submission.body->tasks[index].kind);
    const bool first = !submission.orderingKey.empty() && rules != nullptr && rules->ordered;
    if (first && task.phase != TaskPhase::Succeeded) {
        task.ordered = true;
        task.inOrder = true;
        const bool turn = enterOrder(context.state, submission, {submission.id, index});
        if (!turn && task.live.empty() && task.last.key.attempt == 0) {
            task.phase = TaskPhase::Blocked;
            addWaiting(context, submission, index);
            return;
        }
    }
    if (task.phase == TaskPhase::Succeeded || !task.live.empty()) {
        return;
    }
    if (task.last.key.attempt > 0) {
        Attempt ended;
        ended.number = task.last.key.attempt;
        ended.agent = task.lastAgent;
        ended.idempotent = task.lastIdempotent;
        const Protocol::TaskUpdate update = task.last;
        decideAfterEnd(context, submission, index, ended, update);
        return;
    }
    addWaiting(context, submission, index);
    enqueue(context, submission, index);
}

} // namespace

void countFailure(Context &context, const JobFailed &failed)
{
    static const auto refused = counterNames("refused.");
    static const auto failedNames = counterNames("failed.");
    static const auto unknown = counterNames("unknown.");
    const auto &names = failed.outcome == Outcome::NotRun ? refused : failed.outcome == Outcome::Failed ? failedNames : unknown;
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
    teamOf(state, Cluster::rulesFor(context.cluster, submission.team), submission.team);
    const Base::Duration lead = std::min<Base::Duration>(closingLead, (deadline - state.now) / 10);
    context.arm(deadline - lead, TimerKind::JobClosing, {submission.id, 0});
    context.arm(deadline, TimerKind::JobDeadline, {submission.id, 0});
    for (std::uint16_t i = 0; i < submission.taskCount && !submission.answer && !submission.closing; ++i) {
        beginTask(context, submission, i);
    }
    settleJob(context, submission);
}

void endTask(Context &context, Submission &submission, std::uint16_t index, TaskPhase phase)
{
    DispatchState &state = context.state;
    Task &task = submission.tasks[index];
    task.phase = phase;
    if (!task.inOrder) {
        return;
    }
    task.inOrder = false;
    const Base::TaskKey key{submission.id, index};
    if (task.orderHoldUntil > state.now) {
        state.orderHolds[key] = orderKeyOf(submission);
        context.arm(task.orderHoldUntil, TimerKind::OrderRelease, key);
        return;
    }
    releaseOrder(context, orderKeyOf(submission), key);
}

void closeJob(Context &context, Submission &submission, Closing closing)
{
    if (submission.answer || submission.closing) {
        return;
    }
    submission.closing = std::move(closing);
    dropTasks(context, submission);
    settleJob(context, submission);
}

void failJob(Context &context, Submission &submission, Outcome outcome, Closing closing)
{
    if (submission.answer) {
        return;
    }
    const JobFailed failed{outcome, closing.reason, closing.retryAfterMs, closing.taskIndex, closing.detail};
    submission.closing = std::move(closing);
    dropTasks(context, submission);
    answerJob(context, submission, failed);
}

void settleJob(Context &context, Submission &submission)
{
    if (!submission.answer && submission.body != nullptr) {
        if (submission.succeeded == submission.taskCount) {
            answerSucceeded(context, submission);
        } else if (submission.closing && submission.liveAttempts == 0) {
            answerClosing(context, submission);
        }
    }
    releaseIfDone(submission);
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
    releaseIfDone(submission);
}

void closingDue(Context &context, const Base::Uuid &id)
{
    Submission *submission = find(context.state, id);
    if (submission != nullptr && submission->body != nullptr && submission->deadline - closingLead <= context.state.now) {
        closeJob(context, *submission, {Protocol::Reason::DeadlineExceeded, 0, 0, {}});
    }
}

void deadlineDue(Context &context, const Base::Uuid &id)
{
    Submission *submission = find(context.state, id);
    if (submission == nullptr || submission->body == nullptr || submission->answer || submission->deadline > context.state.now) {
        return;
    }
    closeJob(context, *submission, {Protocol::Reason::DeadlineExceeded, 0, 0, {}});
    if (!submission->answer) {
        answerClosing(context, *submission);
    }
}

void releaseOrder(Context &context, const std::string &orderKey, const Base::TaskKey &key)
{
    const auto next = leaveOrder(context.state, orderKey, key);
    Submission *submission = next ? find(context.state, next->submission) : nullptr;
    if (submission != nullptr && next->index < submission->tasks.size() && submission->tasks[next->index].phase == TaskPhase::Blocked) {
        enqueue(context, *submission, next->index);
    }
}

void orderReleaseDue(Context &context, const Base::TaskKey &key)
{
    const auto found = context.state.orderHolds.find(key);
    if (found != context.state.orderHolds.end()) {
        const std::string orderKey = std::move(found->second);
        context.state.orderHolds.erase(found);
        releaseOrder(context, orderKey, key);
    }
}

} // namespace LaburnumFlow::Dispatch::Internal
