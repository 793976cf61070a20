#include "nodeconfiguration.h"

#include "settings/settingstext.h"

#include <iostream>
#include <utility>
#include <vector>

namespace LaburnumFlow::Node {

std::optional<Settings::NodeSettings> readConfiguration(const std::string &file)
{
    return Settings::readSettings<Settings::NodeSettings>(std::cerr, "laburnumnode", file, Settings::parseNodeSettings);
}

void logReload(Runtime::DecisionLog &log, const std::string &file)
{
    const std::vector<std::pair<std::string, std::string>> fields{{"valid", readConfiguration(file) ? "1" : "0"}};
    log.writeAlways("process.reload", fields);
}

} // namespace LaburnumFlow::Node
