#include "requests.h"

#include "admission.h"
#include "leases.h"
#include "ledger.h"

namespace LaburnumFlow::Agent::Internal {

using Protocol::AgentReason;
using Protocol::AttemptState;

namespace {

void cancelKnown(AgentState &state, Step &step, const std::string &entry, Protocol::Epoch epoch, const Base::AttemptKey &key)
{
    const LedgerEntry &known = state.ledger.entries.at(key);
    const bool live = state.ledger.live.contains(key);
    if (live && epoch < state.partitions[known.partition].epoch) {
        step.count("agent.cancel.epoch-too-low");
    } else if (live && known.state == AttemptState::Queued) {
        endAttempt(state, step, key, AttemptState::Refused, AgentReason::Cancelled);
    } else if (live) {
        stopAttempt(state, step, key, AgentReason::Cancelled);
        return; // answered when it has ended
    }
    step.due.emplace_back(entry, key);
}

} // namespace

void handleCancel(AgentState &state, Step &step, const std::string &entry, const Protocol::CancelTasks &cancel)
{
    for (const Base::AttemptKey &key : cancel.keys) {
        if (state.ledger.entries.contains(key)) {
            cancelKnown(state, step, entry, cancel.epoch, key);
            continue;
        }
        fence(state, step, key);
        step.due.emplace_back(entry, key);
    }
}

void handleQuery(AgentState &state, Step &step, const std::string &entry, const Protocol::QueryAttempts &query)
{
    for (const Base::AttemptKey &key : query.keys) {
        const auto known = state.ledger.entries.find(key);
        if (known == state.ledger.entries.end()) {
            fence(state, step, key);
        } else if (known->second.reason != AgentReason::Fenced) {
            // After a handover the new owner asks without a FenceQuery and is to get the updates from now on.
            claimPartition(state, step, entry, known->second.partition, query.epoch);
        }
        step.due.emplace_back(entry, key);
    }
}

void handleFenceQuery(AgentState &state, Step &step, const std::string &entry, const Protocol::FenceQuery &query)
{
    bool claimed = true;
    for (const Protocol::Partition partition : query.partitions) {
        claimed = partition < Protocol::partitionCount && claimPartition(state, step, entry, partition, query.epoch) && claimed;
    }
    if (!claimed) {
        // An answer counts as final, which it would not be for a partition with a newer owner.
        step.count("agent.fence-query.epoch-too-low");
        return;
    }
    sendFenceReply(state, step, entry, query);
}

} // namespace LaburnumFlow::Agent::Internal
