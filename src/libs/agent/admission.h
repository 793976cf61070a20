#pragma once

#include "step.h"

#include <cstdint>
#include <string>

namespace LaburnumFlow::Agent::Internal {

/// Takes in or refuses each task of a batch and answers the entry.
void handleStart(AgentState &state, Step &step, const std::string &entry, const Protocol::StartBatch &batch);

/// Makes the entry the owner of the partition unless a higher epoch is known. Returns false in that case.
bool acceptOwner(AgentState &state, Step &step, const std::string &entry, Protocol::Partition partition, Protocol::Epoch epoch);

/// True if a higher revision of the team's or the root's settings has been seen.
bool areSettingsTooOld(const AgentState &state, const std::string &team, std::uint64_t teamRevision, std::uint64_t rootRevision);

} // namespace LaburnumFlow::Agent::Internal
