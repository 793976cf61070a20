#pragma once

#include "protocol/protocolconstants.h"

namespace LaburnumFlow::Cluster {

using namespace std::chrono_literals;

/// A joining entry waits this long for heartbeats in both directions with all members. Without the wait, an entry
/// whose heartbeats are lost one way would be removed and join again every entrySilenceTimeout.
constexpr Base::Duration joinTimeout = 5s;

/// A drain goes on after this time even if the map without this entry could not be written.
constexpr Base::Duration leaveTimeout = 5s;

constexpr Base::Duration handoverTimeout = 3s; ///< for the link to the new owner and its acknowledgement
constexpr Base::Duration processSuspensionThreshold = 500ms; ///< a longer gap between two ticks means that this process was stopped
constexpr Base::Duration echoPeriodAfterLinkLoss = 1500ms;
constexpr Base::Duration unfencedClearStagger = 500ms; ///< between members, so that only one of them clears the unfenced sets
constexpr Base::Duration peerRetention = 60s;
constexpr Base::Duration agentRetention = Protocol::deduplicationWindow;
constexpr std::size_t maxFormerIncarnations = 8;

/// Adds 10 % for the drift between the clocks of two machines.
constexpr Base::Duration withClockDrift(Base::Duration duration)
{
    return duration + duration / 10;
}

} // namespace LaburnumFlow::Cluster
