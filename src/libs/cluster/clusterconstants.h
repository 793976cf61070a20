#pragma once

#include "protocol/protocolconstants.h"

namespace LaburnumFlow::Cluster {

using namespace std::chrono_literals;

/// How long a joining entry waits until all members have echoed its heartbeats. Without this wait, an entry whose heartbeats are lost in one direction
/// would be removed and join again every entrySilenceTimeout.
constexpr Base::Duration joinTimeout = 5s;

/// A draining entry goes on after this time even if the map without it could not be written.
constexpr Base::Duration leaveTimeout = 5s;

constexpr Base::Duration handoverTimeout = 3s; ///< includes the wait for the link to the new owner and for its acknowledgement
constexpr Base::Duration processSuspensionThreshold = 500ms; ///< a longer gap between two ticks means that this process was suspended
constexpr Base::Duration echoPeriodAfterLinkLoss = 1500ms; ///< tokens of an agent without a link are echoed, and so renew its leases, for this long
constexpr Base::Duration unfencedClearStagger = 500ms; ///< delay per position in the map, so that only one member clears the unfenced sets
constexpr Base::Duration peerRetention = 60s;
constexpr Base::Duration agentRetention = Protocol::deduplicationWindow;
constexpr Base::Duration maxHeartbeatDelay = 1s; ///< a token received this long after a moment was issued after it
constexpr std::size_t maxFormerIncarnations = 8;

/// Adds 10 % for the clock drift between two machines.
constexpr Base::Duration withClockDrift(Base::Duration duration)
{
    return duration + duration / 10;
}

} // namespace LaburnumFlow::Cluster
