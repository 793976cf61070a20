#include "settingsfile.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

namespace LaburnumFlow::Daemon {

namespace leaf = boost::leaf;

namespace {

std::optional<std::string> readText(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    // Reading a directory opens without an error and fails here.
    if (!stream || !(text << stream.rdbuf())) {
        return std::nullopt;
    }
    return std::move(text).str();
}

void print(const std::string &file, const Settings::SettingsFault &fault)
{
    std::cerr << file << ':' << fault.line << ':' << fault.column << ": " << fault.path << ": " << fault.problem;
    if (!fault.accepted.empty()) {
        std::cerr << " (" << fault.accepted << ')';
    }
    std::cerr << '\n';
}

} // namespace

std::optional<Settings::DaemonSettings> readSettingsFile(const std::string &file)
{
    errno = 0;
    const std::optional<std::string> text = readText(file);
    if (!text) {
        std::cerr << "laburnumflowd: " << file << ": " << (errno != 0 ? std::strerror(errno) : "empty or unreadable") << '\n';
        return std::nullopt;
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Settings::DaemonSettings>> {
            BOOST_LEAF_AUTO(settings, Settings::parseDaemonSettings(*text));
            return std::optional(std::move(settings));
        },
        [&](const Settings::SettingsFaults &faults) -> std::optional<Settings::DaemonSettings> {
            for (const Settings::SettingsFault &fault : faults.faults) {
                print(file, fault);
            }
            return std::nullopt;
        },
        [&]() -> std::optional<Settings::DaemonSettings> {
            std::cerr << "laburnumflowd: " << file << ": can't be parsed\n";
            return std::nullopt;
        });
}

} // namespace LaburnumFlow::Daemon
