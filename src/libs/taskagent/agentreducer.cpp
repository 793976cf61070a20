#include "agentreducer.h"

#include "agentsteps.h"
#include "taskagentconstants.h"

#include "base/earliest.h"

#include "jobs/jobsconstants.h"

#include <algorithm>
#include <utility>

namespace LaburnumFlow::TaskAgent {

namespace {

using Internal::Context;

/// Returns the worker as the owner should see it: a worker that may be leaving, or whose agent is stopping, is draining.
std::optional<Jobs::WorkerInfo> reportedWorker(const AgentState &state)
{
    std::optional<Jobs::WorkerInfo> worker = state.worker;
    if (worker && (state.stopping || state.leaving)) {
        worker->draining = true;
    }
    return worker;
}

void handle(Context &context, const TimePassed &event)
{
    AgentState &state = context.state;
    state.now = event.now;
    if (!state.runs.empty() && state.now > state.leaseEndsAt) {
        Internal::lapseRuns(context, "lease-ended");
    }
    Internal::endLapse(context);
    std::vector<Jobs::RunRef> due;
    for (const auto &[run, at] : state.stopRetries) {
        if (at <= state.now) {
            due.push_back(run);
        }
    }
    for (const Jobs::RunRef &run : due) {
        state.stopRetries.erase(run);
        Internal::stopRun(context, run);
    }
    // A worker that has restarted may do so again and then execute a start call late; its task must not start elsewhere before.
    if (state.worker && state.now - state.workerHeardAt > workerSilenceTimeout && !Internal::lateStartsPossibleUntil(state)) {
        Internal::handleWorkerTerminated(context, "silent");
    }
}

void handle(Context &context, const StopRequested & /*event*/)
{
    AgentState &state = context.state;
    state.stopping = true;
    state.nextReport.worker = reportedWorker(state);
    state.nextReportDue = true;
}

/// Returns whether a newer heartbeat of the same incarnation was handled. If the number of that one is higher by far, it was from another writer.
bool isLate(const AgentState &state, const WorkerHeartbeat &event)
{
    if (event.worker.startTimeMs != state.heartbeatStartTimeMs || state.heartbeatSequence == 0) {
        return false;
    }
    return event.sequence <= state.heartbeatSequence && state.heartbeatSequence - event.sequence < maxHeartbeatsLate;
}

void handle(Context &context, const WorkerHeartbeat &event)
{
    AgentState &state = context.state;
    if (state.worker && event.worker.startTimeMs < state.worker->startTimeMs) {
        return;
    }
    const bool restarted = state.worker && event.worker.startTimeMs != state.worker->startTimeMs;
    if (isLate(state, event)) {
        return;
    }
    const bool isNew = !state.worker;
    if (restarted) {
        Internal::resetWorker(context);
    }
    const bool changed = isNew || state.leaving || *state.worker != event.worker;
    state.leaving = false;
    state.runsListed = state.runsListed && state.worker.has_value();
    state.worker = event.worker;
    state.heartbeatStartTimeMs = event.worker.startTimeMs;
    state.heartbeatSequence = event.sequence;
    state.workerHeardAt = state.now;
    if (changed) {
        Internal::logDecision(
            context,
            "worker.heard",
            {{"worker", event.worker.id}, {"born", std::to_string(event.worker.startTimeMs)}, {"draining", event.worker.draining ? "1" : "0"}});
        // The owner learns of a restart from the full report, which names the starts that the new incarnation may execute late.
        if (!restarted) {
            state.nextReport.worker = reportedWorker(state);
            state.nextReportDue = true;
        }
    }
    if (isNew || restarted) {
        Internal::cancelUnansweredStarts(context);
    }
}

/// Asks the worker whether it is still there, as the call names no incarnation. Its runs end once the worker refuses connections, and otherwise
/// with the lease or the worker's own list.
void handle(Context &context, const WorkerLeft &event)
{
    AgentState &state = context.state;
    if (!state.worker || state.worker->id != event.id || state.leaving) {
        return;
    }
    Internal::logDecision(context, "worker.leaving", {{"worker", event.id}, {"born", std::to_string(state.worker->startTimeMs)}});
    state.leaving = true;
    state.nextReport.worker = reportedWorker(state);
    state.nextReportDue = true;
    // A hold call in progress was sent before and may wait for a run to end.
    state.holdInProgress = false;
    state.holdNotBefore = state.now;
}

void handle(Context &context, const EntryUnlinked &event)
{
    AgentState &state = context.state;
    if (state.ownerEntry != event.entry) {
        return;
    }
    Internal::logDecision(context, "owner.unlinked", {{"entry", event.entry}, {"epoch", std::to_string(state.epoch)}});
    state.ownerEntry.clear();
    state.nextReport = {};
    state.nextReportDue = false;
}

void followOwner(Context &context, const OrdersArrived &event)
{
    AgentState &state = context.state;
    Internal::logDecision(context, "owner.followed", {{"entry", event.entry}, {"epoch", std::to_string(event.orders.epoch)}});
    if (event.orders.epoch > state.epoch) {
        // The lists must be read again under the new fence, which also makes the worker reject late orders of the former owner.
        state.runsListed = false;
        state.lastHoldBeforeEpoch = state.lastHoldNumber;
        // A hold call in progress may wait for a run to end; it must not delay the new one.
        state.holdInProgress = false;
    }
    if (event.orders.epoch > state.epoch) {
        state.formerEpoch = state.judgedEpoch;
        state.fullReportToken = 0;
    }
    state.epoch = event.orders.epoch;
    state.ownerEntry = event.entry;
    state.nextReport = {};
    state.nextReportDue = false;
    state.fullReportDue = true;
    state.holdNotBefore = state.now;
}

void applyOrders(Context &context, const Jobs::OwnerOrders &orders)
{
    AgentState &state = context.state;
    const bool sameWorker = state.worker && state.worker->startTimeMs == orders.workerStartTimeMs;
    const bool tokenRecent = state.now - std::chrono::milliseconds(orders.echo) <= Jobs::maxTokenAgeForStart;
    for (const Jobs::StartOrder &start : orders.starts) {
        for (const Jobs::RunRef &run : start.runs) {
            if (!sameWorker || !tokenRecent || state.worker->draining || state.leaving || state.stopping) {
                Internal::reportRefusal(state, run, sameWorker ? Jobs::RunRefusal::Reason::Stale : Jobs::RunRefusal::Reason::NoWorker);
                continue;
            }
            Internal::startRun(context, run, start);
        }
    }
    if (!sameWorker) {
        return;
    }
    for (const Jobs::RunRequirements &requirements : orders.runRequirements) {
        if (const auto found = state.runs.find(requirements.run); found != state.runs.end()) {
            found->second.need = requirements.need;
            found->second.latencyTargetMs = requirements.latencyTargetMs;
        }
    }
    for (const Jobs::RunRef &run : orders.stops) {
        Internal::stopRun(context, run);
    }
    // Before the first list it isn't known whether the worker still has ends that may be acknowledged only after a lapse. The orders are repeated.
    if (!state.firstEndListed && orders.endsToLapse > 0) {
        return;
    }
    Internal::beginLapse(context, orders.endsToLapse);
    state.endsRecorded = std::max(state.endsRecorded, orders.endsRecorded);
    state.ends.erase(state.ends.begin(), state.ends.upper_bound(state.endsRecorded));
}

void handle(Context &context, const OrdersArrived &event)
{
    AgentState &state = context.state;
    if (event.orders.epoch < state.epoch) {
        // The higher epoch in the report tells a former owner to step down.
        Jobs::AgentReport report;
        report.epoch = state.epoch;
        context.effects.push_back(SendReport{event.entry, std::move(report)});
        return;
    }
    if (event.orders.epoch > state.epoch || event.entry != state.ownerEntry) {
        followOwner(context, event);
    }
    state.ordersSeen = event.orders.number;
    state.ownerConfirmedByStore = event.orders.confirmedByStore;
    state.echo = std::max(state.echo, event.orders.echo);
    if (state.fullReportToken != 0 && event.orders.echo >= state.fullReportToken) {
        state.judgedEpoch = state.epoch;
    }
    if (!event.orders.entries.empty()) {
        context.effects.push_back(UpdateEntries{event.orders.entries});
    }
    applyOrders(context, event.orders);
}

void handle(Context &context, const StartAnswered &event)
{
    Internal::handleStartAnswer(context, event);
}

void handle(Context &context, const StopAnswered &event)
{
    Internal::handleStopAnswer(context, event);
}

void handle(Context &context, const PaceAnswered &event)
{
    Internal::handlePaceAnswer(context, event);
}

void handle(Context &context, const HoldAnswered &event)
{
    Internal::handleHoldAnswer(context, event);
}

bool isHoldNeeded(const AgentState &state)
{
    if (state.epoch == 0 || state.holdInProgress) {
        return false;
    }
    const bool leaveUncertain = state.leaving && !state.stopping;
    // After a restart of the worker, the first call that reaches it bars late starts.
    const bool barsLateStarts = Internal::hasUnansweredStarts(state) && !state.stopping;
    const bool acknowledges = state.endsAckedToWorker < Internal::acknowledgeableEnds(state);
    return barsLateStarts || !state.runsListed || !state.runs.empty() || acknowledges || state.endsGapUnconfirmed || leaveUncertain;
}

void startHold(Context &context)
{
    AgentState &state = context.state;
    if (!isHoldNeeded(state) || state.now < state.holdNotBefore) {
        return;
    }
    CallHold hold;
    hold.fence = Internal::callFence(state);
    hold.endsAckedToWorker = Internal::acknowledgeableEnds(state);
    hold.number = ++state.lastHoldNumber;
    if (!state.runs.empty()) {
        hold.until = Internal::renewableUntil(state);
    }
    const bool cancellationConfirmed
        = std::any_of(state.runs.begin(), state.runs.end(), [](const auto &run) { return run.second.phase == LocalRun::Phase::StartCancelled; });
    // Without runs there is no lease to renew. Such a call must not wait, as a renewal may become necessary in the meantime, unless no run is started.
    if (state.runsListed && !cancellationConfirmed && (!state.runs.empty() || state.leaving || Internal::hasUnansweredStarts(state))) {
        hold.wait = holdWait;
    }
    if (hold.until) {
        Internal::recordLeaseRenewal(state);
    }
    hold.timeout = hold.wait + state.callTimeout.current();
    hold.calledAt = state.now;
    state.endsAckedToWorker = hold.endsAckedToWorker;
    state.holdInProgress = true;
    context.effects.push_back(hold);
}

Jobs::AgentReport makeFullReport(const AgentState &state)
{
    Jobs::AgentReport report;
    report.full = true;
    report.worker = reportedWorker(state);
    report.workerTerminated = !state.worker;
    for (const auto &[run, local] : state.runs) {
        report.running.push_back({run, local.need, local.checkpoint});
    }
    for (const auto &[number, end] : state.ends) {
        report.ends.push_back(end);
    }
    report.refusals = state.nextReport.refusals;
    report.formerEpoch = state.formerEpoch;
    report.endsIncomplete = state.worker && !state.endsComplete;
    return report;
}

void sendReport(Context &context)
{
    AgentState &state = context.state;
    if (state.ownerEntry.empty()) {
        return;
    }
    const bool fullDue = state.fullReportDue && state.runsListed;
    const bool tokenDue = state.now - state.lastReportAt >= reportKeepAliveInterval;
    if (!fullDue && !state.nextReportDue && !tokenDue) {
        return;
    }
    Jobs::AgentReport report = fullDue ? makeFullReport(state) : std::move(state.nextReport);
    state.nextReport = {};
    state.nextReportDue = false;
    state.fullReportDue = state.fullReportDue && !fullDue;
    report.epoch = state.epoch;
    report.ordersSeen = state.ordersSeen;
    // A worker whose lease ends gets no runs, like one that doesn't answer.
    report.workerSilent = state.silenceReported || Internal::isLapsing(state);
    report.endsAcknowledged = state.endsRecorded;
    report.token = std::chrono::duration_cast<std::chrono::milliseconds>(state.now).count();
    // The owner can't judge ends that it hasn't been shown.
    state.fullReportToken = fullDue && !report.endsIncomplete ? report.token : state.fullReportToken;
    state.lastReportAt = state.now;
    context.effects.push_back(SendReport{state.ownerEntry, std::move(report)});
}

} // namespace

namespace Internal {

void logDecision(Context &context, std::string event, std::vector<std::pair<std::string, std::string>> fields)
{
    context.effects.push_back(Decision{std::move(event), std::move(fields)});
}

} // namespace Internal

AgentState makeAgent(Base::MonoTime now)
{
    AgentState state;
    state.now = now;
    state.startedAt = now;
    Internal::raiseFence(state);
    // A former process may have renewed the lease a moment ago.
    Internal::recordLeaseRenewal(state);
    return state;
}

AgentEffects reduce(AgentState &state, const AgentEvent &event)
{
    AgentEffects effects;
    Context context{state, effects};
    std::visit([&context](const auto &what) { handle(context, what); }, event);
    startHold(context);
    sendReport(context);
    return effects;
}

bool isIdle(const AgentState &state)
{
    return state.runs.empty() && state.ends.empty() && state.endsAckedToWorker >= state.endsRecorded && !state.holdInProgress;
}

std::optional<Base::MonoTime> nextDue(const AgentState &state)
{
    Base::Earliest due;
    for (const auto &[run, local] : state.runs) {
        due.consider(std::max(state.leaseEndsAt, local.possibleUntil) + Base::Duration(1));
    }
    for (const auto &[run, at] : state.stopRetries) {
        due.consider(at);
    }
    if (Internal::isLapsing(state)) {
        due.consider(state.leaseEndsAt + Base::Duration(1));
    }
    if (!state.ownerEntry.empty()) {
        due.consider(state.lastReportAt + reportKeepAliveInterval);
    }
    if (isHoldNeeded(state)) {
        due.consider(state.holdNotBefore);
    }
    if (state.worker) {
        const Base::MonoTime silentAt = state.workerHeardAt + workerSilenceTimeout + Base::Duration(1);
        due.consider(std::max(silentAt, Internal::lateStartsPossibleUntil(state).value_or(silentAt)));
    }
    return due.time();
}

} // namespace LaburnumFlow::TaskAgent
