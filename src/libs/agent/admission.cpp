#include "admission.h"

#include "agentconstants.h"
#include "ledger.h"
#include "slots.h"

#include <algorithm>

namespace LaburnumFlow::Agent::Internal {

using Protocol::AgentReason;

namespace {

constexpr const char *rootSettings = ""; ///< the root's name in a RevisionMap

bool tokenFresh(const AgentState &state, const Protocol::ClockToken &token)
{
    const Base::MonoTime issued(token.agentMonoUs);
    return token.agentIncarnation == state.self.incarnation && issued <= state.now && state.now - issued <= Protocol::maxTokenAge;
}

std::uint64_t highestRevision(const AgentState &state, const std::string &team)
{
    const auto found = state.revisions.find(team);
    return found == state.revisions.end() ? 0 : found->second;
}

void raiseRevision(AgentState &state, const std::string &team, std::uint64_t revision)
{
    std::uint64_t &highest = state.revisions[team];
    highest = std::max(highest, revision);
}

AgentReason serviceRefusal(const AgentState &state, const Protocol::StartTask &task)
{
    if (state.draining || state.backend == BackendState::Leaving) {
        return AgentReason::Draining;
    }
    if (state.backend == BackendState::Unreachable) {
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
    if (!hasRoom(state, task.expectedMs > longTaskMs) || state.ledger.entries.size() >= maxLedgerRecords) {
        return AgentReason::QueueFull;
    }
    return AgentReason::None;
}

AgentReason refusalOf(const AgentState &state, const Protocol::StartBatch &batch, const Protocol::StartTask &task, bool claimed)
{
    if (!claimed) {
        return AgentReason::EpochTooLow;
    }
    if (!tokenFresh(state, batch.token)) {
        return AgentReason::TokenTooOld;
    }
    if (settingsTooOld(state, task.team, task.settingsRevision, task.rootRevision)) {
        return AgentReason::SettingsTooOld;
    }
    return serviceRefusal(state, task);
}

void handleTask(AgentState &state, Step &step, const std::string &entry, const Protocol::StartBatch &batch, const Protocol::StartTask &task)
{
    const bool claimed = task.partition < Protocol::partitionCount && claimPartition(state, step, entry, task.partition, batch.epoch);
    if (state.ledger.entries.contains(task.key)) {
        step.count("agent.known-attempt");
        step.due.emplace_back(entry, task.key);
        return;
    }
    const AgentReason reason = refusalOf(state, batch, task, claimed);
    if (reason != AgentReason::None) {
        refuseArrival(state, step, entry, task, reason);
        return;
    }
    recordQueued(state, task, batch.token);
    step.due.emplace_back(entry, task.key);
    fillSlots(state, step);
}

} // namespace

void handleStart(AgentState &state, Step &step, const std::string &entry, const Protocol::StartBatch &batch)
{
    // Revisions hold even if their start is refused: an accepted revision never reverts.
    for (const Protocol::StartTask &task : batch.tasks) {
        raiseRevision(state, task.team, task.settingsRevision);
        raiseRevision(state, rootSettings, task.rootRevision);
    }
    for (const Protocol::StartTask &task : batch.tasks) {
        handleTask(state, step, entry, batch, task);
    }
}

bool claimPartition(AgentState &state, Step &step, const std::string &entry, Protocol::Partition partition, Protocol::Epoch epoch)
{
    PartitionOwner &owner = state.partitions[partition];
    if (epoch < owner.epoch) {
        return false;
    }
    owner.epoch = epoch;
    if (owner.entry == entry) {
        return true;
    }
    owner.entry = entry;
    for (auto &[key, live] : state.ledger.live) {
        if (state.ledger.entries.at(key).partition == partition) {
            // The new owner reckons leases by its own echoes only.
            live.startLeaseEnd = {};
        }
    }
    reportKept(state, step, entry);
    return true;
}

bool settingsTooOld(const AgentState &state, const std::string &team, std::uint64_t teamRevision, std::uint64_t rootRevision)
{
    return teamRevision < highestRevision(state, team) || rootRevision < highestRevision(state, rootSettings);
}

} // namespace LaburnumFlow::Agent::Internal
