#include "recovery.h"

#include "attempts.h"
#include "jobs.h"
#include "ledger.h"
#include "order.h"
#include "taskqueue.h"

#include "protocol/protocolconstants.h"

#include <algorithm>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

using Protocol::AttemptState;

bool isLive(AttemptState state)
{
    return state == AttemptState::Queued || state == AttemptState::Running;
}

bool isKnownAttempt(const Task &task, std::uint16_t attempt)
{
    return task.lastEnd.key.attempt == attempt
           || std::any_of(task.liveAttempts.begin(), task.liveAttempts.end(), [&](const Attempt &live) { return live.number == attempt; });
}

void addRecoveredLiveAttempt(Context &context, Submission &submission, const std::string &agent, const Protocol::TaskUpdate &update, bool idempotent)
{
    const auto info = context.cluster.agents.find(agent);
    Attempt attempt;
    attempt.number = update.key.attempt;
    attempt.agent = agent;
    attempt.incarnation = info == context.cluster.agents.end() ? 0 : info->second.id.incarnation;
    attempt.state = update.state;
    attempt.acknowledged = true;
    attempt.idempotent = idempotent;
    attempt.recovered = true;
    attempt.sentAt = context.state.now;
    Task &task = submission.tasks[update.key.task.index];
    if (task.phase != TaskPhase::Succeeded) {
        task.phase = TaskPhase::Active;
    }
    addLiveAttempt(context, submission, update.key.task.index, std::move(attempt));
}

void addRecoveredEnd(Submission &submission, const std::string &agent, const Protocol::TaskUpdate &update, bool idempotent)
{
    Task &task = submission.tasks[update.key.task.index];
    task.outcomeUnknown = task.outcomeUnknown || update.state == AttemptState::Lost;
    if (task.phase == TaskPhase::Succeeded) {
        return;
    }
    if (update.state == AttemptState::Succeeded) {
        task.phase = TaskPhase::Succeeded;
        ++submission.succeededTasks;
    } else if (update.key.attempt < task.lastEnd.key.attempt) {
        return;
    }
    task.lastEnd = update;
    task.lastAgent = agent;
    task.lastIdempotent = idempotent;
}

/// Adds a reported attempt to a record that has no body yet.
void recoverAttempt(Context &context, Submission &submission, const std::string &agent, Protocol::TaskUpdate update, bool idempotent)
{
    const std::size_t index = update.key.task.index;
    if (index >= Protocol::maxTasksPerJob) {
        return;
    }
    if (submission.tasks.size() <= index) {
        submission.tasks.resize(index + 1);
    }
    Task &task = submission.tasks[index];
    if (isKnownAttempt(task, update.key.attempt)) {
        return;
    }
    task.nextAttemptNumber = std::max<std::uint16_t>(task.nextAttemptNumber, static_cast<std::uint16_t>(update.key.attempt + 1));
    if (isLive(update.state) && !context.cluster.agents.contains(agent)) {
        update.state = AttemptState::Lost;
    }
    if (update.state != AttemptState::Refused && update.state != AttemptState::Queued && !task.started) {
        task.started = true;
        ++submission.startedTasks;
    }
    if (isLive(update.state)) {
        addRecoveredLiveAttempt(context, submission, agent, update, idempotent);
    } else {
        addRecoveredEnd(submission, agent, update, idempotent);
    }
}

Submission *findOrAddRecord(Context &context, const Base::Uuid &id, Protocol::Partition partition, const std::string &team, std::uint64_t digest)
{
    Submission *submission = findSubmission(context.state, id);
    if (submission == nullptr) {
        return &addRecord(context, id, partition, team, digest);
    }
    return submission->body != nullptr || submission->answer ? nullptr : submission;
}

void receiveRecord(Context &context, const Protocol::LedgerRecord &record)
{
    Submission *submission = findOrAddRecord(context, record.submission, record.partition, record.body.team, record.bodyDigest);
    if (submission == nullptr) {
        return;
    }
    submission->taskCount = record.status.tasks;
    if (record.status.answer) {
        submission->answer = record.status.answer;
        retainAnswer(context, *submission);
        return;
    }
    submission->tasks.resize(record.body.tasks.size());
    for (std::size_t i = 0; i < record.attempts.size() && i < record.agents.size(); ++i) {
        // The record does not say whether the attempt was sent as idempotent, so it is not retried if it is lost.
        recoverAttempt(context, *submission, record.agents[i], record.attempts[i], false);
    }
    submission->startedTasks = std::max(submission->startedTasks, record.status.tasksStarted);
    const Base::MonoTime deadline = context.state.now + std::chrono::milliseconds(record.remainingMs);
    beginJob(context, *submission, std::make_shared<const Protocol::JobBody>(record.body), deadline);
}

void forgetTask(DispatchState &state, Submission &submission, std::uint16_t index)
{
    Task &task = submission.tasks[index];
    const TaskPhase phase = task.phase;
    if (phase == TaskPhase::Queued) {
        dequeue(state, submission, index, TaskPhase::Dropped);
    }
    if (phase == TaskPhase::Queued || phase == TaskPhase::Blocked || phase == TaskPhase::Suspended || phase == TaskPhase::Backoff) {
        removeWaitingTask(state, submission, index);
    }
    while (!task.liveAttempts.empty()) {
        removeLiveAttempt(state, submission, index, 0);
    }
    if (task.inOrderQueue) {
        // All tasks of the ordering key belong to the lost partition, so none is queued next.
        leaveOrderQueue(state, orderQueueKey(submission), {submission.id, index});
    }
}

void forgetSubmission(Context &context, Submission &submission)
{
    DispatchState &state = context.state;
    for (std::size_t i = 0; i < submission.tasks.size(); ++i) {
        const auto index = static_cast<std::uint16_t>(i);
        forgetTask(state, submission, index);
        state.pendingOrderReleases.erase({submission.id, index});
    }
    state.openJobs -= submission.body != nullptr && !submission.answer ? 1 : 0;
    state.retainedBytes -= submission.answerBytes;
    state.ledger.erase(submission.id);
}

} // namespace

void recoverAttempts(Context &context, const Cluster::AttemptsRecovered &change)
{
    for (const Protocol::AttemptRecord &record : change.records) {
        const Base::TaskKey key = record.update.key.task;
        Submission *submission = findOrAddRecord(context, key.submission, record.partition, record.team, record.bodyDigest);
        if (submission == nullptr) {
            continue;
        }
        recoverAttempt(context, *submission, change.agent, record.update, record.idempotent);
        const auto *kind = kindRules(Cluster::rulesFor(context.cluster, record.team), record.kind);
        if (isLive(record.update.state) && (kind == nullptr || kind->ordered)) {
            context.state.recoveredOrderedTasks[{record.team, record.partition}].insert(key);
        }
        context.count("ledger.attempt-recovered");
    }
}

void receiveLedger(Context &context, const Cluster::LedgerReceived &change)
{
    for (const Protocol::LedgerRecord &record : change.records) {
        receiveRecord(context, record);
        context.count("ledger.record-received");
    }
}

void queryRecoveredAttempts(Context &context, std::span<const Protocol::Partition> partitions)
{
    std::set<std::string> agents;
    for (const Protocol::Partition partition : partitions) {
        const auto found = context.state.submissionsByPartition.find(partition);
        if (found == context.state.submissionsByPartition.end()) {
            continue;
        }
        for (const Base::Uuid &id : found->second) {
            for (const Task &task : context.state.ledger.at(id).tasks) {
                for (const Attempt &attempt : task.liveAttempts) {
                    agents.insert(attempt.agent);
                }
            }
        }
    }
    for (const std::string &agent : agents) {
        queryAgent(context, agent);
    }
}

void forgetPartitions(Context &context, std::span<const Protocol::Partition> partitions)
{
    DispatchState &state = context.state;
    for (const Protocol::Partition partition : partitions) {
        const auto found = state.submissionsByPartition.find(partition);
        if (found == state.submissionsByPartition.end()) {
            continue;
        }
        const std::vector<Base::Uuid> ids(found->second.begin(), found->second.end());
        for (const Base::Uuid &id : ids) {
            forgetSubmission(context, state.ledger.at(id));
        }
        state.submissionsByPartition.erase(partition);
        state.suspendedTasks.erase(partition);
        std::erase_if(state.recoveredOrderedTasks, [&](const auto &entry) { return entry.first.second == partition; });
    }
}

} // namespace LaburnumFlow::Dispatch::Internal
