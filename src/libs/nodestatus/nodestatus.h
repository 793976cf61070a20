#pragma once

#include "entrynode/ownership.h"
#include "jobs/owner.h"
#include "taskagent/agentreducer.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

/// What an operator wants to know of a process of laburnumnode at a moment, as JSON. Times are in milliseconds.
namespace LaburnumFlow::NodeStatus {

/// What both kinds of processes say of themselves.
struct ProcessInfo {
    std::string name;
    std::string failureDomain;
    bool stopping = false;
};

struct EntryInfo {
    ProcessInfo process;
    std::uint64_t rulesVersion = 0; ///< 0 before the first
    std::string owner; ///< the entry that owns the jobs as far as this one knows; empty: none
    std::size_t openRequests = 0; ///< of callers
};

/// owner: the jobs, if this entry owns them; else null.
nlohmann::json entryStatus(const EntryInfo &info, const EntryNode::OwnershipState &ownership, const Jobs::OwnerState *owner);

nlohmann::json agentStatus(const ProcessInfo &info, const TaskAgent::AgentState &agent);

} // namespace LaburnumFlow::NodeStatus
