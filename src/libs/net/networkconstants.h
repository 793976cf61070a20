#pragma once

#include "base/types.h"

#include <chrono>
#include <cstddef>

namespace LaburnumFlow::Net {

using namespace std::chrono_literals;

constexpr Base::Duration reconnectDelayInitial = 50ms;
constexpr Base::Duration reconnectDelayMax = 1s;
constexpr Base::Duration linkCheckInterval = 25ms; ///< Between checks for silent links, idle links and due reconnects
constexpr Base::Duration flushTimeout = 500ms; ///< Time for sending queued messages in Network::stop()

constexpr std::size_t maxQueuedBytes = 64UL * 1024UL * 1024UL; ///< Unsent bytes per link
constexpr std::size_t chunkBytes = 64UL * 1024UL; ///< Small frames are joined into chunks up to this size
constexpr int maxChunksPerWrite = 64; ///< Per sendmsg call
constexpr std::size_t maxBytesPerRead = 256UL * 1024UL; ///< Per link and iteration of the loop, so that no link delays the others
constexpr int maxEvents = 1024; ///< Per epoll_wait call
constexpr int datagramBufferBytes = 4 * 1024 * 1024; ///< Sized for a burst of heartbeats from thousands of agents
constexpr int maxDatagramsPerRound = 1024; ///< Per iteration of the loop
constexpr int maxBindAttempts = 64; ///< Attempts to find a port number that is free for both TCP and UDP

} // namespace LaburnumFlow::Net
