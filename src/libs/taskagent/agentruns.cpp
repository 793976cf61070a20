#include "agentsteps.h"

#include "taskagentconstants.h"

#include "jobs/jobsconstants.h"
#include "jobs/jobtext.h"

#include <algorithm>

namespace LaburnumFlow::TaskAgent::Internal {

namespace {

using Jobs::RunRef;
using Jobs::RunRefusal;

std::uint32_t runTimeMs(const LocalRun &run, Base::MonoTime now)
{
    if (run.startedAt == Base::MonoTime{}) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - run.startedAt).count());
}

void updateProgress(AgentState &state, const ListedRun &listed, LocalRun &local)
{
    if (!listed.checkpoint.empty() && listed.checkpoint != local.checkpoint) {
        local.checkpoint = listed.checkpoint;
        // Sent along with the next report; a checkpoint alone doesn't cause one.
        state.nextReport.checkpoints.push_back({listed.run, listed.checkpoint});
    }
    // A run that is slowed down may make no progress for long although the worker is healthy.
    if (local.progressPercent != listed.percent || local.pacePercent < fullPacePercent) {
        local.progressPercent = listed.percent;
        local.progressChangedAt = state.now;
        return;
    }
    // A long-running task always reports 100 percent.
    const bool stalled = listed.percent < completePercent && state.now - local.progressChangedAt > stallTimeout;
    if (stalled && !local.stallReported && !local.stopping) {
        local.stallReported = true;
        state.nextReport.stalled.push_back(listed.run);
        state.nextReportDue = true;
    }
}

void updateListedRun(AgentState &state, const ListedRun &listed, bool ofKnownIncarnation)
{
    const auto [found, added] = state.runs.try_emplace(listed.run);
    LocalRun &local = found->second;
    if (added) {
        // Started by a previous incarnation of this process, which may have renewed the lease a moment ago.
        recordLeaseRenewal(state);
    }
    if (added || local.phase == LocalRun::Phase::Starting || (local.phase == LocalRun::Phase::CancellingStart && !local.stopping)) {
        local.phase = LocalRun::Phase::Running;
        local.startedAt = added ? Base::MonoTime{} : state.now;
        local.progressChangedAt = state.now;
    }
    local.listed = local.listed || ofKnownIncarnation;
    updateProgress(state, listed, local);
}

void recordEnd(AgentState &state, Jobs::RunEnd end)
{
    if (end.number <= state.endsRecorded || state.ends.contains(end.number)) {
        return;
    }
    const auto found = state.runs.find(end.run);
    if (found != state.runs.end()) {
        end.runTimeMs = runTimeMs(found->second, state.now);
        if (end.checkpoint.empty()) {
            end.checkpoint = found->second.checkpoint;
        }
        state.runs.erase(found);
    }
    state.startCancelledAtHold.erase(end.run);
    state.stopRetries.erase(end.run);
    state.ends.emplace(end.number, end);
    reportEnd(state, end);
}

/// Adopts as recorded all ends before the first listed one, since the worker lists all ends that weren't acknowledged to it. The smallest number is used
/// rather than the number of the first row, so that a row with a number out of order doesn't make the other ends look recorded. Such a row may also be
/// the only one, so numbers count as missing only in the first list of an incarnation or when two lists in succession lack them. Numbers begin at 1.
void adoptRecordedEnds(AgentState &state, const std::vector<Jobs::RunEnd> &ends)
{
    const auto hasLowerNumber = [](const Jobs::RunEnd &left, const Jobs::RunEnd &right) { return left.number < right.number; };
    const auto first = std::min_element(ends.begin(), ends.end(), hasLowerNumber);
    const std::uint64_t number = first != ends.end() ? first->number : 0;
    const bool confirmed = !state.firstEndListed || *state.firstEndListed == number;
    state.firstEndListed = number;
    state.endsGapUnconfirmed = !confirmed && number > state.endsRecorded + 1;
    if (confirmed && number > 0) {
        state.endsRecorded = std::max(state.endsRecorded, number - 1);
    }
}

/// Handles a list of all ends. The owner waits for a full report with them if it has got one without.
void completeEnds(AgentState &state)
{
    const bool reportedIncomplete = !state.endsComplete && state.runsListed;
    state.endsComplete = true;
    state.fullReportDue = state.fullReportDue || reportedIncomplete;
}

void recordSilence(AgentState &state, const HoldAnswered &event)
{
    if (!state.silentSince) {
        state.silentSince = event.calledAt;
    }
    if (!state.silenceReported && state.now - *state.silentSince > silenceReportTimeout) {
        state.silenceReported = true;
        state.nextReportDue = true;
    }
}

/// Returns whether a newer list is known. An older one may name runs that have ended since, and their ends aren't listed again. A call that
/// waits for an end is executed later than one that is sent after it, so the worker's clock counts too.
bool isOutdated(const AgentState &state, const HoldAnswered &event)
{
    const bool sameIncarnation = state.worker && state.worker->startTimeMs == event.workerStartTimeMs;
    const bool listedEarlier = sameIncarnation && event.workerClock && state.newestListClock && *event.workerClock < *state.newestListClock;
    return listedEarlier || event.number < state.oldestValidHold;
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

Base::Duration callTimeout(const AgentState &state)
{
    return std::clamp<Base::Duration>(state.averageResponseTime * callTimeoutFactor, minCallTimeout, maxCallTimeout);
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
    context.effects.push_back(CallStart{
        run, order.payload, order.checkpoint, order.ticket, *until, callFence(state), state.worker->id, state.worker->startTimeMs, callTimeout(state)});
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
    context.effects.push_back(CallStop{run, callFence(state), workerStartTimeMs(state), callTimeout(state)});
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
    // A call without a response counts with the time until its timeout, so that timeouts grow when a worker has become slow.
    if (event.outcome != StartAnswered::Outcome::NotSent) {
        state.averageResponseTime += (state.now - local.calledAt - state.averageResponseTime) / responseTimeWindow;
    }
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
    if (found->second.phase == LocalRun::Phase::CancellingStart) {
        found->second.phase = LocalRun::Phase::StartCancelled;
        // The worker can't start the run any more; its next list shows that the run has ended or was never started.
        state.startCancelledAtHold[event.run] = state.lastHoldNumber;
        state.holdNotBefore = state.now;
        // A hold call in progress may wait for a run to end; it must not delay the next one.
        state.holdInProgress = false;
    }
}

void handleHoldAnswer(Context &context, const HoldAnswered &event)
{
    AgentState &state = context.state;
    const bool outdated = event.number != state.lastHoldNumber;
    state.holdInProgress = state.holdInProgress && outdated;
    if (!event.answered && outdated) {
        return;
    }
    if (event.refusedFence) {
        handleRefusedFence(state, *event.refusedFence);
        state.holdNotBefore = state.now + holdRetryDelay;
        state.endsAckedToWorker = 0;
        return;
    }
    if (!event.answered) {
        if (!state.silentSince) {
            barLateStarts(context);
        }
        recordSilence(state, event);
        state.holdNotBefore = state.now + (state.worker ? holdRetryDelay : holdRetryDelayWithoutWorker);
        state.endsAckedToWorker = 0;
        if (event.refused && state.leaving && !lateStartsPossibleUntil(state)) {
            handleWorkerTerminated(context, "left");
        }
        // A worker process that doesn't exist runs nothing. One that only doesn't answer may run what a former process of the agent has started,
        // until the lease ends.
        state.runsListed = state.runsListed || (!state.worker && (event.refused || state.now > state.leaseEndsAt));
        return;
    }
    if (isOutdated(state, event)) {
        return;
    }
    state.oldestValidHold = event.number;
    state.newestListClock = event.workerClock;
    clearSilence(state);
    if (state.worker && event.workerStartTimeMs != 0 && state.worker->startTimeMs != event.workerStartTimeMs) {
        resetWorker(context);
        state.worker.reset();
    }
    if (!state.worker) {
        state.worker = Jobs::WorkerInfo{};
        state.worker->startTimeMs = event.workerStartTimeMs;
        state.fullReportDue = true;
        cancelUnansweredStarts(context);
    }
    updateClockOffset(state, event.workerClock);
    const bool ofKnownIncarnation = event.workerStartTimeMs != 0 && state.worker->startTimeMs == event.workerStartTimeMs;
    for (const ListedRun &run : event.running) {
        updateListedRun(state, run, ofKnownIncarnation);
    }
    adoptRecordedEnds(state, event.ends);
    for (const Jobs::RunEnd &end : event.ends) {
        recordEnd(state, end);
    }
    if (event.endsTruncated) {
        // A run in neither list may have ended. Ends are acknowledged in the meantime, so later lists show the others.
        state.holdNotBefore = state.now + holdRetryDelay;
    } else {
        completeEnds(state);
        dropCancelledStarts(context, event);
    }
    adjustBackgroundPace(context, event);
    state.runsListed = state.runsListed || event.number > state.lastHoldBeforeEpoch;
}

void handleWorkerTerminated(Context &context, const std::string &reason)
{
    AgentState &state = context.state;
    logDecision(context, "worker.gone", {{"worker", state.worker ? state.worker->id : ""}, {"reason", reason}});
    recordUnansweredStarts(state);
    reportRunsLapsed(context, reason);
    state.worker.reset();
    state.leaving = false;
    state.ends.clear();
    state.firstEndListed.reset();
    state.endsComplete = false;
    state.endsGapUnconfirmed = false;
    state.endsRecorded = 0;
    state.endsAckedToWorker = 0;
    state.endsToLapse = 0;
    state.endsLapsed = 0;
    state.clockOffset.reset();
    state.runsListed = false;
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
    state.ends.clear();
    state.firstEndListed.reset();
    state.endsComplete = false;
    state.endsGapUnconfirmed = false;
    state.endsRecorded = 0;
    state.endsAckedToWorker = 0;
    state.endsToLapse = 0;
    state.endsLapsed = 0;
    state.clockOffset.reset();
    state.runsListed = false;
    state.fullReportDue = true;
}

} // namespace LaburnumFlow::TaskAgent::Internal
