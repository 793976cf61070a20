#pragma once

#include "storestate.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

/// The JSON forms of the calls.
namespace LaburnumFlow::StoreStandIn {

struct Reply {
    int status = 200;
    std::string body;
    bool lost = false; ///< the connection is closed instead
};

struct WatchRequest {
    KeyRange range;
    std::int64_t startRevision = 0;
};

Reply answerRange(StoreState &state, std::string_view body);
Reply answerTxn(StoreState &state, std::string_view body);
Reply answerLeaseGrant(StoreState &state, std::string_view body);
Reply answerLeaseKeepAlive(std::string_view body);
Reply answerControl(StoreState &state, std::string_view body);
Reply answerStats(StoreState &state);
Reply badRequest(std::string_view problem);

std::optional<WatchRequest> parseWatchRequest(std::string_view body);

/// One line of a watch; empty for WatchStep::Kind::Nothing.
std::string watchLine(const WatchStep &step);
std::string createdLine(std::int64_t revision);

} // namespace LaburnumFlow::StoreStandIn
