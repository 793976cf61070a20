#pragma once

#include "logline.h"

#include "base/types.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace LaburnumFlow::Runtime {

/// Limits the volume of log lines: a token bucket with one second's worth of lines.
class LineRateLimiter
{
public:
    explicit LineRateLimiter(std::uint32_t linesPerSecond) : linesPerSecond_(linesPerSecond), tokens_(linesPerSecond) { }

    /// Whether a line may be written now. Refused lines are counted.
    bool tryAcquire(Base::MonoTime now);

    /// The number of refused lines since the last call.
    std::uint64_t takeDropped();

    /// The number of all refused lines.
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    double linesPerSecond_;
    double tokens_;
    Base::MonoTime refilledAt_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t reportedDropped_ = 0; ///< of dropped_, by takeDropped()
};

/// Writes decisions to the root logger within a budget. The number of lines that were dropped stands in the next line.
class DecisionLog
{
public:
    DecisionLog(std::string process, std::uint32_t linesPerSecond) : process_(std::move(process)), rateLimiter_(linesPerSecond) { }

    void write(std::string_view event, std::span<const std::pair<std::string, std::string>> fields, Base::MonoTime now);

    /// Outside of the budget, for rare lines such as start and stop.
    void writeAlways(std::string_view event, std::span<const std::pair<std::string, std::string>> fields);

    /// The number of lines that the budget refused, or that standard output had no room for.
    std::uint64_t droppedLines() const;

private:
    std::string process_;
    LineRateLimiter rateLimiter_;
};

/// Sends log lines to standard output without ever waiting for its reader. Lines that find no room are dropped and
/// counted in the line after them.
void logToStandardOutput();

} // namespace LaburnumFlow::Runtime
