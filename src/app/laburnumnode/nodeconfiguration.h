#pragma once

#include "settings/nodesettings.h"

#include <optional>
#include <string>

namespace LaburnumFlow::Node {

/// Reads and checks a settings file; prints every fault to standard error.
std::optional<Settings::NodeSettings> readConfiguration(const std::string &file);

} // namespace LaburnumFlow::Node
