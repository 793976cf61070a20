#pragma once

#include "agentstate.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace LaburnumFlow::Agent::Internal {

/// What one call of reduce() leads to. Updates are sent together at its end, each with the state that its attempt
/// has by then.
struct Step {
    Effects effects;
    std::vector<std::pair<std::string, Base::AttemptKey>> pendingUpdates; ///< entry, attempt
    std::vector<std::pair<std::string, Protocol::TaskUpdate>> unrecordedRefusals; ///< refusals that the ledger has no room for

    void count(std::string_view counter)
    {
        effects.emplace_back(Count{counter, 1});
    }
};

/// The update that tells an attempt's state.
Protocol::TaskUpdate makeTaskUpdate(const Base::AttemptKey &key, const RecordedAttempt &record);

/// Marks an attempt that has ended for its owner; kept until the owner's link is up.
void reportToOwner(AgentState &state, Step &step, const Base::AttemptKey &key);

/// Sends the updates kept for an entry whose link is up or that has become the owner.
void sendUnreported(AgentState &state, Step &step, const std::string &entry);

/// Turns the updates due into messages below maxReplyPartBytes, as far as the size of single results allows.
void flushUpdates(AgentState &state, Step &step);

/// Lists the attempts of the partitions to an entry, in one or more parts.
void sendFenceReply(const AgentState &state, Step &step, const std::string &entry, const Protocol::FenceQuery &query);

/// The token for this moment.
Protocol::ClockToken currentToken(const AgentState &state);

} // namespace LaburnumFlow::Agent::Internal
