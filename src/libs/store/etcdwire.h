#pragma once

#include "platformstore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Requests and responses of etcd's v3 JSON API: keys and values are in base64, 64-bit numbers are strings, and fields with
/// a zero value are omitted.
namespace LaburnumFlow::Store::Internal {

std::string rangeRequest(std::string_view prefix);
std::string swapRequest(std::string_view key, std::string_view value, std::int64_t expectedModRevision);
std::string watchRequest(std::string_view prefix, std::int64_t afterRevision);

struct SwapResponse {
    bool succeeded = false;
    std::int64_t storeRevision = 0;
    KeyValue current; ///< Stored pair after a failed swap; empty if the key does not exist
};

/// One line of the response stream of a watch.
struct WatchMessage {
    bool created = false;
    bool canceled = false;
    std::int64_t compactRevision = 0; ///< Oldest revision still stored, if the watch was canceled for it; else 0
    WatchBatch batch;
};

/// The parse functions return nothing if the text is malformed.
std::optional<RangeResult> parseRangeResponse(std::string_view text);
std::optional<SwapResponse> parseSwapResponse(std::string_view text);
std::optional<WatchMessage> parseWatchMessage(std::string_view line);

/// Returns the field "message" of an error response, or the first bytes of the text if there is none.
std::string errorDetail(std::string_view text);

} // namespace LaburnumFlow::Store::Internal
