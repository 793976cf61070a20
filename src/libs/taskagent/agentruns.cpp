#include "agentsteps.h"

#include "taskagentconstants.h"

#include "jobs/jobsconstants.h"
#include "jobs/jobtext.h"

#include <algorithm>

namespace LaburnumFlow::TaskAgent::Internal {

using Jobs::RunRef;
using Jobs::RunRefusal;

namespace {

void recordStartOutcome(AgentState &state, StartAnswered::Outcome outcome, Base::Duration waited)
{
    switch (outcome) {
    case StartAnswered::Outcome::Started:
    case StartAnswered::Outcome::Refused:
        state.callTimeout.handleResponse(waited);
        clearSilence(state);
        return;
    case StartAnswered::Outcome::NoAnswer:
        state.callTimeout.handleNoResponse();
        return;
    case StartAnswered::Outcome::NotSent:
        return;
    }
}

} // namespace

std::optional<std::chrono::milliseconds> renewableUntil(const AgentState &state)
{
    const Base::Duration echoAge = state.now - std::chrono::milliseconds(state.echo);
    const bool silent = state.silentSince && state.now - *state.silentSince > renewalStopTimeout;
    if (isLapsing(state) || state.ownerEntry.empty() || !state.clockOffset || echoAge > Jobs::maxTokenAgeForRenewal || silent) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(state.now + *state.clockOffset + Jobs::workerLease);
}

void clearSilence(AgentState &state)
{
    state.silentSince.reset();
    if (state.silenceReported) {
        state.silenceReported = false;
        state.nextReportDue = true;
    }
}

void updateClockOffset(AgentState &state, const std::optional<std::chrono::milliseconds> &workerClock)
{
    if (workerClock) {
        state.clockOffset = *workerClock - state.now;
        state.workerHeardAt = state.now;
    }
}

std::int64_t workerStartTimeMs(const AgentState &state)
{
    return state.worker ? state.worker->startTimeMs : 0;
}

void recordLeaseRenewal(AgentState &state)
{
    const auto lease = std::chrono::duration_cast<Base::Duration>(Jobs::workerLease * Jobs::clockDriftFactor);
    state.leaseEndsAt = std::max(state.leaseEndsAt, state.now + lease + Jobs::leaseSlack);
}

void startRun(Context &context, const RunRef &run, const Jobs::StartOrder &order)
{
    AgentState &state = context.state;
    if (state.runs.contains(run)) {
        return;
    }
    const auto until = renewableUntil(state);
    if (!state.worker || !until) {
        reportRefusal(state, run, !state.worker ? RunRefusal::Reason::NoWorker : RunRefusal::Reason::Stale);
        return;
    }
    LocalRun &local = state.runs[run];
    local.need = order.need;
    local.latencyTargetMs = order.latencyTargetMs;
    local.calledAt = state.now;
    recordLeaseRenewal(state);
    context.effects.push_back(CallStart{run,
                                        order.payload,
                                        order.checkpoint,
                                        order.ticket,
                                        *until,
                                        callFence(state),
                                        state.worker->id,
                                        state.worker->startTimeMs,
                                        state.callTimeout.current()});
}

void stopRun(Context &context, const RunRef &run)
{
    AgentState &state = context.state;
    const auto found = state.runs.find(run);
    if (found == state.runs.end()) {
        stopUnknownRun(context, run);
        return;
    }
    if (found->second.stopping) {
        return;
    }
    found->second.stopping = true;
    context.effects.push_back(CallStop{run, callFence(state), workerStartTimeMs(state), state.callTimeout.current()});
}

void reportRefusal(AgentState &state, const RunRef &run, RunRefusal::Reason reason)
{
    state.nextReport.refusals.push_back({run, reason});
    state.nextReportDue = true;
}

void reportEnd(AgentState &state, const Jobs::RunEnd &end)
{
    state.nextReport.ends.push_back(end);
    state.nextReportDue = true;
}

void handleStartAnswer(Context &context, const StartAnswered &event)
{
    AgentState &state = context.state;
    if (!state.worker || state.worker->startTimeMs != event.workerStartTimeMs) {
        return;
    }
    updateClockOffset(state, event.workerClock);
    const auto found = state.runs.find(event.run);
    if (found == state.runs.end() || found->second.phase != LocalRun::Phase::Starting) {
        return;
    }
    LocalRun &local = found->second;
    recordStartOutcome(state, event.outcome, state.now - local.calledAt);
    switch (event.outcome) {
    case StartAnswered::Outcome::Started:
        local.phase = LocalRun::Phase::Running;
        local.startedAt = state.now;
        local.progressChangedAt = state.now;
        return;
    case StartAnswered::Outcome::Refused:
    case StartAnswered::Outcome::NotSent:
        state.runs.erase(found);
        state.stopRetries.erase(event.run);
        reportRefusal(state, event.run, event.outcome == StartAnswered::Outcome::NotSent ? RunRefusal::Reason::NoAnswer : event.reason);
        return;
    case StartAnswered::Outcome::NoAnswer:
        recordUnansweredStart(state, event.run, local);
        // A fence that was raised after the call bars it already; raising it again would only bar later calls that are on their way.
        if (local.calledAt >= state.fenceRaisedAt) {
            raiseFence(state);
        }
        cancelStart(context, event.run, local);
        return;
    }
}

void handleStopAnswer(Context &context, const StopAnswered &event)
{
    AgentState &state = context.state;
    const auto found = state.runs.find(event.run);
    // A former incarnation may have answered, which tells nothing of the current one.
    if (found == state.runs.end() || event.workerStartTimeMs != workerStartTimeMs(state)) {
        return;
    }
    if (!event.answered) {
        found->second.stopping = false;
        state.stopRetries[event.run] = state.now + stopRetryDelay;
        return;
    }
    clearSilence(state);
    if (found->second.phase == LocalRun::Phase::CancellingStart) {
        found->second.phase = LocalRun::Phase::StartCancelled;
        // The worker can't start the run any more; its next list shows that the run has ended or was never started.
        state.startCancelledAtHold[event.run] = state.lastHoldNumber;
        state.holdNotBefore = state.now;
        // A hold call in progress may wait for a run to end; it must not delay the next one.
        state.holdInProgress = false;
    }
}

void handleWorkerTerminated(Context &context, const std::string &reason)
{
    AgentState &state = context.state;
    logDecision(context, "worker.gone", {{"worker", state.worker ? state.worker->id : ""}, {"reason", reason}});
    recordUnansweredStarts(state);
    reportRunsLapsed(context, reason);
    state.worker.reset();
    state.leaving = false;
    forgetLists(state);
    state.nextReport.workerTerminated = true;
    state.nextReportDue = true;
}

void reportRunsLapsed(Context &context, const std::string &reason)
{
    AgentState &state = context.state;
    for (auto &[run, local] : state.runs) {
        local.possibleUntil = {};
    }
    lapseRuns(context, reason);
}

std::uint32_t runTimeMs(const LocalRun &run, Base::MonoTime now)
{
    if (run.startedAt == Base::MonoTime{}) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - run.startedAt).count());
}

void lapseRuns(Context &context, const std::string &reason)
{
    AgentState &state = context.state;
    std::vector<RunRef> lapsed;
    for (const auto &[run, local] : state.runs) {
        if (local.possibleUntil <= state.now) {
            lapsed.push_back(run);
            reportEnd(state, {0, run, Jobs::RunOutcome::Lapsed, runTimeMs(local, state.now), local.checkpoint});
        }
    }
    if (!lapsed.empty()) {
        logDecision(context, "worker.runs-lost", {{"reason", reason}, {"runs", std::to_string(lapsed.size())}});
    }
    for (const RunRef &run : lapsed) {
        state.runs.erase(run);
        state.startCancelledAtHold.erase(run);
        state.stopRetries.erase(run);
    }
}

void resetWorker(Context &context)
{
    AgentState &state = context.state;
    // A start call without a response may still reach the new incarnation, whose clock and run list start anew.
    recordUnansweredStarts(state);
    std::erase_if(state.runs, [&state](const auto &run) { return state.unansweredStarts.contains(run.first); });
    reportRunsLapsed(context, "worker-restarted");
    state.leaving = false;
    state.leaseEndsAt = {};
    // A hold call in progress may be answered by the former incarnation.
    state.oldestValidHold = state.lastHoldNumber + 1;
    state.newestListClock.reset();
    state.holdInProgress = false;
    state.holdNotBefore = state.now;
    state.silentSince.reset();
    forgetLists(state);
    state.fullReportDue = true;
}

} // namespace LaburnumFlow::TaskAgent::Internal
