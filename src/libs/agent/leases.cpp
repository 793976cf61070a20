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

constexpr std::uint32_t noRunLimit = 0;

Base::MonoTime entryLeaseEnd(const AgentState &state, const std::string &entry)
{
    const auto found = state.entries.find(entry);
    return found == state.entries.end() ? Base::MonoTime(0) : found->second.leaseEnd;
}

Base::MonoTime runLimitEnd(const LiveAttempt &live)
{
    return live.limitMs == noRunLimit ? Base::MonoTime::max() : live.startedAt + std::chrono::milliseconds(live.limitMs);
}

Base::MonoTime maxLeaseEnd(const AgentState &state, const RecordedAttempt &record, const LiveAttempt &live)
{
    const Base::MonoTime leaseEnd = record.idempotent ? echoLeaseEnd(state, record, live) : state.now + nonIdempotentLeaseDuration;
    if (live.limitMs == noRunLimit) {
        return leaseEnd;
    }
    // The margin lets the agent stop the task at its limit before the lease ends.
    return std::min(leaseEnd, runLimitEnd(live) + Protocol::leaseMargin);
}

void renewIfDue(const AgentState &state, Step &step, const Base::AttemptKey &key, const RecordedAttempt &record, LiveAttempt &live)
{
    const Base::MonoTime leaseEnd = maxLeaseEnd(state, record, live);
    const bool runsOut = live.grantedLeaseEnd - state.now < leaseRenewalInterval;
    if (leaseEnd > live.grantedLeaseEnd && (runsOut || state.now - live.renewedAt >= leaseRenewalInterval)) {
        step.effects.emplace_back(BackendRenew{key, grantLease(state, record, live)});
    }
}

void setThrottled(Step &step, const Base::AttemptKey &key, LiveAttempt &live, bool throttled)
{
    if (live.throttled != throttled) {
        live.throttled = throttled;
        step.effects.emplace_back(BackendThrottle{key, throttled ? demotedCpuShare : 1.0});
    }
}

bool exceedsShortClass(const AgentState &state, const LiveAttempt &live)
{
    const Base::Duration elapsed = state.now - live.startedAt;
    return elapsed > longRunThreshold && elapsed > demotionFactor * std::chrono::milliseconds(live.expectedMs);
}

void demoteIfDue(const AgentState &state, Step &step, const Base::AttemptKey &key, LiveAttempt &live, bool shortTaskQueued)
{
    if (!live.isLong && exceedsShortClass(state, live)) {
        live.isLong = true;
        live.demoted = true;
        step.count("agent.demoted");
    }
    if (!live.demoted) {
        return;
    }
    setThrottled(step, key, live, shortTaskQueued);
    if (shortTaskQueued && !live.checkpointRequested) {
        live.checkpointRequested = true;
        step.effects.emplace_back(BackendCheckpoint{key});
    }
}

/// Ends an attempt whose stop was not confirmed. Its lease has ended the task at the backend server by then.
void endIfLeaseEnded(AgentState &state, Step &step, const Base::AttemptKey &key, const LiveAttempt &live)
{
    if (state.now < live.grantedLeaseEnd + Protocol::leaseMargin) {
        return;
    }
    const AgentReason reason = live.stopReason;
    endAttempt(state, step, key, live.connectionLost ? AttemptState::Lost : AttemptState::Stopped, reason);
}

void superviseAttempt(AgentState &state, Step &step, const Base::AttemptKey &key, bool shortTaskQueued)
{
    const RecordedAttempt &record = state.ledger.records.at(key);
    LiveAttempt &live = state.ledger.live.at(key);
    if (live.stopReason != AgentReason::None) {
        endIfLeaseEnded(state, step, key, live);
        return;
    }
    if (state.now >= runLimitEnd(live)) {
        stopAttempt(state, step, key, AgentReason::RunTimeLimit);
        return;
    }
    if (record.idempotent && state.now >= echoLeaseEnd(state, record, live)) {
        stopAttempt(state, step, key, AgentReason::LeaseEnded);
        return;
    }
    renewIfDue(state, step, key, record, live);
    demoteIfDue(state, step, key, live, shortTaskQueued);
}

void handleConnectionLost(AgentState &state, Step &step, const Base::AttemptKey &key)
{
    LiveAttempt &live = state.ledger.live.at(key);
    if (!state.ledger.records.at(key).idempotent) {
        endAttempt(state, step, key, AttemptState::Lost, AgentReason::BackendLost);
        return;
    }
    // The task may still run. If it were reported now, the owner could start the next attempt while this one runs.
    if (live.stopReason == AgentReason::None) {
        live.connectionLost = true;
        stopAttempt(state, step, key, AgentReason::BackendLost);
    }
}

void handleStopped(AgentState &state, Step &step, const Base::AttemptKey &key)
{
    const LiveAttempt &live = state.ledger.live.at(key);
    AgentReason reason = live.stopReason;
    if (reason == AgentReason::None) {
        reason = state.now >= runLimitEnd(live) ? AgentReason::RunTimeLimit : AgentReason::LeaseEnded;
    }
    endAttempt(state, step, key, AttemptState::Stopped, reason);
}

} // namespace

Base::MonoTime echoLeaseEnd(const AgentState &state, const RecordedAttempt &record, const LiveAttempt &live)
{
    const PartitionOwner &owner = state.partitionOwners[record.partition];
    Base::MonoTime end = std::max(live.startLeaseEnd, entryLeaseEnd(state, owner.entry));
    // A former owner that is not fenced yet starts the next attempt once its own echoes no longer renew this one.
    for (const std::string &former : owner.unfencedEntries) {
        end = std::min(end, entryLeaseEnd(state, former));
    }
    return end;
}

std::uint32_t grantLease(const AgentState &state, const RecordedAttempt &record, LiveAttempt &live)
{
    live.grantedLeaseEnd = maxLeaseEnd(state, record, live);
    live.renewedAt = state.now;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(1, (live.grantedLeaseEnd - state.now) / 1ms));
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
    const bool shortTaskQueued = hasQueuedShortTask(state);
    const std::vector<Base::AttemptKey> keys(state.running.begin(), state.running.end());
    for (const Base::AttemptKey &key : keys) {
        superviseAttempt(state, step, key, shortTaskQueued);
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
        updateSpeedEstimate(state, state.ledger.live.at(ended.key));
        endAttempt(state, step, ended.key, AttemptState::Succeeded, AgentReason::None, ended.result);
        break;
    case BackendOutcome::Failed:
        endAttempt(state, step, ended.key, AttemptState::Failed, AgentReason::BackendError, ended.result);
        break;
    case BackendOutcome::NotStarted: {
        const bool unreachable = state.backendState == BackendState::Unreachable;
        endAttempt(state, step, ended.key, AttemptState::Refused, unreachable ? AgentReason::BackendUnreachable : AgentReason::BackendBusy);
        break;
    }
    case BackendOutcome::Stopped:
        handleStopped(state, step, ended.key);
        break;
    case BackendOutcome::Lost:
        handleConnectionLost(state, step, ended.key);
        break;
    }
}

} // namespace LaburnumFlow::Agent::Internal
