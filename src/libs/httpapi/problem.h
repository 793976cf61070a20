#pragma once

#include "protocol/job.h"
#include "settings/settingsfault.h"
#include "store/settingsservice.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace LaburnumFlow::HttpApi {

/// A finished HTTP answer.
struct Response {
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::uint32_t retryAfterSeconds = 0; ///< 0 leaves the header out
};

/// The problem details (RFC 9457) of a job that was refused or failed.
Response problemResponse(const Protocol::JobFailed &failure, std::string_view submission);

/// A request that is wrong in itself: nothing ran.
Response badRequest(Protocol::Reason reason, std::string_view detail);

/// Problem details of an operator's call; reason is a name such as "settings-conflict".
Response operatorProblem(unsigned status, std::string_view reason, std::string_view detail);

/// All faults of a settings text.
Response faultsResponse(const Settings::SettingsFaults &faults);

/// The subtree that another operator wrote meanwhile.
Response conflictResponse(const Store::SettingsConflict &conflict);

/// The HTTP status that a failure is answered with.
unsigned statusOf(const Protocol::JobFailed &failure);

} // namespace LaburnumFlow::HttpApi
