#pragma once

#include "backendrecords.h"
#include "runner.h"
#include "scenario.h"
#include "schedule.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace LaburnumFlow::Load {

/// Everything that a run gave, for the report.
struct RunData {
    const Scenario &scenario;
    const std::vector<PlannedJob> &jobs;
    const std::vector<JobResult> &results;
    double roundTripMs = 0;
    std::uint64_t seed = 0;
    RecordCheck records;
};

/// Ratios to the ideal, goodput, refusals and the checks of the records.
nlohmann::json makeReport(const RunData &run);

/// The value below which the share (0 to 1) of the values lies; 0 for none. Sorts the values.
double percentile(std::vector<double> &values, double share);

} // namespace LaburnumFlow::Load
