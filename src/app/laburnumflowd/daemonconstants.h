#pragma once

#include <chrono>

namespace LaburnumFlow::Daemon {

constexpr std::chrono::seconds drainLimit{30}; ///< a longer drain is given up with status 1

} // namespace LaburnumFlow::Daemon
