#include "ledger.h"

#include "agentconstants.h"
#include "agentcounters.h"
#include "slots.h"

#include <utility>

namespace LaburnumFlow::Agent::Internal {

using Protocol::AgentReason;
using Protocol::AttemptState;

namespace {

RecordedAttempt makeRecord(const Protocol::StartTask &task)
{
    RecordedAttempt record;
    record.idempotent = task.idempotent;
    record.partition = task.partition;
    record.bodyDigest = task.bodyDigest;
    record.team = task.team;
    record.kind = task.kind;
    return record;
}

void storeResult(Ledger &ledger, const Base::AttemptKey &key, RecordedAttempt &record, std::string &&result)
{
    record.result = std::move(result);
    if (record.result.empty()) {
        return;
    }
    ledger.resultBytes += record.result.size();
    ledger.resultOrder.push_back(key);
}

void dropResult(Ledger &ledger, RecordedAttempt &record)
{
    ledger.resultBytes -= record.result.size();
    record.resultDropped = record.state == AttemptState::Succeeded && !record.result.empty();
    record.result = {};
}

/// Drops the oldest results until they fit into maxTotalResultBytes. Keeps the newest one, which has not been sent yet.
void dropOldestResults(Ledger &ledger)
{
    while (ledger.resultBytes > maxTotalResultBytes && ledger.resultOrder.size() > 1) {
        const auto found = ledger.records.find(ledger.resultOrder.front());
        if (found != ledger.records.end()) {
            dropResult(ledger, found->second);
        }
        ledger.resultOrder.pop_front();
    }
}

void countEnd(Step &step, AttemptState ended, AgentReason reason)
{
    switch (ended) {
    case AttemptState::Queued:
    case AttemptState::Running:
        break;
    case AttemptState::Succeeded:
        step.count("agent.succeeded");
        break;
    case AttemptState::Failed:
        step.count("agent.failed");
        break;
    case AttemptState::Refused:
        step.count(refusedCounter(reason));
        break;
    case AttemptState::Stopped:
        step.count(stoppedCounter(reason));
        break;
    case AttemptState::Lost:
        step.count("agent.lost");
        break;
    }
}

/// Erases records that expire at or before a time, as long as the ledger holds more than the given number of records.
void eraseExpired(Ledger &ledger, std::deque<Expiry> &expiries, Base::MonoTime until, std::size_t records)
{
    while (!expiries.empty() && expiries.front().at <= until && ledger.records.size() > records) {
        const Base::AttemptKey key = expiries.front().key;
        const auto found = ledger.records.find(key);
        if (found != ledger.records.end()) {
            ledger.resultBytes -= found->second.result.size();
            ledger.records.erase(found);
        }
        ledger.unreported.erase(key);
        expiries.pop_front();
    }
}

} // namespace

void recordQueued(AgentState &state, const Protocol::StartTask &task, const Protocol::ClockToken &token)
{
    LiveAttempt live;
    live.payload = task.payload;
    live.urgent = task.urgent;
    live.isLong = task.expectedMs > longTaskThresholdMs;
    live.expectedMs = task.expectedMs;
    live.limitMs = task.limitMs;
    live.settingsRevision = task.settingsRevision;
    live.rootRevision = task.rootRevision;
    live.queuedAt = state.now;
    live.deadline = state.now + std::chrono::milliseconds(task.remainingMs);
    live.startLeaseEnd = Base::MonoTime(token.agentMonoUs) + Protocol::leaseDuration;
    state.ledger.records.emplace(task.key, makeRecord(task));
    state.ledger.liveByTask.emplace(task.key.task, task.key);
    const auto made = state.ledger.live.emplace(task.key, std::move(live));
    enqueue(state, task.key, made.first->second);
}

void refuseStart(AgentState &state, Step &step, const std::string &entry, const Protocol::StartTask &task, AgentReason reason)
{
    step.count(refusedCounter(reason));
    if (state.ledger.records.size() >= maxLedgerRecords || task.partition >= Protocol::partitionCount) {
        step.unrecordedRefusals.emplace_back(entry, Protocol::TaskUpdate{task.key, AttemptState::Refused, reason, 0, {}});
        return;
    }
    RecordedAttempt refused = makeRecord(task);
    refused.state = AttemptState::Refused;
    refused.reason = reason;
    state.ledger.records.emplace(task.key, std::move(refused));
    state.ledger.refusedExpiries.push_back({state.now + ledgerRetention, task.key});
    step.pendingUpdates.emplace_back(entry, task.key);
}

void recordFenced(AgentState &state, Step &step, const Base::AttemptKey &key)
{
    step.count("agent.fenced");
    RecordedAttempt fenced;
    fenced.state = AttemptState::Refused;
    fenced.reason = AgentReason::Fenced;
    state.ledger.records.emplace(key, std::move(fenced));
    state.ledger.endedExpiries.push_back({state.now + ledgerRetention, key});
}

void endAttempt(AgentState &state, Step &step, const Base::AttemptKey &key, AttemptState ended, AgentReason reason, std::string result)
{
    Ledger &ledger = state.ledger;
    RecordedAttempt &record = ledger.records.at(key);
    const LiveAttempt &live = ledger.live.at(key);
    if (record.state == AttemptState::Running) {
        record.runMs = static_cast<std::uint32_t>((state.now - live.startedAt) / 1ms);
        state.running.erase(key);
    } else {
        dequeue(state, key, live);
    }
    record.state = ended;
    record.reason = reason;
    storeResult(ledger, key, record, std::move(result));
    ledger.live.erase(key);
    ledger.liveByTask.erase(key.task);
    ledger.endedExpiries.push_back({state.now + ledgerRetention, key});
    dropOldestResults(ledger);
    countEnd(step, ended, reason);
    reportToOwner(state, step, key);
}

void expireRecords(AgentState &state)
{
    eraseExpired(state.ledger, state.ledger.endedExpiries, state.now, 0);
    eraseExpired(state.ledger, state.ledger.refusedExpiries, state.now, 0);
    eraseExpired(state.ledger, state.ledger.refusedExpiries, state.now + ledgerRetention - refusalRetention, maxLedgerRecords / 2);
    while (!state.ledger.resultOrder.empty() && !state.ledger.records.contains(state.ledger.resultOrder.front())) {
        state.ledger.resultOrder.pop_front();
    }
}

} // namespace LaburnumFlow::Agent::Internal
