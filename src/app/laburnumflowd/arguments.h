#pragma once

#include <optional>
#include <string>
#include <variant>

namespace LaburnumFlow::Daemon {

struct Arguments {
    std::string configFile;
    bool check = false;
};

/// Parses the command line. Otherwise the status to exit with, after help, the version or a fault was printed.
std::variant<Arguments, int> parseArguments(int argc, const char **argv);

} // namespace LaburnumFlow::Daemon
