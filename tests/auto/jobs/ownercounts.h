#pragma once

#include "jobs/ownerstate.h"

#include <string>

namespace LaburnumFlow::Jobs::Testing {

/// Compares the counts and indexes that the owner keeps with a plain count over its jobs and runs. Returns what differs, or an empty string.
std::string findMiscount(const OwnerState &state);

} // namespace LaburnumFlow::Jobs::Testing
