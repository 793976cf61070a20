#include "slots.h"

#include "admission.h"
#include "agentconstants.h"
#include "leases.h"
#include "ledger.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

namespace LaburnumFlow::Agent::Internal {

using Protocol::AgentReason;
using Protocol::AttemptState;

namespace {

QueuePosition queuePosition(const Base::AttemptKey &key, const LiveAttempt &live)
{
    return {live.queuedAt + (live.isLong ? longTaskQueuePenalty : Base::Duration(0)) - (live.urgent ? urgentTaskQueueBonus : Base::Duration(0)), key};
}

std::size_t runningLongCount(const AgentState &state)
{
    return static_cast<std::size_t>(
        std::count_if(state.running.begin(), state.running.end(), [&](const Base::AttemptKey &key) { return state.ledger.live.at(key).isLong; }));
}

bool isSlotFree(const AgentState &state, bool isLong)
{
    const std::size_t slots = slotCount(state);
    if (state.running.size() >= slots) {
        return false;
    }
    const std::size_t reserved = slots == 0 ? 0 : std::min<std::size_t>(state.reservedShortSlots, slots - 1);
    return !isLong || runningLongCount(state) < slots - reserved;
}

std::optional<Base::AttemptKey> nextToStart(const AgentState &state)
{
    const bool freeForShort = isSlotFree(state, false);
    const bool freeForLong = freeForShort && isSlotFree(state, true);
    for (const QueuePosition &position : state.queue) {
        if (state.ledger.live.at(position.key).isLong ? freeForLong : freeForShort) {
            return position.key;
        }
    }
    return std::nullopt;
}

void startAttempt(AgentState &state, Step &step, const Base::AttemptKey &key)
{
    RecordedAttempt &record = state.ledger.records.at(key);
    LiveAttempt &live = state.ledger.live.at(key);
    dequeue(state, key, live);
    state.running.insert(key);
    record.state = AttemptState::Running;
    live.startedAt = state.now;
    const std::uint32_t leaseMs = grantLease(state, record, live);
    step.count("agent.started");
    step.effects.emplace_back(BackendStart{key, record.kind, std::exchange(live.payload, {}), leaseMs});
}

AgentReason outdatedReason(const AgentState &state, const Base::AttemptKey &key)
{
    const RecordedAttempt &record = state.ledger.records.at(key);
    const LiveAttempt &live = state.ledger.live.at(key);
    if (state.now >= live.deadline) {
        return AgentReason::DeadlinePast;
    }
    if (state.now >= echoLeaseEnd(state, record, live)) {
        return AgentReason::LeaseEnded;
    }
    if (areSettingsTooOld(state, record.team, live.settingsRevision, live.rootRevision)) {
        return AgentReason::SettingsTooOld;
    }
    return AgentReason::None;
}

} // namespace

std::uint16_t slotCount(const AgentState &state)
{
    return state.backendSlots == 0 ? state.configuredSlots : std::min(state.configuredSlots, state.backendSlots);
}

Protocol::AgentLoad currentLoad(const AgentState &state)
{
    Protocol::AgentLoad load;
    load.slots = slotCount(state);
    load.running = static_cast<std::uint16_t>(state.running.size());
    load.queued = static_cast<std::uint16_t>(state.queue.size());
    for (const Base::AttemptKey &key : state.running) {
        const LiveAttempt &live = state.ledger.live.at(key);
        load.runningLongTasks = static_cast<std::uint16_t>(load.runningLongTasks + (live.isLong || state.now - live.startedAt > longRunThreshold ? 1 : 0));
    }
    const double speed = std::exp(state.logSpeedEstimate);
    const double queuedMs = static_cast<double>(state.queuedExpectedMs) / speed;
    load.queuedWorkMs = static_cast<std::uint32_t>(std::min(queuedMs, 4e9));
    load.speed = static_cast<float>(speed);
    return load;
}

bool hasCapacity(const AgentState &state, bool isLong)
{
    return isSlotFree(state, isLong) || state.queue.size() < maxQueuedPerSlot * slotCount(state);
}

void enqueue(AgentState &state, const Base::AttemptKey &key, const LiveAttempt &live)
{
    state.queue.insert(queuePosition(key, live));
    state.queuedExpectedMs += live.expectedMs;
}

void dequeue(AgentState &state, const Base::AttemptKey &key, const LiveAttempt &live)
{
    state.queue.erase(queuePosition(key, live));
    state.queuedExpectedMs -= live.expectedMs;
}

bool hasQueuedShortTask(const AgentState &state)
{
    return std::any_of(state.queue.begin(), state.queue.end(), [&](const QueuePosition &position) { return !state.ledger.live.at(position.key).isLong; });
}

void fillSlots(AgentState &state, Step &step)
{
    while (const auto key = nextToStart(state)) {
        const AgentReason reason = outdatedReason(state, *key);
        if (reason != AgentReason::None) {
            endAttempt(state, step, *key, AttemptState::Refused, reason);
            continue;
        }
        startAttempt(state, step, *key);
    }
}

void refuseOutdated(AgentState &state, Step &step)
{
    std::vector<std::pair<Base::AttemptKey, AgentReason>> outdated;
    for (const QueuePosition &position : state.queue) {
        const AgentReason reason = outdatedReason(state, position.key);
        if (reason != AgentReason::None) {
            outdated.emplace_back(position.key, reason);
        }
    }
    for (const auto &[key, reason] : outdated) {
        endAttempt(state, step, key, AttemptState::Refused, reason);
    }
}

void refuseAllQueued(AgentState &state, Step &step, AgentReason reason)
{
    while (!state.queue.empty()) {
        const Base::AttemptKey key = state.queue.begin()->key;
        endAttempt(state, step, key, AttemptState::Refused, reason);
    }
}

void updateSpeedEstimate(AgentState &state, const LiveAttempt &live)
{
    if (live.expectedMs == 0 || live.throttled) {
        return;
    }
    const double runMs = std::max(1.0, static_cast<double>((state.now - live.startedAt).count()) / 1000.0);
    const double sample = std::clamp(static_cast<double>(live.expectedMs) / runMs, 1.0 / maxSpeedSampleFactor, maxSpeedSampleFactor);
    state.logSpeedEstimate += speedSmoothingFactor * (std::log(sample) - state.logSpeedEstimate);
}

} // namespace LaburnumFlow::Agent::Internal
