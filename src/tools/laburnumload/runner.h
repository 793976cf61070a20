#pragma once

#include "callforms.h"
#include "scenario.h"
#include "schedule.h"

#include <cstdint>
#include <string>
#include <vector>

namespace LaburnumFlow::Load {

struct JobResult {
    JobEnd end = JobEnd::NoAnswer;
    double latencyMs = 0; ///< from the intended arrival to the whole answer
    std::string id;
    std::string reason;
};

/// Sends every planned job at its time and waits for all answers. One thread, libcurl multi.
std::vector<JobResult> runSchedule(const Scenario &scenario, const std::vector<PlannedJob> &jobs, const std::vector<std::string> &entries, std::uint64_t seed);

/// Median time of a request to the entry that takes no work, in milliseconds.
double measureRoundTripMs(const Scenario &scenario, const std::string &entry);

} // namespace LaburnumFlow::Load
