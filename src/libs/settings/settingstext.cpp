#include "settingstext.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <ostream>
#include <sstream>

namespace LaburnumFlow::Settings {

boost::leaf::result<std::string> readText(const std::string &file)
{
    errno = 0;
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    // Opening a directory succeeds; reading it fails here.
    if (!stream || !(text << stream.rdbuf())) {
        return boost::leaf::new_error(UnreadableSettings{errno});
    }
    return std::move(text).str();
}

void printFaults(std::ostream &out, const std::string &file, const SettingsFaults &faults)
{
    for (const SettingsFault &fault : faults.faults) {
        out << file << ':' << fault.line << ':' << fault.column << ": " << fault.path << ": " << fault.problem;
        if (!fault.accepted.empty()) {
            out << " (" << fault.accepted << ')';
        }
        out << '\n';
    }
}

void printUnreadable(std::ostream &out, const std::string &program, const std::string &file, const UnreadableSettings &reason)
{
    out << program << ": " << file << ": " << (reason.errorNumber != 0 ? std::strerror(reason.errorNumber) : "empty or unreadable") << '\n';
}

} // namespace LaburnumFlow::Settings
