#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace LaburnumFlow::Runtime {

constexpr int exitFaultySettings = 2; ///< also for a faulty command line

struct DaemonArguments {
    std::string settingsFile;
    bool check = false; ///< check the settings and exit
};

/// The program's name and version for its messages, and an environment variable that names the settings file unless the
/// command line does; empty for none.
struct DaemonProgram {
    std::string_view name;
    std::string_view version;
    std::string_view settingsFileVariable = {};
};

/// Parses a daemon's command line. Otherwise the status to exit with, after help, the version or a fault was printed.
std::variant<DaemonArguments, int> parseDaemonArguments(const DaemonProgram &program, int argc, const char **argv);

} // namespace LaburnumFlow::Runtime
