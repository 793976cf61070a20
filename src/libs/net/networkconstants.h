#pragma once

#include "base/types.h"

#include <chrono>
#include <cstddef>

namespace LaburnumFlow::Net {

using namespace std::chrono_literals;

constexpr Base::Duration reconnectDelayInitial = 50ms;
constexpr Base::Duration reconnectDelayMax = 1s;
constexpr Base::Duration linkCheckInterval = 25ms; ///< how often idle and quiet links and due connects are looked for
constexpr Base::Duration flushTimeout = 500ms; ///< time that stop() gives unsent messages

constexpr std::size_t maxQueuedBytes = 64UL * 1024UL * 1024UL; ///< unsent bytes per link
constexpr std::size_t chunkBytes = 64UL * 1024UL; ///< small frames are joined up to this size
constexpr int maxChunksPerWrite = 64; ///< per sendmsg call
constexpr std::size_t maxBytesPerRead = 256UL * 1024UL; ///< per link and round, so that no link holds up the others
constexpr int maxEvents = 1024;
constexpr int datagramBufferBytes = 4 * 1024 * 1024; ///< holds a burst of heartbeats from thousands of agents
constexpr int maxDatagramsPerRound = 1024;
constexpr int maxBindAttempts = 64; ///< searches for a port number that is free for both TCP and UDP

} // namespace LaburnumFlow::Net
