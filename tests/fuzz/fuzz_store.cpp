#include "platform/storedialect.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace LaburnumFlow;

/// Guards against an answer of the store, or a value of another writer, that ends a process.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    constexpr int statuses[] = {200, 404, 410, 412, 503};
    const std::string text(reinterpret_cast<const char *>(data), size);
    for (const int status : statuses) {
        const HttpIo::ClientResponse response{HttpIo::ClientResponse::Outcome::Answered, status, text};
        Platform::rulesReadResult(response);
        Platform::rulesWatchedResult(response);
        if (const auto page = Platform::parsePageResponse(response)) {
            Platform::clusterFromItems(page->items);
        }
        Platform::commitResult(response);
        Platform::claimResult(response);
        Platform::presenceResult(response);
        Platform::grantLeaseResult(response);
        Platform::renewLeaseResult(response);
    }
    return 0;
}
