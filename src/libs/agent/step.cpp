#include "step.h"

#include "agentconstants.h"
#include "slots.h"

#include <algorithm>
#include <bitset>
#include <map>

namespace LaburnumFlow::Agent::Internal {

namespace {

constexpr std::size_t updateOverhead = 64; ///< Upper estimate of the size of an update without its result, in bytes

const std::string &ownerName(const AgentState &state, const RecordedAttempt &record)
{
    return state.partitionOwners[record.partition].entry;
}

bool isLinked(const AgentState &state, const std::string &entry)
{
    const auto found = state.entries.find(entry);
    return found != state.entries.end() && found->second.linked;
}

void sendUpdates(const AgentState &state, Step &step, const std::string &entry, std::vector<Protocol::TaskUpdate> &&updates)
{
    step.effects.emplace_back(SendToEntry{entry, Protocol::TaskUpdates{currentToken(state), currentLoad(state), std::move(updates)}});
}

void sendInParts(const AgentState &state, Step &step, const std::string &entry, std::vector<Protocol::TaskUpdate> &&all)
{
    std::vector<Protocol::TaskUpdate> part;
    std::size_t bytes = 0;
    for (Protocol::TaskUpdate &update : all) {
        const std::size_t size = updateOverhead + update.result.size();
        if (!part.empty() && bytes + size > maxReplyPartBytes) {
            sendUpdates(state, step, entry, std::move(part));
            part = {};
            bytes = 0;
        }
        bytes += size;
        part.push_back(std::move(update));
    }
    if (!part.empty()) {
        sendUpdates(state, step, entry, std::move(part));
    }
}

Protocol::AttemptRecord makeAttemptRecord(const Base::AttemptKey &key, const RecordedAttempt &record)
{
    return {makeTaskUpdate(key, record), record.partition, record.bodyDigest, record.team, record.kind, record.idempotent};
}

} // namespace

Protocol::TaskUpdate makeTaskUpdate(const Base::AttemptKey &key, const RecordedAttempt &record)
{
    Protocol::TaskUpdate update{key, record.state, record.reason, record.runMs, record.result};
    if (record.resultDropped) {
        // Reported as lost, because the owner must not answer a job with an empty result.
        update.state = Protocol::AttemptState::Lost;
    }
    return update;
}

void reportToOwner(AgentState &state, Step &step, const Base::AttemptKey &key)
{
    const std::string &owner = ownerName(state, state.ledger.records.at(key));
    if (isLinked(state, owner)) {
        step.pendingUpdates.emplace_back(owner, key);
    } else {
        state.ledger.unreported.insert(key);
    }
}

void sendUnreported(AgentState &state, Step &step, const std::string &entry)
{
    if (!isLinked(state, entry)) {
        return;
    }
    std::erase_if(state.ledger.unreported, [&](const Base::AttemptKey &key) {
        const auto found = state.ledger.records.find(key);
        if (found == state.ledger.records.end()) {
            return true;
        }
        if (ownerName(state, found->second) != entry) {
            return false;
        }
        step.pendingUpdates.emplace_back(entry, key);
        return true;
    });
}

void flushUpdates(AgentState &state, Step &step)
{
    std::sort(step.pendingUpdates.begin(), step.pendingUpdates.end());
    step.pendingUpdates.erase(std::unique(step.pendingUpdates.begin(), step.pendingUpdates.end()), step.pendingUpdates.end());
    std::map<std::string, std::vector<Protocol::TaskUpdate>> byEntry;
    for (const auto &[entry, key] : step.pendingUpdates) {
        const auto found = state.ledger.records.find(key);
        if (found != state.ledger.records.end()) {
            byEntry[entry].push_back(makeTaskUpdate(key, found->second));
        }
    }
    for (auto &[entry, update] : step.unrecordedRefusals) {
        byEntry[entry].push_back(std::move(update));
    }
    for (auto &[entry, updates] : byEntry) {
        sendInParts(state, step, entry, std::move(updates));
    }
    step.pendingUpdates.clear();
    step.unrecordedRefusals.clear();
}

void sendFenceReply(const AgentState &state, Step &step, const std::string &entry, const Protocol::FenceQuery &query)
{
    std::bitset<Protocol::partitionCount> asked;
    for (const Protocol::Partition partition : query.partitions) {
        asked.set(partition);
    }
    Protocol::FenceReply part{query.epoch, currentToken(state), {}, false};
    std::size_t bytes = 0;
    for (const auto &[key, known] : state.ledger.records) {
        if (!asked.test(known.partition) || known.reason == Protocol::AgentReason::Fenced) {
            continue;
        }
        const std::size_t size = 2 * updateOverhead + known.result.size() + known.team.size() + known.kind.size();
        if (!part.records.empty() && bytes + size > maxReplyPartBytes) {
            step.effects.emplace_back(SendToEntry{entry, part});
            part.records.clear();
            bytes = 0;
        }
        bytes += size;
        part.records.push_back(makeAttemptRecord(key, known));
    }
    part.last = true;
    step.effects.emplace_back(SendToEntry{entry, std::move(part)});
}

Protocol::ClockToken currentToken(const AgentState &state)
{
    return {state.self.incarnation, state.now.count()};
}

} // namespace LaburnumFlow::Agent::Internal
