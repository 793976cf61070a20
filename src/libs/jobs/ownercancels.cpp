#include "ownersteps.h"

#include "jobsconstants.h"

namespace LaburnumFlow::Jobs::Internal {

namespace {

bool isStoreStalled(const OwnerState &state)
{
    return state.recorder.pendingCommitAge(state.now) > commitStallTimeout;
}

/// Returns why a cancellation can't be recorded at present; empty if it can.
std::string_view obstacleToRecord(const OwnerState &state)
{
    if (isStoreStalled(state)) {
        return "store";
    }
    return state.withdrawnJobs + state.withdrawing.size() >= maxWithdrawnJobs ? "too-many" : "";
}

/// Records that the job is cancelled although the store holds no job, and answers the call then.
void withdraw(Context &context, JobId job, const AnswerWhenRecorded &answer)
{
    OwnerState &state = context.state;
    if (const std::string_view obstacle = obstacleToRecord(state); !obstacle.empty()) {
        logDecision(context, "cancel.refused", {{"id", formatId(job)}, {"reason", std::string(obstacle)}});
        reply(context, answer.call, {.kind = CallAnswer::Kind::Unavailable, .retryAfterS = storeRetryAfterS});
        return;
    }
    logDecision(context, "job.withdrawn", {{"id", formatId(job)}});
    state.withdrawing.insert(job);
    state.recorder.add({FinishJob{job, JobState::Withdrawn}, {}, {answer}});
}

void cancelUnknownJob(Context &context, CallId id, JobId job)
{
    const OwnerState &state = context.state;
    const auto finished = state.finished.find(job);
    if (finished == state.finished.end()) {
        withdraw(context, job, {id, {.kind = CallAnswer::Kind::NotFound}});
        return;
    }
    reply(context, id, {.kind = finished->second == JobState::Withdrawn ? CallAnswer::Kind::NotFound : CallAnswer::Kind::Accepted});
}

} // namespace

void handleCancel(Context &context, CallId id, const CancelCall &call)
{
    Job *job = findJob(context.state, call.job);
    if (job == nullptr) {
        cancelUnknownJob(context, id, call.job);
        return;
    }
    logDecision(context, "job.cancel", {{"id", formatId(job->id)}, {"queue", job->rules.name}});
    if (job->bestEffort) {
        // Its runs are stopped at once, whatever the store does.
        finishJob(context, *job, JobState::Cancelled, {});
        withdraw(context, call.job, {id, {.kind = CallAnswer::Kind::Accepted}});
        return;
    }
    job->waitingForCancel.push_back(id);
    if (!job->stored) {
        job->cancelRequested = true;
        return;
    }
    finishJob(context, *job, JobState::Cancelled, {});
}

bool isWithdrawn(const OwnerState &state, JobId job)
{
    const auto finished = state.finished.find(job);
    return state.withdrawing.contains(job) || (finished != state.finished.end() && finished->second == JobState::Withdrawn);
}

void submitWithdrawn(Context &context, CallId id, const SubmitCall &call)
{
    logDecision(context, "job.withdrawn-submitted", {{"id", formatId(call.job)}});
    if (call.bestEffort) {
        reply(context, id, {.kind = CallAnswer::Kind::State, .state = JobState::Cancelled});
        return;
    }
    if (isStoreStalled(context.state)) {
        reply(context, id, {.kind = CallAnswer::Kind::Unavailable, .retryAfterS = storeRetryAfterS});
        return;
    }
    context.state.recorder.add({FinishJob{call.job, JobState::Cancelled}, {}, {{id, {.kind = CallAnswer::Kind::Accepted}}}});
}

} // namespace LaburnumFlow::Jobs::Internal
