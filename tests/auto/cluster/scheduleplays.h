#pragma once

#include "simulation.h"

#include <cstddef>

namespace LaburnumFlow::ClusterTest {

/// Plays a schedule of each seed with the given number of entries and fails at the first one that breaks a promise. LABURNUMFLOW_SEEDS sets the number of seeds
/// and LABURNUMFLOW_FIRST_SEED the first one, to repeat a failure.
void runSeeds(std::size_t entries, Partitions partitions);

} // namespace LaburnumFlow::ClusterTest
