#pragma once

#include "scenario.h"
#include "schedule.h"

#include <cstdint>
#include <string>
#include <vector>

namespace LaburnumFlow::Load {

enum class JobEnd : std::uint8_t {
    Succeeded,
    Refused, ///< outcome not-run
    Failed,
    Unknown,
    Cancelled,
    NoAnswer, ///< the connection broke or the tool's own limit passed
};

struct JobResult {
    JobEnd end = JobEnd::NoAnswer;
    double latencyMs = 0; ///< from the intended arrival to the whole answer
    std::string id;
    std::string reason;
};

/// Sends every planned job at its time and waits for all answers. One thread, libcurl multi.
std::vector<JobResult> runSchedule(const Scenario &scenario, const std::vector<PlannedJob> &jobs, const std::vector<std::string> &entries, std::uint64_t seed);

/// Median time of a GET /v1/health at the entry, in milliseconds.
double measureRoundTripMs(const std::string &entry);

} // namespace LaburnumFlow::Load
