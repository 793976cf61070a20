#pragma once

#include "job.h"

#include <string>

namespace LaburnumFlow::Jobs {

/// Returns 16 hexadecimal digits, the form used in keys of the store and in logs.
std::string formatId(std::uint64_t id);

/// Returns JOB.STEP.INDEX/RUN, with #OCCURRENCE before /RUN unless it is the first.
std::string formatRun(const RunRef &run);

} // namespace LaburnumFlow::Jobs
