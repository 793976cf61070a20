#pragma once

#include "step.h"

#include <cstdint>
#include <string>

namespace LaburnumFlow::Agent::Internal {

/// Queues or refuses each task of a batch and sends the entry an update for each.
void handleStart(AgentState &state, Step &step, const std::string &entry, const Protocol::StartBatch &batch);

/// Makes the entry the owner of the partition. Returns false and changes nothing if a higher epoch is known.
bool acceptOwner(AgentState &state, Step &step, const std::string &entry, Protocol::Partition partition, Protocol::Epoch epoch);

/// Same as acceptOwner, for a request that an entry sends only after it has fenced all former owners.
bool acceptServingOwner(AgentState &state, Step &step, const std::string &entry, Protocol::Partition partition, Protocol::Epoch epoch);

/// Returns true if a higher revision of the team's settings or of the root settings has been seen.
bool areSettingsTooOld(const AgentState &state, const std::string &team, std::uint64_t teamRevision, std::uint64_t rootRevision);

} // namespace LaburnumFlow::Agent::Internal
