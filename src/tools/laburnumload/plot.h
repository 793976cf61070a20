#pragma once

#include "report.h"

#include <string>

namespace LaburnumFlow::Load {

/// An SVG image of a run: each job's latency by its intended arrival, coloured by how it ended.
std::string plotRun(const RunData &run);

} // namespace LaburnumFlow::Load
