#include "agentsteps.h"

#include "taskagentconstants.h"

#include "jobs/jobtext.h"

#include <algorithm>
#include <vector>

namespace LaburnumFlow::TaskAgent::Internal {

namespace {

using Jobs::RunRef;
using Jobs::RunRefusal;

bool hasUnrecordedEnd(const AgentState &state, const RunRef &run)
{
    return std::any_of(state.ends.begin(), state.ends.end(), [&run](const auto &end) { return end.second.run == run; });
}

} // namespace

std::uint64_t callFence(const AgentState &state)
{
    constexpr std::uint64_t maxTimeMs = (std::uint64_t(1) << fenceTimeBits) - 1;
    return (state.epoch << fenceTimeBits) + std::min(state.fenceTimeMs, maxTimeMs);
}

void raiseFence(AgentState &state)
{
    // The time puts a new process of the agent above the former one.
    const auto nowMs = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(state.now).count());
    state.fenceTimeMs = std::max(state.fenceTimeMs + 1, nowMs);
    state.fenceRaisedAt = state.now;
}

void handleRefusedFence(AgentState &state, std::uint64_t fence)
{
    if (fence == callFence(state)) {
        state.fenceTimeMs += fenceRecoveryStep / std::chrono::milliseconds(1);
    }
}

bool hasUnansweredStarts(const AgentState &state)
{
    return std::any_of(state.unansweredStarts.begin(), state.unansweredStarts.end(), [&state](const auto &start) { return start.second > state.now; });
}

void cancelStart(Context &context, const RunRef &run, LocalRun &local)
{
    local.phase = LocalRun::Phase::CancellingStart;
    logDecision(context, "run.barring", {{"run", Jobs::formatRun(run)}, {"born", std::to_string(workerStartTimeMs(context.state))}});
    stopRun(context, run);
}

void stopUnknownRun(Context &context, const RunRef &run)
{
    AgentState &state = context.state;
    if (!state.worker || hasUnrecordedEnd(state, run)) {
        reportRefusal(state, run, RunRefusal::Reason::Stale);
        return;
    }
    recordLeaseRenewal(state);
    cancelStart(context, run, state.runs[run]);
}

void recordUnansweredStart(AgentState &state, const RunRef &run, const LocalRun &local)
{
    // A run that this process hasn't started was started before it began.
    const Base::MonoTime calledBy = local.calledAt != Base::MonoTime{} ? local.calledAt : state.startedAt;
    const Base::MonoTime until = calledBy + lateExecutionTimeout;
    std::erase_if(state.unansweredStarts, [&state](const auto &start) { return start.second <= state.now; });
    if (until > state.now) {
        state.unansweredStarts.insert_or_assign(run, until);
    }
}

void recordUnansweredStarts(AgentState &state)
{
    for (const auto &[run, local] : state.runs) {
        if (local.phase != LocalRun::Phase::Running || !local.listed) {
            recordUnansweredStart(state, run, local);
        }
    }
}

void cancelUnansweredStarts(Context &context)
{
    AgentState &state = context.state;
    raiseFence(state);
    std::erase_if(state.unansweredStarts, [&state](const auto &start) { return start.second <= state.now; });
    for (const auto &[run, until] : state.unansweredStarts) {
        const auto [found, added] = state.runs.try_emplace(run);
        if (!added) {
            continue;
        }
        found->second.possibleUntil = until;
        cancelStart(context, run, found->second);
    }
}

void barLateStarts(Context &context)
{
    const AgentState &state = context.state;
    if (!state.worker || !hasUnansweredStarts(state)) {
        return;
    }
    for (int i = 0; i < barringCalls; ++i) {
        context.effects.push_back(CallStop{state.unansweredStarts.rbegin()->first, callFence(state), state.worker->startTimeMs, state.callTimeout.current()});
    }
}

std::optional<Base::MonoTime> lateStartsPossibleUntil(const AgentState &state)
{
    std::optional<Base::MonoTime> latest;
    for (const auto &[run, local] : state.runs) {
        if (local.possibleUntil > state.now) {
            latest = std::max(latest.value_or(local.possibleUntil), local.possibleUntil);
        }
    }
    return latest;
}

void dropCancelledStarts(Context &context, const HoldAnswered &event)
{
    AgentState &state = context.state;
    std::vector<std::pair<RunRef, RunRefusal::Reason>> cancelledRuns;
    for (const auto &entry : state.runs) {
        const RunRef &run = entry.first;
        const LocalRun &local = entry.second;
        const auto isRun = [&run](const ListedRun &listed) { return listed.run == run; };
        if (std::any_of(event.running.begin(), event.running.end(), isRun)) {
            continue;
        }
        const auto cancelled = state.startCancelledAtHold.find(run);
        const bool listedAfterCancellation = cancelled != state.startCancelledAtHold.end() && event.number > cancelled->second;
        if (local.phase == LocalRun::Phase::StartCancelled && listedAfterCancellation) {
            const bool calledNow = local.calledAt != Base::MonoTime{};
            cancelledRuns.emplace_back(run, calledNow ? RunRefusal::Reason::NoAnswer : RunRefusal::Reason::Stale);
        }
    }
    for (const auto &[run, reason] : cancelledRuns) {
        state.runs.erase(run);
        state.startCancelledAtHold.erase(run);
        reportRefusal(state, run, reason);
    }
}

} // namespace LaburnumFlow::TaskAgent::Internal
