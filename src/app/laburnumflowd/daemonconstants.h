#pragma once

#include <chrono>

namespace LaburnumFlow::Daemon {

constexpr int exitFaultySettings = 2; ///< also for a faulty command line
constexpr std::chrono::seconds drainLimit{30}; ///< a longer drain is given up with status 1

} // namespace LaburnumFlow::Daemon
