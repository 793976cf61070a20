#include "platform/advicedialect.h"
#include "platform/workerdialect.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace LaburnumFlow;

/// Guards against an answer of the worker, or of the advice service, that ends a process.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    constexpr int statuses[] = {200, 400, 409, 421, 503};
    const std::string text(reinterpret_cast<const char *>(data), size);
    for (const int status : statuses) {
        const HttpIo::ClientResponse response{HttpIo::ClientResponse::Outcome::Answered, status, text};
        Platform::startAnswer({}, response);
        Platform::stopAnswer({}, response);
        Platform::holdAnswer({}, response);
        Platform::paceAnswer({}, response);
        Platform::adviceAnswer({}, response);
    }
    Platform::parseTaskName(text);
    return 0;
}
