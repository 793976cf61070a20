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

/// Limits the rate of log lines by a token bucket that holds the lines of one second.
class LineRateLimiter
{
public:
    explicit LineRateLimiter(std::uint32_t linesPerSecond) : linesPerSecond_(linesPerSecond), tokens_(linesPerSecond) { }

    /// Returns whether a line may be written now. Counts the line as dropped otherwise.
    bool tryAcquire(Base::MonoTime now);

    /// Returns the number of lines dropped since the last call.
    std::uint64_t takeDropped();

    /// Returns the number of all dropped lines.
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    double linesPerSecond_;
    double tokens_;
    Base::MonoTime refilledAt_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t reportedDropped_ = 0; ///< Value of dropped_ at the last call of takeDropped()
};

/// Writes decisions of the process to the root logger at a limited rate. The next line that is written has the number of dropped ones.
class DecisionLog
{
public:
    DecisionLog(std::string process, std::uint32_t linesPerSecond) : process_(std::move(process)), rateLimiter_(linesPerSecond) { }

    /// Writes a line unless the rate limit is exceeded.
    void write(std::string_view event, std::span<const std::pair<std::string, std::string>> fields, Base::MonoTime now);

    /// Writes a line regardless of the rate limit, for rare events such as start and stop.
    void writeAlways(std::string_view event, std::span<const std::pair<std::string, std::string>> fields);

    /// Returns the number of lines dropped by the rate limit or because standard output could not take them.
    std::uint64_t droppedLines() const;

private:
    std::string process_;
    LineRateLimiter rateLimiter_;
};

/// Sends log lines to standard output, which is made non-blocking, so that a reader that stalls can't stall the process. Lines that can't be written are
/// buffered up to a limit, then dropped; the next line has their number.
void logToStandardOutput();

} // namespace LaburnumFlow::Runtime
