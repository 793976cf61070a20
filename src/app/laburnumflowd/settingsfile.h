#pragma once

#include "settings/daemonsettings.h"

#include <optional>
#include <string>

namespace LaburnumFlow::Daemon {

/// Reads and checks a settings file. Prints every fault to standard error as "FILE:LINE:COLUMN: PATH: PROBLEM
/// (ACCEPTED)" and returns nothing if there is one.
std::optional<Settings::DaemonSettings> readSettingsFile(const std::string &file);

} // namespace LaburnumFlow::Daemon
