#pragma once

#include "base/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace LaburnumFlow::Protocol {

using namespace std::chrono_literals;

constexpr Base::Duration heartbeatInterval = 250ms;
constexpr Base::Duration linkQuietLimit = 1s; ///< a link on which nothing arrives for longer is replaced by a new connection

constexpr Base::Duration agentSilenceTimeout = 1500ms; ///< an agent gets no new work after this time without a message from it
constexpr Base::Duration maxTokenAge = 1500ms; ///< agents refuse starts with an older token
constexpr Base::Duration leaseDuration = 2s; ///< agents stop idempotent tasks if their owner has not echoed a younger token
constexpr Base::Duration leaseMargin = 500ms;

constexpr Base::Duration storeReadInterval = 500ms;
constexpr Base::Duration maxConfirmationAge = 2s; ///< how long a confirmation of the map by the store gives authority, from the start of the store call
constexpr Base::Duration maxEchoAge = 1500ms; ///< only younger echoes count towards authority by a majority
constexpr Base::Duration entrySilenceTimeout = 2s;
constexpr Base::Duration fenceReplyTimeout = 2s;

constexpr Base::WallTime deduplicationWindow = 120s;
constexpr Base::WallTime maxClockSkew = 2s;

constexpr std::size_t maxTasksPerJob = 580;
constexpr std::size_t maxBodyBytes = 1024UL * 1024UL;
constexpr std::size_t maxFrameBytes = 16UL * 1024UL * 1024UL;
constexpr std::size_t maxDatagramBytes = 1400; ///< stays below the usual MTU of 1500 bytes

} // namespace LaburnumFlow::Protocol
