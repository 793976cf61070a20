#include "ledger.h"

#include "dispatchconstants.h"

#include "protocol/protocolconstants.h"

#include <algorithm>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

std::size_t bytesOf(const Protocol::JobAnswer &answer)
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

Protocol::JobPhase phaseOf(const Submission &submission)
{
    if (submission.answer) {
        return std::holds_alternative<Protocol::JobSucceeded>(*submission.answer) ? Protocol::JobPhase::Succeeded : Protocol::JobPhase::Failed;
    }
    return submission.started > 0 ? Protocol::JobPhase::Running : Protocol::JobPhase::Queued;
}

Protocol::JobStatus statusOf(const Submission &submission)
{
    Protocol::JobStatus status;
    status.phase = phaseOf(submission);
    status.tasks = submission.taskCount;
    status.tasksStarted = submission.started;
    status.tasksEnded = submission.succeeded;
    status.answer = submission.answer;
    return status;
}

void addAttempt(Protocol::LedgerRecord &record, const Task &task, Base::TaskKey key)
{
    if (!task.live.empty()) {
        const Attempt &attempt = task.live.back();
        Protocol::TaskUpdate update;
        update.key = {key, attempt.number};
        update.state = attempt.state;
        record.attempts.push_back(std::move(update));
        record.agents.push_back(attempt.agent);
    } else if (task.last.key.attempt > 0) {
        record.attempts.push_back(task.last);
        record.agents.push_back(task.lastAgent);
    }
}

} // namespace

Submission *find(DispatchState &state, const Base::Uuid &id)
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
    submission.digest = digest;
    // An id may lie up to the skew bound in the future, so its record outlives the horizon by that much.
    submission.expiresAt = state.now + Protocol::deduplicationWindow + Protocol::maxClockSkew;
    state.byPartition[partition].insert(id);
    context.arm(submission.expiresAt, TimerKind::LedgerExpiry, {id, 0});
    return submission;
}

void retainAnswer(Context &context, Submission &submission)
{
    DispatchState &state = context.state;
    submission.answerBytes = bytesOf(*submission.answer);
    state.retainedBytes += submission.answerBytes;
    state.retained.push_back(submission.id);
    while (state.retainedBytes > maxRetainedAnswerBytes && state.retained.size() > 1) {
        Submission *oldest = find(state, state.retained.front());
        state.retained.pop_front();
        if (oldest == nullptr || !oldest->answer) {
            continue;
        }
        state.retainedBytes -= oldest->answerBytes;
        oldest->answerBytes = 0;
        if (std::holds_alternative<Protocol::JobSucceeded>(*oldest->answer)) {
            oldest->answer = Protocol::JobFailed{Protocol::Outcome::Unknown, Protocol::Reason::SubmissionExpired, 0, 0, "the response is no longer kept"};
            context.count("ledger.answer-dropped");
        }
    }
}

void releaseIfDone(Submission &submission)
{
    if (!submission.answer || submission.liveAttempts > 0 || submission.tasks.empty()) {
        return;
    }
    submission.tasks = {};
    submission.body.reset();
    submission.closing.reset();
}

void expire(Context &context, const Base::Uuid &id)
{
    DispatchState &state = context.state;
    Submission *submission = find(state, id);
    if (submission == nullptr || submission->expiresAt > state.now) {
        return;
    }
    const bool recoveredOnly = submission->body == nullptr && submission->waiters.empty() && submission->liveAttempts == 0;
    if (!submission->tasks.empty() && !recoveredOnly) {
        submission->expiresAt = state.now + Protocol::maxClockSkew;
        context.arm(submission->expiresAt, TimerKind::LedgerExpiry, {id, 0});
        return;
    }
    state.retainedBytes -= submission->answerBytes;
    while (!state.retained.empty() && (state.retained.front() == id || !state.ledger.contains(state.retained.front()))) {
        state.retained.pop_front();
    }
    state.byPartition[submission->partition].erase(id);
    state.ledger.erase(id);
}

Protocol::JobStatus statusOf(DispatchState &state, const Base::Uuid &id, std::string_view team)
{
    const Submission *submission = find(state, id);
    if (submission == nullptr || submission->team != team) {
        return {};
    }
    return statusOf(*submission);
}

Protocol::LedgerRecord handoverRecord(const DispatchState &state, const Submission &submission)
{
    Protocol::LedgerRecord record;
    record.submission = submission.id;
    record.partition = submission.partition;
    record.bodyDigest = submission.digest;
    record.status = statusOf(submission);
    if (submission.body != nullptr && !submission.answer) {
        record.body = *submission.body;
    }
    record.body.team = submission.team;
    record.body.orderingKey = submission.orderingKey;
    const Base::MonoTime left = submission.deadline - state.now;
    record.remainingMs = left.count() <= 0 ? 0 : static_cast<std::uint32_t>(left.count() / 1000);
    for (std::size_t i = 0; i < submission.tasks.size(); ++i) {
        addAttempt(record, submission.tasks[i], {submission.id, static_cast<std::uint16_t>(i)});
    }
    return record;
}

} // namespace LaburnumFlow::Dispatch::Internal
