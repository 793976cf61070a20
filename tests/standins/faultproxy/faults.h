#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace FaultProxy {

using Clock = std::chrono::steady_clock;

/// What the proxy does to the traffic. Directions are seen from the one that connects.
struct Faults {
    std::uint16_t targetPort = 0; ///< loopback port to forward to; 0 forwards nothing
    std::chrono::milliseconds delay{0}; ///< in each direction
    std::size_t bytesPerSecond = 0; ///< of all TCP connections together, in each direction; 0 for no limit
    double dropDatagrams = 0; ///< share of datagrams that are lost
    double duplicateDatagrams = 0; ///< share of datagrams that are sent twice
    bool blockForward = false; ///< nothing reaches the target
    bool blockBackward = false; ///< nothing comes back
    bool refuseNew = false; ///< new connections are closed at once
    std::uint64_t silenceGeneration = 0; ///< connections of an older generation carry nothing any more
    std::uint64_t cutGeneration = 0; ///< connections of an older generation are closed
};

/// The faults in force; changed by the control thread and read by the forwarding thread.
class FaultControl
{
public:
    Faults current() const;

    /// Applies a JSON object with the members of Faults; "silence": true and "cut": true concern all connections open
    /// now. Returns false if the text is not of that form.
    bool apply(std::string_view text);

private:
    mutable std::mutex mutex_;
    Faults faults_;
};

/// Bytes on their way in one direction, with the time at which each piece may go on.
struct DelayedPiece {
    Clock::time_point due;
    std::string bytes;
};

using DelayQueue = std::deque<DelayedPiece>;

} // namespace FaultProxy
