#pragma once

#include "settings/daemonsettings.h"

namespace LaburnumFlow::Daemon {

/// Directs the root logger to standard error or the file, with time and level before each line.
void setUpLog(const Settings::LogSettings &settings);

} // namespace LaburnumFlow::Daemon
