#pragma once

#include "scenario.h"

#include <cstdint>
#include <string>
#include <vector>

namespace LaburnumFlow::Load {

/// A job to be sent at a given time, whatever has become of the ones before.
struct PlannedJob {
    double atSeconds = 0; ///< after the start of the run
    std::size_t workClass = 0; ///< index into the scenario's mix
    std::vector<double> runMs; ///< of each task, at speed 1
    std::size_t entry = 0; ///< index of the entry that it is sent to
    bool cancel = false;
    bool resubmit = false;
};

/// Draws all arrivals of a run. The same scenario, seed and number of entries give the same jobs.
std::vector<PlannedJob> drawSchedule(const Scenario &scenario, std::uint64_t seed, std::size_t entries);

/// The job's run time on an idle system: its longest task on the fastest worker, in milliseconds.
double idealMs(const Scenario &scenario, const PlannedJob &job);

} // namespace LaburnumFlow::Load
