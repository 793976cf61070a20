#include "agentsteps.h"

#include "taskagentconstants.h"

#include "jobs/jobsconstants.h"
#include "jobs/jobtext.h"

#include <algorithm>

namespace LaburnumFlow::TaskAgent::Internal {

namespace {

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

void updateListedRun(Context &context, const ListedRun &listed, bool ofKnownIncarnation)
{
    AgentState &state = context.state;
    const auto [found, added] = state.runs.try_emplace(listed.run);
    LocalRun &local = found->second;
    if (added && state.firstEndListed) {
        // No earlier list of this incarnation had the run: a late start, or one that counted as refused.
        logDecision(context, "run.unexpected", {{"run", Jobs::formatRun(listed.run)}});
    }
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

void forgetLists(AgentState &state)
{
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
        updateListedRun(context, run, ofKnownIncarnation);
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

} // namespace LaburnumFlow::TaskAgent::Internal
