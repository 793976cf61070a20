#include "ownersteps.h"

#include "admission.h"
#include "jobsconstants.h"
#include "waitingsteps.h"

#include <algorithm>

namespace LaburnumFlow::Jobs::Internal {

namespace {

Base::MonoTime tooLateAt(const Job &job)
{
    return job.arrivedAt + std::chrono::duration_cast<Base::Duration>(job.objective * maxLatenessFactor);
}

/// Returns when the job's timeliness must be updated. A job that has started keeps its place until it is too late, as its work so far would be wasted.
std::optional<Base::MonoTime> nextTimelinessChange(const Job &job)
{
    if (job.longRunning || job.starved) {
        return std::nullopt;
    }
    if (job.timeliness == Timeliness::TooLate) {
        return std::max(job.arrivedAt + starvationTimeout, tooLateAt(job));
    }
    if (job.state != JobState::Queued) {
        return tooLateAt(job);
    }
    return latestStart(job, job.timeliness == Timeliness::InTime ? 1.0 : maxLatenessFactor);
}

/// Returns whether the job can be refused as never run.
bool canBeRefused(const OwnerState &state, const Job &job)
{
    return job.bestEffort && !job.mayHaveRun && job.state == JobState::Queued && formerRunsResolved(state);
}

/// Refuses a queued best-effort job that has become late and is not expected to get workers soon.
void refuseLateJob(Context &context, Job &job)
{
    OwnerState &state = context.state;
    const auto waitedMs = std::chrono::duration_cast<std::chrono::milliseconds>(state.now - job.arrivedAt).count();
    const std::uint32_t retryAfterS = std::max(1U, admit(state, job).retryAfterS);
    logDecision(context, "job.given-up", {{"id", formatId(job.id)}, {"queue", job.rules.name}, {"waited_ms", std::to_string(waitedMs)}});
    for (const CallId call : job.waitingForAcceptance) {
        context.effects.push_back(Reply{call, {.kind = CallAnswer::Kind::Overloaded, .retryAfterS = retryAfterS}});
    }
    for (const CallId call : job.waitingForState) {
        context.effects.push_back(Reply{call, {.kind = CallAnswer::Kind::NotFound}});
    }
    markStarted(state, job);
    removeJob(state, job);
}

} // namespace

void scheduleTimelinessChange(OwnerState &state, Job &job, bool waitsForWorkers)
{
    const std::optional<Base::MonoTime> end = waitsForWorkers ? nextTimelinessChange(job) : std::nullopt;
    if (end == job.timelinessChangesAt) {
        return;
    }
    if (job.timelinessChangesAt) {
        state.timelinessChanges.erase({*job.timelinessChangesAt, job.id});
    }
    job.timelinessChangesAt = end;
    if (end) {
        state.timelinessChanges.emplace(*end, job.id);
    }
}

void updateTimeliness(Context &context)
{
    OwnerState &state = context.state;
    while (!state.timelinessChanges.empty() && state.timelinessChanges.begin()->first <= state.now) {
        Job &job = state.jobs.at(state.timelinessChanges.begin()->second);
        leaveQueue(state, job);
        if (job.timeliness == Timeliness::TooLate) {
            job.starved = true;
            job.timeliness = Timeliness::InTime;
        } else {
            job.timeliness = state.now >= latestStart(job, maxLatenessFactor) ? Timeliness::TooLate : Timeliness::Late;
        }
        if (job.timeliness != Timeliness::InTime && canBeRefused(state, job) && !admit(state, job).accepted) {
            refuseLateJob(context, job);
            continue;
        }
        requeue(context, job);
    }
}

} // namespace LaburnumFlow::Jobs::Internal
