#pragma once

#include "entrynode/ownership.h"
#include "jobs/owner.h"
#include "taskagent/agentreducer.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

/// The current status of a laburnumnode process as JSON, for operators. Times are in milliseconds.
namespace LaburnumFlow::NodeStatus {

/// Properties that entries and agents have in common.
struct ProcessInfo {
    std::string name;
    std::string failureDomain;
    bool stopping = false;
};

struct EntryInfo {
    ProcessInfo process;
    std::uint64_t rulesVersion = 0; ///< Version of the active rules; 0 while there are none
    std::string owner; ///< Name of the entry that owns the jobs as far as this entry knows; empty if there is none
    std::size_t openRequests = 0; ///< Requests of callers without an answer yet
};

/// Returns the status of an entry. owner holds the jobs if this entry owns them, else it is null.
nlohmann::json entryStatus(const EntryInfo &info, const EntryNode::OwnershipState &ownership, const Jobs::OwnerState *owner);

/// Returns the status of an agent, its worker and its runs.
nlohmann::json agentStatus(const ProcessInfo &info, const TaskAgent::AgentState &agent);

} // namespace LaburnumFlow::NodeStatus
