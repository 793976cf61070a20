#pragma once

#include "platformstore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The JSON form of etcd's v3 calls: keys and values in base64, 64-bit numbers as strings, zero values left out.
namespace LaburnumFlow::Store::Internal {

std::string rangeRequest(std::string_view prefix);
std::string swapRequest(std::string_view key, std::string_view value, std::int64_t expectedModRevision);
std::string watchRequest(std::string_view prefix, std::int64_t afterRevision);

struct SwapResponse {
    bool succeeded = false;
    std::int64_t storeRevision = 0;
    KeyValue current; ///< of a failed swap; without a key if it does not exist
};

/// One message of a watch.
struct WatchMessage {
    bool created = false;
    bool canceled = false;
    std::int64_t compactRevision = 0;
    WatchBatch batch;
};

/// Each returns nothing if the text is not of the expected form.
std::optional<RangeResult> parseRangeResponse(std::string_view text);
std::optional<SwapResponse> parseSwapResponse(std::string_view text);
std::optional<WatchMessage> parseWatchMessage(std::string_view line);

/// The message of an error answer, or the start of its text.
std::string errorDetail(std::string_view text);

} // namespace LaburnumFlow::Store::Internal
