#pragma once

#include "agentstate.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace LaburnumFlow::Agent::Internal {

/// Effects and updates collected during one call of reduce(). The updates are sent together at its end, each with the state
/// that its attempt has by then.
struct Step {
    Effects effects;
    std::vector<std::pair<std::string, Base::AttemptKey>> pendingUpdates; ///< Name of the receiving entry, and attempt
    std::vector<std::pair<std::string, Protocol::TaskUpdate>> unrecordedRefusals; ///< Refusals that do not fit into the ledger

    void count(std::string_view counter)
    {
        effects.emplace_back(Count{counter, 1});
    }
};

/// Returns the update that reports the state of an attempt.
Protocol::TaskUpdate makeTaskUpdate(const Base::AttemptKey &key, const RecordedAttempt &record);

/// Adds the update of an ended attempt to the pending ones, or keeps it until the owner's link is up.
void reportToOwner(AgentState &state, Step &step, const Base::AttemptKey &key);

/// Sends the updates kept for an entry. Called when its link comes up or it becomes an owner. Does nothing without a link.
void sendUnreported(AgentState &state, Step &step, const std::string &entry);

/// Sends the pending updates in messages of at most maxReplyPartBytes. A larger result gets a message of its own.
void flushUpdates(AgentState &state, Step &step);

/// Sends an entry the records of all attempts of the partitions, except fenced ones, in one or more parts.
void sendFenceReply(const AgentState &state, Step &step, const std::string &entry, const Protocol::FenceQuery &query);

/// Returns a token with the current time.
Protocol::ClockToken currentToken(const AgentState &state);

} // namespace LaburnumFlow::Agent::Internal
