#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace LaburnumFlow::Runtime {

constexpr int exitFaultySettings = 2; ///< Exit code for faulty settings or a faulty command line

/// Arguments that all daemons accept.
struct DaemonArguments {
    std::string settingsFile;
    bool check = false; ///< Check the settings and exit
};

/// Describes a daemon to parseDaemonArguments().
struct DaemonProgram {
    std::string_view name;
    std::string_view version;
    std::string_view settingsFileVariable = {}; ///< Environment variable that names the settings file if the command line does not; empty for none
};

/// Parses the command line of a daemon. Prints help, the version or a fault if that is to be done instead, and returns the code to exit with.
std::variant<DaemonArguments, int> parseDaemonArguments(const DaemonProgram &program, int argc, const char **argv);

} // namespace LaburnumFlow::Runtime
