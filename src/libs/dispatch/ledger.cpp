#include "ledger.h"

#include "dispatchconstants.h"

#include "protocol/protocolconstants.h"

#include <algorithm>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

std::size_t answerSize(const Protocol::JobAnswer &answer)
{
    if (const auto *failed = std::get_if<Protocol::JobFailed>(&answer)) {
        return failed->detail.size();
    }
    std::size_t bytes = 0;
    for (const std::string &result : std::get<Protocol::JobSucceeded>(answer).results) {
        bytes += result.size() + sizeof(std::string);
    }
    return bytes;
}

Protocol::JobPhase jobPhase(const Submission &submission)
{
    if (submission.answer) {
        return std::holds_alternative<Protocol::JobSucceeded>(*submission.answer) ? Protocol::JobPhase::Succeeded : Protocol::JobPhase::Failed;
    }
    return submission.startedTasks > 0 ? Protocol::JobPhase::Running : Protocol::JobPhase::Queued;
}

Protocol::JobStatus jobStatus(const Submission &submission)
{
    Protocol::JobStatus status;
    status.phase = jobPhase(submission);
    status.tasks = submission.taskCount;
    status.tasksStarted = submission.startedTasks;
    status.tasksEnded = submission.succeededTasks;
    status.answer = submission.answer;
    return status;
}

void addLastAttempt(Protocol::LedgerRecord &record, const Task &task, Base::TaskKey key)
{
    if (!task.liveAttempts.empty()) {
        const Attempt &attempt = task.liveAttempts.back();
        Protocol::TaskUpdate update;
        update.key = {key, attempt.number};
        update.state = attempt.state;
        record.attempts.push_back(std::move(update));
        record.agents.push_back(attempt.agent);
    } else if (task.lastEnd.key.attempt > 0) {
        record.attempts.push_back(task.lastEnd);
        record.agents.push_back(task.lastAgent);
    }
}

} // namespace

Submission *findSubmission(DispatchState &state, const Base::Uuid &id)
{
    const auto found = state.ledger.find(id);
    return found == state.ledger.end() ? nullptr : &found->second;
}

Submission &addRecord(Context &context, const Base::Uuid &id, Protocol::Partition partition, std::string_view team, std::uint64_t digest)
{
    DispatchState &state = context.state;
    Submission &submission = state.ledger[id];
    submission.id = id;
    submission.partition = partition;
    submission.team = team;
    submission.bodyDigest = digest;
    // The time of an id may lie up to maxClockSkew in the future, so its record is kept for that much longer.
    submission.expiresAt = state.now + Protocol::deduplicationWindow + Protocol::maxClockSkew;
    state.submissionsByPartition[partition].insert(id);
    context.armTimer(submission.expiresAt, TimerKind::LedgerExpiry, {id, 0});
    return submission;
}

void retainAnswer(Context &context, Submission &submission)
{
    DispatchState &state = context.state;
    submission.answerBytes = answerSize(*submission.answer);
    state.retainedBytes += submission.answerBytes;
    state.retainedAnswers.push_back(submission.id);
    while (state.retainedBytes > maxRetainedAnswerBytes && state.retainedAnswers.size() > 1) {
        Submission *oldest = findSubmission(state, state.retainedAnswers.front());
        state.retainedAnswers.pop_front();
        if (oldest == nullptr || !oldest->answer) {
            continue;
        }
        state.retainedBytes -= oldest->answerBytes;
        oldest->answerBytes = 0;
        if (std::holds_alternative<Protocol::JobSucceeded>(*oldest->answer)) {
            oldest->answer
                = Protocol::JobFailed{Protocol::Outcome::Unknown, Protocol::Reason::SubmissionExpired, 0, 0, "the answer of the job is no longer retained"};
            context.count("ledger.answer-dropped");
        }
    }
}

void releaseIfEnded(Submission &submission)
{
    if (!submission.answer || submission.liveAttemptCount > 0 || submission.tasks.empty()) {
        return;
    }
    submission.tasks = {};
    submission.body.reset();
    submission.stopping.reset();
}

void expireRecord(Context &context, const Base::Uuid &id)
{
    DispatchState &state = context.state;
    Submission *submission = findSubmission(state, id);
    if (submission == nullptr || submission->expiresAt > state.now) {
        return;
    }
    const bool recoveredOnly = submission->body == nullptr && submission->waiters.empty() && submission->liveAttemptCount == 0;
    if (!submission->tasks.empty() && !recoveredOnly) {
        submission->expiresAt = state.now + Protocol::maxClockSkew;
        context.armTimer(submission->expiresAt, TimerKind::LedgerExpiry, {id, 0});
        return;
    }
    state.retainedBytes -= submission->answerBytes;
    while (!state.retainedAnswers.empty() && (state.retainedAnswers.front() == id || !state.ledger.contains(state.retainedAnswers.front()))) {
        state.retainedAnswers.pop_front();
    }
    state.submissionsByPartition[submission->partition].erase(id);
    state.ledger.erase(id);
}

Protocol::JobStatus jobStatus(DispatchState &state, const Base::Uuid &id, std::string_view team)
{
    const Submission *submission = findSubmission(state, id);
    if (submission == nullptr || submission->team != team) {
        return {};
    }
    return jobStatus(*submission);
}

Protocol::LedgerRecord makeHandoverRecord(const DispatchState &state, const Submission &submission)
{
    Protocol::LedgerRecord record;
    record.submission = submission.id;
    record.partition = submission.partition;
    record.bodyDigest = submission.bodyDigest;
    record.status = jobStatus(submission);
    if (submission.body != nullptr && !submission.answer) {
        record.body = *submission.body;
    }
    record.body.team = submission.team;
    record.body.orderingKey = submission.orderingKey;
    const Base::MonoTime left = submission.deadline - state.now;
    record.remainingMs = left.count() <= 0 ? 0 : static_cast<std::uint32_t>(left.count() / 1000);
    for (std::size_t i = 0; i < submission.tasks.size(); ++i) {
        addLastAttempt(record, submission.tasks[i], {submission.id, static_cast<std::uint16_t>(i)});
    }
    return record;
}

} // namespace LaburnumFlow::Dispatch::Internal
