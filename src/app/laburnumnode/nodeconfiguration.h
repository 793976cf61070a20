#pragma once

#include "runtime/decisionlog.h"
#include "settings/nodesettings.h"

#include <optional>
#include <string>

namespace LaburnumFlow::Node {

/// Reads and checks a settings file; prints every fault to standard error.
std::optional<Settings::NodeSettings> readConfiguration(const std::string &file);

/// Checks the settings file again and logs whether it is valid. The process keeps the settings with which it was started.
void logReload(Runtime::DecisionLog &log, const std::string &file);

} // namespace LaburnumFlow::Node
