#include "platform/heartbeats.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace LaburnumFlow;

/// Guards against a worker's heartbeat that ends the agent's process.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    Platform::parseHeartbeat("i-1", text);
    Platform::workerIdFromPath(text);
    return 0;
}
