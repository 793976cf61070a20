#pragma once

#include <chrono>

namespace LaburnumFlow::Ctl {

constexpr int exitOk = 0;
constexpr int exitFailed = 1; ///< the job failed, or the call was refused
constexpr int exitUsage = 2;
constexpr int exitNotRun = 3;
constexpr int exitUnknown = 4; ///< whether the job ran, or the change took effect, is not known
constexpr int exitUnreachable = 5;
constexpr int exitConflict = 6; ///< another operator changed the settings meanwhile
constexpr int exitInvalid = 7; ///< the settings text has faults
constexpr int exitPending = 8; ///< written, but not accepted within the time-out

constexpr std::chrono::milliseconds pollInterval{100};

} // namespace LaburnumFlow::Ctl
