#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// Reads saved log lines and tells from them what happened to a job.
namespace LaburnumFlow::Explain {

/// A line of a process's structured log.
struct LogLine {
    std::chrono::milliseconds time{}; ///< since the epoch, or since the start of the log if its lines begin with seconds
    std::string process;
    std::string event;
    std::map<std::string, std::string> fields; ///< all others
};

/// Nothing unless the line has a time and an event. Lines may begin with a time in seconds and the name of the process,
/// as collectors of several processes' output write them.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace LaburnumFlow::Explain
