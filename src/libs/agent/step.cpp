#include "step.h"

#include "agentconstants.h"
#include "slots.h"

#include <algorithm>
#include <bitset>
#include <map>

namespace LaburnumFlow::Agent::Internal {

namespace {

constexpr std::size_t updateOverhead = 64; ///< upper estimate of an update's fixed fields in bytes

const std::string &ownerName(const AgentState &state, const LedgerEntry &entry)
{
    return state.partitions[entry.partition].entry;
}

bool linkUp(const AgentState &state, const std::string &entry)
{
    const auto found = state.entries.find(entry);
    return found != state.entries.end() && found->second.linkUp;
}

void sendUpdates(const AgentState &state, Step &step, const std::string &entry, std::vector<Protocol::TaskUpdate> &&updates)
{
    step.effects.emplace_back(SendToEntry{entry, Protocol::TaskUpdates{tokenNow(state), loadOf(state), std::move(updates)}});
}

void sendInParts(const AgentState &state, Step &step, const std::string &entry, std::vector<Protocol::TaskUpdate> &&all)
{
    std::vector<Protocol::TaskUpdate> part;
    std::size_t bytes = 0;
    for (Protocol::TaskUpdate &update : all) {
        const std::size_t size = updateOverhead + update.result.size();
        if (!part.empty() && bytes + size > maxPartBytes) {
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

Protocol::AttemptRecord recordOf(const Base::AttemptKey &key, const LedgerEntry &entry)
{
    return {updateOf(key, entry), entry.partition, entry.bodyDigest, entry.team, entry.kind, entry.idempotent};
}

} // namespace

Protocol::TaskUpdate updateOf(const Base::AttemptKey &key, const LedgerEntry &entry)
{
    Protocol::TaskUpdate update{key, entry.state, entry.reason, entry.runMs, entry.result};
    if (entry.resultDropped) {
        // Without its result a success is of no use to the owner, who must not answer with an empty one.
        update.state = Protocol::AttemptState::Lost;
    }
    return update;
}

void reportToOwner(AgentState &state, Step &step, const Base::AttemptKey &key)
{
    const std::string &owner = ownerName(state, state.ledger.entries.at(key));
    if (linkUp(state, owner)) {
        step.due.emplace_back(owner, key);
    } else {
        state.ledger.unreported.insert(key);
    }
}

void reportKept(AgentState &state, Step &step, const std::string &entry)
{
    if (!linkUp(state, entry)) {
        return;
    }
    std::erase_if(state.ledger.unreported, [&](const Base::AttemptKey &key) {
        const auto found = state.ledger.entries.find(key);
        if (found == state.ledger.entries.end()) {
            return true;
        }
        if (ownerName(state, found->second) != entry) {
            return false;
        }
        step.due.emplace_back(entry, key);
        return true;
    });
}

void flushUpdates(AgentState &state, Step &step)
{
    std::sort(step.due.begin(), step.due.end());
    step.due.erase(std::unique(step.due.begin(), step.due.end()), step.due.end());
    std::map<std::string, std::vector<Protocol::TaskUpdate>> byEntry;
    for (const auto &[entry, key] : step.due) {
        const auto found = state.ledger.entries.find(key);
        if (found != state.ledger.entries.end()) {
            byEntry[entry].push_back(updateOf(key, found->second));
        }
    }
    for (auto &[entry, update] : step.unrecorded) {
        byEntry[entry].push_back(std::move(update));
    }
    for (auto &[entry, updates] : byEntry) {
        sendInParts(state, step, entry, std::move(updates));
    }
    step.due.clear();
    step.unrecorded.clear();
}

void sendFenceReply(const AgentState &state, Step &step, const std::string &entry, const Protocol::FenceQuery &query)
{
    std::bitset<Protocol::partitionCount> asked;
    for (const Protocol::Partition partition : query.partitions) {
        asked.set(partition);
    }
    Protocol::FenceReply part{query.epoch, tokenNow(state), {}, false};
    std::size_t bytes = 0;
    for (const auto &[key, known] : state.ledger.entries) {
        if (!asked.test(known.partition) || known.reason == Protocol::AgentReason::Fenced) {
            continue;
        }
        const std::size_t size = 2 * updateOverhead + known.result.size() + known.team.size() + known.kind.size();
        if (!part.records.empty() && bytes + size > maxPartBytes) {
            step.effects.emplace_back(SendToEntry{entry, part});
            part.records.clear();
            bytes = 0;
        }
        bytes += size;
        part.records.push_back(recordOf(key, known));
    }
    part.last = true;
    step.effects.emplace_back(SendToEntry{entry, std::move(part)});
}

Protocol::ClockToken tokenNow(const AgentState &state)
{
    return {state.self.incarnation, state.now.count()};
}

} // namespace LaburnumFlow::Agent::Internal
