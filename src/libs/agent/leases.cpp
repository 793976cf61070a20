#include "leases.h"

#include "agentconstants.h"
#include "ledger.h"
#include "slots.h"

#include <algorithm>
#include <vector>

namespace LaburnumFlow::Agent::Internal {

using Protocol::AgentReason;
using Protocol::AttemptState;

namespace {

constexpr std::uint32_t noLimit = 0;

Base::MonoTime limitEnd(const LiveAttempt &live)
{
    return live.limitMs == noLimit ? Base::MonoTime::max() : live.startedAt + std::chrono::milliseconds(live.limitMs);
}

Base::MonoTime leaseBound(const AgentState &state, const LedgerEntry &entry, const LiveAttempt &live)
{
    const Base::MonoTime bound = entry.idempotent ? echoLeaseEnd(state, entry, live) : state.now + unrepeatableLease;
    if (live.limitMs == noLimit) {
        return bound;
    }
    // Beyond the limit by a margin, so that the stop at the limit comes before the end of the lease.
    return std::min(bound, limitEnd(live) + Protocol::leaseMargin);
}

void renewIfDue(const AgentState &state, Step &step, const Base::AttemptKey &key, const LedgerEntry &entry, LiveAttempt &live)
{
    const Base::MonoTime bound = leaseBound(state, entry, live);
    const bool runsOut = live.leaseUntil - state.now < renewInterval;
    if (bound > live.leaseUntil && (runsOut || state.now - live.renewedAt >= renewInterval)) {
        step.effects.emplace_back(BackendRenew{key, grantLease(state, entry, live)});
    }
}

void throttle(Step &step, const Base::AttemptKey &key, LiveAttempt &live, bool throttled)
{
    if (live.throttled != throttled) {
        live.throttled = throttled;
        step.effects.emplace_back(BackendThrottle{key, throttled ? demotedShare : 1.0});
    }
}

bool outlivedClass(const AgentState &state, const LiveAttempt &live)
{
    const Base::Duration elapsed = state.now - live.startedAt;
    return elapsed > longTaskTime && elapsed > demotionFactor * std::chrono::milliseconds(live.expectedMs);
}

void demoteIfDue(const AgentState &state, Step &step, const Base::AttemptKey &key, LiveAttempt &live, bool shortWaits)
{
    if (!live.isLong && outlivedClass(state, live)) {
        live.isLong = true;
        live.demoted = true;
        step.count("agent.demoted");
    }
    if (!live.demoted) {
        return;
    }
    throttle(step, key, live, shortWaits);
    if (shortWaits && !live.checkpointed) {
        live.checkpointed = true;
        step.effects.emplace_back(BackendCheckpoint{key});
    }
}

/// An attempt whose stop was never confirmed has ended by its lease at the latest.
void giveUpIfDue(AgentState &state, Step &step, const Base::AttemptKey &key, const LiveAttempt &live)
{
    if (state.now < live.leaseUntil + Protocol::leaseMargin) {
        return;
    }
    const AgentReason reason = live.stopReason;
    endAttempt(state, step, key, live.lost ? AttemptState::Lost : AttemptState::Stopped, reason);
}

void supervise(AgentState &state, Step &step, const Base::AttemptKey &key, bool shortWaits)
{
    const LedgerEntry &entry = state.ledger.entries.at(key);
    LiveAttempt &live = state.ledger.live.at(key);
    if (live.stopReason != AgentReason::None) {
        giveUpIfDue(state, step, key, live);
        return;
    }
    if (state.now >= limitEnd(live)) {
        stopAttempt(state, step, key, AgentReason::RunTimeLimit);
        return;
    }
    if (entry.idempotent && state.now >= echoLeaseEnd(state, entry, live)) {
        stopAttempt(state, step, key, AgentReason::LeaseEnded);
        return;
    }
    renewIfDue(state, step, key, entry, live);
    demoteIfDue(state, step, key, live, shortWaits);
}

void handleLost(AgentState &state, Step &step, const Base::AttemptKey &key)
{
    LiveAttempt &live = state.ledger.live.at(key);
    if (!state.ledger.entries.at(key).idempotent) {
        endAttempt(state, step, key, AttemptState::Lost, AgentReason::BackendLost);
        return;
    }
    // The task may still run. A report now would let the owner start the next attempt beside it.
    if (live.stopReason == AgentReason::None) {
        live.lost = true;
        stopAttempt(state, step, key, AgentReason::BackendLost);
    }
}

void handleStopped(AgentState &state, Step &step, const Base::AttemptKey &key)
{
    const LiveAttempt &live = state.ledger.live.at(key);
    AgentReason reason = live.stopReason;
    if (reason == AgentReason::None) {
        reason = state.now >= limitEnd(live) ? AgentReason::RunTimeLimit : AgentReason::LeaseEnded;
    }
    endAttempt(state, step, key, AttemptState::Stopped, reason);
}

} // namespace

Base::MonoTime echoLeaseEnd(const AgentState &state, const LedgerEntry &entry, const LiveAttempt &live)
{
    const auto owner = state.entries.find(state.partitions[entry.partition].entry);
    return std::max(live.startLeaseEnd, owner == state.entries.end() ? Base::MonoTime(0) : owner->second.leaseEnd);
}

std::uint32_t grantLease(const AgentState &state, const LedgerEntry &entry, LiveAttempt &live)
{
    live.leaseUntil = leaseBound(state, entry, live);
    live.renewedAt = state.now;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(1, (live.leaseUntil - state.now) / 1ms));
}

void stopAttempt(AgentState &state, Step &step, const Base::AttemptKey &key, AgentReason reason)
{
    LiveAttempt &live = state.ledger.live.at(key);
    if (live.stopReason == AgentReason::None) {
        live.stopReason = reason;
        step.effects.emplace_back(BackendStop{key});
    }
}

void superviseRunning(AgentState &state, Step &step)
{
    const bool shortWaits = shortWorkWaits(state);
    const std::vector<Base::AttemptKey> keys(state.running.begin(), state.running.end());
    for (const Base::AttemptKey &key : keys) {
        supervise(state, step, key, shortWaits);
    }
}

void handleTaskEnded(AgentState &state, Step &step, const BackendTaskEnded &ended)
{
    if (!state.running.contains(ended.key)) {
        step.count("agent.late-end");
        return;
    }
    switch (ended.outcome) {
    case BackendOutcome::Succeeded:
        learnSpeed(state, state.ledger.live.at(ended.key));
        endAttempt(state, step, ended.key, AttemptState::Succeeded, AgentReason::None, ended.result);
        break;
    case BackendOutcome::Failed:
        endAttempt(state, step, ended.key, AttemptState::Failed, AgentReason::BackendError, ended.result);
        break;
    case BackendOutcome::NotStarted: {
        const bool unreachable = state.backend == BackendState::Unreachable;
        endAttempt(state, step, ended.key, AttemptState::Refused, unreachable ? AgentReason::BackendUnreachable : AgentReason::BackendBusy);
        break;
    }
    case BackendOutcome::Stopped:
        handleStopped(state, step, ended.key);
        break;
    case BackendOutcome::Lost:
        handleLost(state, step, ended.key);
        break;
    }
}

} // namespace LaburnumFlow::Agent::Internal
