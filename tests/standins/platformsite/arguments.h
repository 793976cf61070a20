#pragma once

#include "workerstandin.h"

#include <optional>
#include <string>
#include <vector>

namespace PlatformSite {

struct Arguments {
    std::vector<WorkerShape> workers;
    int ports = 0; ///< how many free ports to name for the processes of the site
    std::string record; ///< file for what the workers ran; empty for none
};

/// Nothing if the command line has a fault, which has been printed.
std::optional<Arguments> parseArguments(int argc, const char **argv);

} // namespace PlatformSite
