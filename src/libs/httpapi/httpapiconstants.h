#pragma once

#include <cstddef>

namespace LaburnumFlow::HttpApi {

constexpr int maxJsonDepth = 64; ///< JSON is written recursively, so the depth bounds the stack
constexpr std::size_t maxOperatorQueue = 256; ///< operators' calls that wait for the store
constexpr unsigned idleTimeoutSeconds = 60;
constexpr unsigned stopTimeoutSeconds = 30; ///< open requests get this long on a stop
constexpr unsigned sendTimeoutSeconds = 5; ///< and queued answers this long to be sent

} // namespace LaburnumFlow::HttpApi
