#pragma once

#include "settings/nodesettings.h"

#include <string>

namespace LaburnumFlow::Node {

/// Runs the agent of a worker until it is told to stop. Returns the exit status.
int runAgent(const Settings::NodeSettings &settings, const std::string &settingsFile);

} // namespace LaburnumFlow::Node
