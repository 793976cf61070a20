#pragma once

#include "problem.h"
#include "route.h"
#include "store/settingsservice.h"

#include <functional>
#include <string>

namespace LaburnumFlow::HttpApi {

/// What an operator sends with a call on the settings.
struct SettingsCall {
    SettingsRoute route;
    std::string body; ///< YAML, for Put and Check
    std::string ifMatch; ///< the expected revision, for Put and Rollback
    std::string changeId; ///< for Put and Rollback
    std::string author;
    std::string argument; ///< the query's "path" for Explain, "to" for Rollback
};

/// Carries out the call; blocks on the store. A change that was written is given to written before this returns.
Response runSettingsCall(const SettingsCall &call, Store::SettingsService &service, const std::function<void(const Protocol::SettingsSubtree &)> &written);

} // namespace LaburnumFlow::HttpApi
