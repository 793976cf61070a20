#include "settingsfile.h"

#include "settings/settingstext.h"

#include <iostream>

namespace LaburnumFlow::Daemon {

std::optional<Settings::DaemonSettings> readSettingsFile(const std::string &file)
{
    return Settings::readSettings<Settings::DaemonSettings>(std::cerr, "laburnumflowd", file, Settings::parseDaemonSettings);
}

} // namespace LaburnumFlow::Daemon
