#include "admission.h"

#include "agentconstants.h"
#include "ledger.h"
#include "slots.h"

#include <algorithm>

namespace LaburnumFlow::Agent::Internal {

using Protocol::AgentReason;

namespace {

constexpr const char *rootSettings = ""; ///< Name of the root settings in a RevisionMap

bool isTokenValid(const AgentState &state, const Protocol::ClockToken &token)
{
    const Base::MonoTime issued(token.agentMonoUs);
    return token.agentIncarnation == state.self.incarnation && issued <= state.now && state.now - issued <= Protocol::maxTokenAge;
}

std::uint64_t highestRevision(const AgentState &state, const std::string &team)
{
    const auto found = state.highestRevisions.find(team);
    return found == state.highestRevisions.end() ? 0 : found->second;
}

void raiseRevision(AgentState &state, const std::string &team, std::uint64_t revision)
{
    std::uint64_t &highest = state.highestRevisions[team];
    highest = std::max(highest, revision);
}

AgentReason serviceRefusalReason(const AgentState &state, const Protocol::StartTask &task)
{
    if (state.draining || state.backendState == BackendState::Leaving) {
        return AgentReason::Draining;
    }
    if (state.backendState == BackendState::Unreachable) {
        return AgentReason::BackendUnreachable;
    }
    if (!state.kinds.empty() && std::find(state.kinds.begin(), state.kinds.end(), task.kind) == state.kinds.end()) {
        return AgentReason::KindUnknown;
    }
    if (task.remainingMs == 0) {
        return AgentReason::DeadlinePast;
    }
    if (state.ledger.liveByTask.contains(task.key.task)) {
        return AgentReason::Duplicate;
    }
    if (!hasCapacity(state, task.expectedMs > longTaskThresholdMs) || state.ledger.records.size() >= maxLedgerRecords) {
        return AgentReason::QueueFull;
    }
    return AgentReason::None;
}

AgentReason refusalReason(const AgentState &state, const Protocol::StartBatch &batch, const Protocol::StartTask &task, bool ownerAccepted)
{
    if (!ownerAccepted) {
        return AgentReason::EpochTooLow;
    }
    if (!isTokenValid(state, batch.token)) {
        return AgentReason::TokenTooOld;
    }
    if (areSettingsTooOld(state, task.team, task.settingsRevision, task.rootRevision)) {
        return AgentReason::SettingsTooOld;
    }
    return serviceRefusalReason(state, task);
}

void handleStartTask(AgentState &state, Step &step, const std::string &entry, const Protocol::StartBatch &batch, const Protocol::StartTask &task)
{
    const bool ownerAccepted = task.partition < Protocol::partitionCount && acceptServingOwner(state, step, entry, task.partition, batch.epoch);
    if (state.ledger.records.contains(task.key)) {
        step.count("agent.known-attempt");
        step.pendingUpdates.emplace_back(entry, task.key);
        return;
    }
    const AgentReason reason = refusalReason(state, batch, task, ownerAccepted);
    if (reason != AgentReason::None) {
        refuseStart(state, step, entry, task, reason);
        return;
    }
    recordQueued(state, task, batch.token);
    step.pendingUpdates.emplace_back(entry, task.key);
    fillSlots(state, step);
}

} // namespace

void handleStart(AgentState &state, Step &step, const std::string &entry, const Protocol::StartBatch &batch)
{
    // Revisions count even if their start is refused: an accepted revision is never withdrawn.
    for (const Protocol::StartTask &task : batch.tasks) {
        raiseRevision(state, task.team, task.settingsRevision);
        raiseRevision(state, rootSettings, task.rootRevision);
    }
    for (const Protocol::StartTask &task : batch.tasks) {
        handleStartTask(state, step, entry, batch, task);
    }
}

bool acceptOwner(AgentState &state, Step &step, const std::string &entry, Protocol::Partition partition, Protocol::Epoch epoch)
{
    PartitionOwner &owner = state.partitionOwners[partition];
    if (epoch < owner.epoch) {
        return false;
    }
    owner.epoch = epoch;
    if (owner.entry == entry) {
        return true;
    }
    if (!owner.entry.empty()) {
        owner.unfencedEntries.insert(owner.entry);
    }
    owner.entry = entry;
    for (auto &[key, live] : state.ledger.live) {
        if (state.ledger.records.at(key).partition == partition) {
            // The new owner computes the ends of leases from its own echoes only.
            live.startLeaseEnd = {};
        }
    }
    sendUnreported(state, step, entry);
    return true;
}

bool acceptServingOwner(AgentState &state, Step &step, const std::string &entry, Protocol::Partition partition, Protocol::Epoch epoch)
{
    if (!acceptOwner(state, step, entry, partition, epoch)) {
        return false;
    }
    state.partitionOwners[partition].unfencedEntries.clear();
    return true;
}

bool areSettingsTooOld(const AgentState &state, const std::string &team, std::uint64_t teamRevision, std::uint64_t rootRevision)
{
    return teamRevision < highestRevision(state, team) || rootRevision < highestRevision(state, rootSettings);
}

} // namespace LaburnumFlow::Agent::Internal
