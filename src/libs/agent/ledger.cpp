#include "ledger.h"

#include "agentconstants.h"
#include "agentcounters.h"
#include "slots.h"

#include <utility>

namespace LaburnumFlow::Agent::Internal {

using Protocol::AgentReason;
using Protocol::AttemptState;

namespace {

LedgerEntry entryOf(const Protocol::StartTask &task)
{
    LedgerEntry entry;
    entry.idempotent = task.idempotent;
    entry.partition = task.partition;
    entry.bodyDigest = task.bodyDigest;
    entry.team = task.team;
    entry.kind = task.kind;
    return entry;
}

void keepResult(Ledger &ledger, const Base::AttemptKey &key, LedgerEntry &entry, std::string &&result)
{
    entry.result = std::move(result);
    if (entry.result.empty()) {
        return;
    }
    ledger.resultBytes += entry.result.size();
    ledger.results.push_back(key);
}

void dropResult(Ledger &ledger, LedgerEntry &entry)
{
    ledger.resultBytes -= entry.result.size();
    entry.resultDropped = entry.state == AttemptState::Succeeded && !entry.result.empty();
    entry.result = {};
}

/// Drops the oldest results but the newest one, which has not been sent yet.
void boundResults(Ledger &ledger)
{
    while (ledger.resultBytes > maxResultBytes && ledger.results.size() > 1) {
        const auto found = ledger.entries.find(ledger.results.front());
        if (found != ledger.entries.end()) {
            dropResult(ledger, found->second);
        }
        ledger.results.pop_front();
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

/// Forgets what expires by a time while more than a number of records are kept.
void forgetUntil(Ledger &ledger, std::deque<Expiry> &expiries, Base::MonoTime until, std::size_t records)
{
    while (!expiries.empty() && expiries.front().at <= until && ledger.entries.size() > records) {
        const Base::AttemptKey key = expiries.front().key;
        const auto found = ledger.entries.find(key);
        if (found != ledger.entries.end()) {
            ledger.resultBytes -= found->second.result.size();
            ledger.entries.erase(found);
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
    live.isLong = task.expectedMs > longTaskMs;
    live.expectedMs = task.expectedMs;
    live.limitMs = task.limitMs;
    live.settingsRevision = task.settingsRevision;
    live.rootRevision = task.rootRevision;
    live.queuedAt = state.now;
    live.deadline = state.now + std::chrono::milliseconds(task.remainingMs);
    live.startLeaseEnd = Base::MonoTime(token.agentMonoUs) + Protocol::leaseDuration;
    state.ledger.entries.emplace(task.key, entryOf(task));
    state.ledger.liveByTask.emplace(task.key.task, task.key);
    const auto made = state.ledger.live.emplace(task.key, std::move(live));
    enqueue(state, task.key, made.first->second);
}

void refuseArrival(AgentState &state, Step &step, const std::string &entry, const Protocol::StartTask &task, AgentReason reason)
{
    step.count(refusedCounter(reason));
    if (state.ledger.entries.size() >= maxLedgerRecords || task.partition >= Protocol::partitionCount) {
        step.unrecorded.emplace_back(entry, Protocol::TaskUpdate{task.key, AttemptState::Refused, reason, 0, {}});
        return;
    }
    LedgerEntry refused = entryOf(task);
    refused.state = AttemptState::Refused;
    refused.reason = reason;
    state.ledger.entries.emplace(task.key, std::move(refused));
    state.ledger.refused.push_back({state.now + ledgerRetention, task.key});
    step.due.emplace_back(entry, task.key);
}

void fence(AgentState &state, Step &step, const Base::AttemptKey &key)
{
    step.count("agent.fenced");
    LedgerEntry fenced;
    fenced.state = AttemptState::Refused;
    fenced.reason = AgentReason::Fenced;
    state.ledger.entries.emplace(key, std::move(fenced));
    state.ledger.ended.push_back({state.now + ledgerRetention, key});
}

void endAttempt(AgentState &state, Step &step, const Base::AttemptKey &key, AttemptState ended, AgentReason reason, std::string result)
{
    Ledger &ledger = state.ledger;
    LedgerEntry &entry = ledger.entries.at(key);
    const LiveAttempt &live = ledger.live.at(key);
    if (entry.state == AttemptState::Running) {
        entry.runMs = static_cast<std::uint32_t>((state.now - live.startedAt) / 1ms);
        state.running.erase(key);
    } else {
        dequeue(state, key, live);
    }
    entry.state = ended;
    entry.reason = reason;
    keepResult(ledger, key, entry, std::move(result));
    ledger.live.erase(key);
    ledger.liveByTask.erase(key.task);
    ledger.ended.push_back({state.now + ledgerRetention, key});
    boundResults(ledger);
    countEnd(step, ended, reason);
    reportToOwner(state, step, key);
}

void expireLedger(AgentState &state)
{
    forgetUntil(state.ledger, state.ledger.ended, state.now, 0);
    forgetUntil(state.ledger, state.ledger.refused, state.now, 0);
    forgetUntil(state.ledger, state.ledger.refused, state.now + ledgerRetention - refusalRetention, maxLedgerRecords / 2);
    while (!state.ledger.results.empty() && !state.ledger.entries.contains(state.ledger.results.front())) {
        state.ledger.results.pop_front();
    }
}

} // namespace LaburnumFlow::Agent::Internal
