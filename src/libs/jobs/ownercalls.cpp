#include "ownersteps.h"

#include "admission.h"
#include "jobsconstants.h"

#include <algorithm>
#include <utility>

namespace LaburnumFlow::Jobs::Internal {

namespace {

/// Returns whether the owner's rules are newer than those of the call and no longer have its queue. The entry that forwarded the call may be cut off from
/// the store.
bool isQueueWithdrawn(const OwnerState &state, const SubmitCall &call)
{
    return call.rulesVersion < state.rulesVersion && !state.rules.contains(call.rules.name);
}

/// Returns the newer of the rules that the call carries and those of this owner.
const QueueRules &activeRules(const OwnerState &state, const SubmitCall &call)
{
    if (call.rulesVersion >= state.rulesVersion) {
        return call.rules;
    }
    const auto found = state.rules.find(call.rules.name);
    return found == state.rules.end() ? call.rules : found->second;
}

/// Returns the time within which the caller of a best-effort job submits it again after a lost answer or a lost owner.
Base::Duration resubmitWindow(const OwnerState &state, const SubmitCall &call)
{
    // The caller's timeout may have been longer in an earlier submission.
    const auto callerTimeout = std::max(std::chrono::milliseconds(call.callerTimeoutMs), defaultCallerTimeout);
    return std::min<Base::Duration>(callerTimeout + state.settings.resubmitDelayMax, maxResubmitWindow);
}

/// Returns whether a former owner may have run the job. Best-effort jobs aren't stored, so only the time since the takeover can tell.
bool mayHaveRunUnderFormerOwner(const OwnerState &state, const SubmitCall &call)
{
    const bool hadFormerOwner = state.epoch > 1;
    return hadFormerOwner && state.now < state.tookOverAt + resubmitWindow(state, call);
}

/// Refuses a job that can't be stored or would wait for too long. Returns whether it did.
bool refuseIfOverloaded(Context &context, CallId id, const Job &job, bool bestEffort)
{
    OwnerState &state = context.state;
    if (!bestEffort && state.recorder.pendingCommitAge(state.now) > commitStallTimeout) {
        logDecision(context, "job.refused", {{"id", formatId(job.id)}, {"reason", "store"}, {"queue", job.rules.name}});
        reply(context, id, {.kind = CallAnswer::Kind::Unavailable, .retryAfterS = storeRetryAfterS});
        return true;
    }
    // The current backlog says nothing about the times at which a repeated job runs.
    const Admission admission = job.spec.repetition.count > 0 ? Admission{} : admit(state, job);
    if (admission.accepted) {
        return false;
    }
    logDecision(context,
                "job.refused",
                {{"id", formatId(job.id)},
                 {"reason", "backlog"},
                 {"queue", job.rules.name},
                 {"wait_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(admission.expectedWait).count())}});
    reply(context, id, {.kind = CallAnswer::Kind::Overloaded, .retryAfterS = admission.retryAfterS});
    return true;
}

/// Lets the job wait for the runs that a former owner may have started for the call on agents that were given up.
void awaitFormerRuns(Context &context, Job &job, const SubmitCall &call)
{
    const OwnerState &state = context.state;
    if (!call.bestEffort || !call.mayHaveRun || state.givenUpAgents.empty()) {
        return;
    }
    job.formerRunsUntil = state.now + formerRunExpiryTimeout;
    logDecision(context, "job.uncertain", {{"id", formatId(job.id)}, {"agents", std::to_string(state.givenUpAgents.size())}});
}

/// Extends the life of a best-effort job by the timeout of a caller that waits for it, and resumes the job if it was abandoned.
void registerCaller(Context &context, Job &job, const SubmitCall &call)
{
    if (!job.bestEffort) {
        return;
    }
    const bool wasAbandoned = std::exchange(job.abandoned, false);
    if (call.callerTimeoutMs > 0) {
        extendExpiry(context.state, job, context.state.now + std::chrono::milliseconds(call.callerTimeoutMs));
    }
    if (wasAbandoned) {
        requeue(context, job);
    }
}

/// Adds a best-effort job, whose tasks may start immediately as it isn't stored.
void beginBestEffortJob(Context &context, Job submitted, const SubmitCall &call)
{
    OwnerState &state = context.state;
    Job &job = state.jobs.emplace(submitted.id, std::move(submitted)).first->second;
    job.bestEffort = true;
    job.stored = true;
    job.resubmitWindow = resubmitWindow(state, call);
    ++state.unstarted[job.rules.name];
    registerCaller(context, job, call);
    logDecision(context, "job.begun", {{"id", formatId(job.id)}, {"queue", job.rules.name}, {"tasks", std::to_string(job.tasks.size())}});
    if (!formerRunsResolved(state)) {
        for (Task &task : job.tasks) {
            setPhase(state, job, task, Task::Phase::InDoubt);
        }
    }
    updateNextOccurrence(state, job, true);
    adoptOrphans(context, job);
    if (formerRunsResolved(state)) {
        breakPartialGangs(context, job);
        unblockSteps(context, job);
    }
}

void handle(Context &context, CallId id, const SubmitCall &call)
{
    OwnerState &state = context.state;
    if (Job *known = findJob(state, call.job)) {
        if (known->stored && !known->bestEffort) {
            reply(context, id, {.kind = CallAnswer::Kind::Accepted});
        } else {
            known->mayHaveRun |= call.mayHaveRun;
            awaitFormerRuns(context, *known, call);
            known->waitingForAcceptance.push_back(id);
            registerCaller(context, *known, call);
        }
        return;
    }
    if (const auto recent = state.recentBestEffort.find(call.job); call.bestEffort && recent != state.recentBestEffort.end()) {
        reply(context, id, {.kind = CallAnswer::Kind::State, .state = recent->second});
        return;
    }
    if (isWithdrawn(state, call.job)) {
        submitWithdrawn(context, id, call);
        return;
    }
    if (state.finished.contains(call.job)) {
        reply(context, id, {.kind = CallAnswer::Kind::Accepted});
        return;
    }
    Job job = makeJob(call.job, activeRules(state, call), call.spec, state.now);
    if (job.spec.repetition.count == 0) {
        addDemand(state, job);
    }
    job.mayHaveRun = call.mayHaveRun || mayHaveRunUnderFormerOwner(state, call) || state.orphans.contains(job.id);
    const bool canRefuse = !call.bestEffort || !job.mayHaveRun;
    if (canRefuse && isQueueWithdrawn(state, call)) {
        logDecision(context, "job.refused", {{"id", formatId(job.id)}, {"reason", "queue-withdrawn"}, {"queue", job.rules.name}});
        reply(context, id, {.kind = CallAnswer::Kind::UnknownQueue});
        return;
    }
    if (canRefuse && refuseIfOverloaded(context, id, job, call.bestEffort)) {
        return;
    }
    job.waitingForAcceptance.push_back(id);
    awaitFormerRuns(context, job, call);
    if (call.bestEffort) {
        beginBestEffortJob(context, std::move(job), call);
        return;
    }
    state.recorder.add({makePutJob(job), {}});
    state.jobs.emplace(job.id, std::move(job));
}

void handle(Context &context, CallId id, const QueryCall &call)
{
    OwnerState &state = context.state;
    if (Job *job = findJob(state, call.job)) {
        if (job->longRunning) {
            reply(context, id, {.kind = CallAnswer::Kind::State, .state = job->state});
            return;
        }
        job->waitingForState.push_back(id);
        state.heldQueries.push_back({state.now + queryHoldDuration, id, call.job});
        return;
    }
    const auto finished = state.finished.find(call.job);
    if (finished == state.finished.end() || finished->second == JobState::Withdrawn) {
        reply(context, id, {.kind = CallAnswer::Kind::NotFound});
        return;
    }
    reply(context, id, {.kind = CallAnswer::Kind::State, .state = finished->second});
}

void handle(Context &context, CallId id, const CancelCall &call)
{
    handleCancel(context, id, call);
}

void handle(Context &context, CallId id, const CountCall &call)
{
    const auto found = context.state.unstarted.find(call.queue);
    reply(context, id, {.kind = CallAnswer::Kind::Count, .count = found == context.state.unstarted.end() ? 0 : found->second});
}

} // namespace

void reply(Context &context, CallId call, CallAnswer answer)
{
    context.effects.push_back(Reply{call, answer});
}

void handleCall(Context &context, const CallArrived &arrived)
{
    std::visit([&](const auto &call) { handle(context, arrived.id, call); }, arrived.call);
}

} // namespace LaburnumFlow::Jobs::Internal
