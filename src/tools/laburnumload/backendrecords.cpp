#include "backendrecords.h"

#include <fstream>
#include <set>
#include <sstream>

namespace LaburnumFlow::Load {

RecordCheck checkRecords(const std::vector<std::string> &files)
{
    RecordCheck check;
    std::set<std::string> attempts;
    std::set<std::string> tasks;
    for (const std::string &path : files) {
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);) {
            std::istringstream words(line);
            std::string what;
            std::string id;
            words >> what >> id;
            if (what != "start") {
                continue;
            }
            ++check.starts;
            check.repeatedAttempts += attempts.insert(id).second ? 0U : 1U;
            check.laterAttempts += tasks.insert(id.substr(0, id.rfind('-'))).second ? 0U : 1U;
        }
    }
    check.tasks = tasks.size();
    return check;
}

} // namespace LaburnumFlow::Load
