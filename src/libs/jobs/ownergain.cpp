#include "ownersteps.h"

#include "admission.h"
#include "jobsconstants.h"

#include <algorithm>

namespace LaburnumFlow::Jobs::Internal {

namespace {

Base::MonoTime uselessAt(const Job &job)
{
    return job.arrivedAt + std::chrono::duration_cast<Base::Duration>(job.objective * lateFactor);
}

/// Work that has begun is worth ending, so that its job keeps its place as long as its caller gains anything.
std::optional<Base::MonoTime> gainEnd(const Job &job)
{
    if (job.longRunning || job.overdue) {
        return std::nullopt;
    }
    if (job.gain == Gain::None) {
        return std::max(job.arrivedAt + longestWait, uselessAt(job));
    }
    if (job.state != JobState::Queued) {
        return uselessAt(job);
    }
    return latestBegin(job, job.gain == Gain::InTime ? 1.0 : lateFactor);
}

/// Nothing of it has run, so that a refusal is true.
bool canBeRefused(const OwnerState &state, const Job &job)
{
    return job.bestEffort && !job.mayHaveRun && job.state == JobState::Queued && formerRunsResolved(state);
}

void giveUp(Context &context, Job &job)
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
    forgetJob(state, job);
}

} // namespace

void watchGain(OwnerState &state, Job &job, bool ready)
{
    const std::optional<Base::MonoTime> end = ready ? gainEnd(job) : std::nullopt;
    if (end == job.gainEndsAt) {
        return;
    }
    if (job.gainEndsAt) {
        state.gainEnds.erase({*job.gainEndsAt, job.id});
    }
    job.gainEndsAt = end;
    if (end) {
        state.gainEnds.emplace(*end, job.id);
    }
}

void demoteJobs(Context &context)
{
    OwnerState &state = context.state;
    while (!state.gainEnds.empty() && state.gainEnds.begin()->first <= state.now) {
        Job &job = state.jobs.at(state.gainEnds.begin()->second);
        state.ready.erase(placeOf(job));
        if (job.gain == Gain::None) {
            job.overdue = true;
            job.gain = Gain::InTime;
        } else {
            job.gain = state.now >= latestBegin(job, lateFactor) ? Gain::None : Gain::Late;
        }
        if (job.gain != Gain::InTime && canBeRefused(state, job) && !admit(state, job).accepted) {
            giveUp(context, job);
            continue;
        }
        requeue(context, job);
    }
}

} // namespace LaburnumFlow::Jobs::Internal
