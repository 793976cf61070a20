#pragma once

#include "job.h"

#include <string>

namespace LaburnumFlow::Jobs {

/// 16 hexadecimal digits, as in keys of the store and in logs.
std::string formatId(std::uint64_t id);

/// JOB.STEP.INDEX/RUN, with #OCCURRENCE before the run if it is not the first
std::string formatRun(const RunRef &run);

} // namespace LaburnumFlow::Jobs
