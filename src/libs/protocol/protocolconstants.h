#pragma once

#include "base/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace LaburnumFlow::Protocol {

using namespace std::chrono_literals;

constexpr Base::Duration heartbeatInterval = 250ms;
constexpr Base::Duration linkQuietLimit = 1s; ///< a quieter link is replaced by a fresh connection

constexpr Base::Duration agentSilenceTimeout = 1500ms; ///< no new work for an agent not heard of for this long
constexpr Base::Duration maxTokenAge = 1500ms; ///< agents refuse starts with an older token
constexpr Base::Duration leaseDuration = 2s; ///< agents stop idempotent tasks whose owner has not echoed a younger token
constexpr Base::Duration leaseMargin = 500ms;

constexpr Base::Duration storeReadInterval = 500ms;
constexpr Base::Duration maxConfirmationAge = 2s; ///< authority by a read of the map lasts this long from the call's start
constexpr Base::Duration maxEchoAge = 1500ms; ///< authority by a majority counts echoes younger than this
constexpr Base::Duration entrySilenceTimeout = 2s;
constexpr Base::Duration fenceReplyTimeout = 2s;

constexpr Base::WallTime deduplicationWindow = 120s;
constexpr Base::WallTime maxClockSkew = 2s;

constexpr std::size_t maxTasksPerJob = 580;
constexpr std::size_t maxBodyBytes = 1024UL * 1024UL;
constexpr std::size_t maxFrameBytes = 16UL * 1024UL * 1024UL;
constexpr std::size_t maxDatagramBytes = 1400; ///< stays below the usual MTU of 1500 bytes

} // namespace LaburnumFlow::Protocol
