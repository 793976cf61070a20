#include "requests.h"

#include "admission.h"
#include "leases.h"
#include "ledger.h"

namespace LaburnumFlow::Agent::Internal {

using Protocol::AgentReason;
using Protocol::AttemptState;

namespace {

void cancelAttempt(AgentState &state, Step &step, const std::string &entry, Protocol::Epoch epoch, const Base::AttemptKey &key)
{
    const RecordedAttempt &known = state.ledger.records.at(key);
    const bool live = state.ledger.live.contains(key);
    if (live && epoch < state.partitionOwners[known.partition].epoch) {
        step.count("agent.cancel.epoch-too-low");
    } else if (live && known.state == AttemptState::Queued) {
        endAttempt(state, step, key, AttemptState::Refused, AgentReason::Cancelled);
    } else if (live) {
        stopAttempt(state, step, key, AgentReason::Cancelled);
        return; // the update follows when the attempt has ended
    }
    step.pendingUpdates.emplace_back(entry, key);
}

} // namespace

void handleCancel(AgentState &state, Step &step, const std::string &entry, const Protocol::CancelTasks &cancel)
{
    for (const Base::AttemptKey &key : cancel.keys) {
        if (state.ledger.records.contains(key)) {
            cancelAttempt(state, step, entry, cancel.epoch, key);
            continue;
        }
        recordFenced(state, step, key);
        step.pendingUpdates.emplace_back(entry, key);
    }
}

void handleQuery(AgentState &state, Step &step, const std::string &entry, const Protocol::QueryAttempts &query)
{
    for (const Base::AttemptKey &key : query.keys) {
        const auto known = state.ledger.records.find(key);
        if (known == state.ledger.records.end()) {
            recordFenced(state, step, key);
        } else if (known->second.reason != AgentReason::Fenced) {
            // After a handover the new owner sends no FenceQuery, so this query makes it the receiver of the updates.
            acceptServingOwner(state, step, entry, known->second.partition, query.epoch);
        }
        step.pendingUpdates.emplace_back(entry, key);
    }
}

void handleFenceQuery(AgentState &state, Step &step, const std::string &entry, const Protocol::FenceQuery &query)
{
    bool ownerAccepted = true;
    for (const Protocol::Partition partition : query.partitions) {
        ownerAccepted = partition < Protocol::partitionCount && acceptOwner(state, step, entry, partition, query.epoch) && ownerAccepted;
    }
    if (!ownerAccepted) {
        // The entry would take a reply as final, but a newer owner may still start attempts of the partition.
        step.count("agent.fence-query.epoch-too-low");
        return;
    }
    sendFenceReply(state, step, entry, query);
}

} // namespace LaburnumFlow::Agent::Internal
