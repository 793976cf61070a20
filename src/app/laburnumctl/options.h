#pragma once

#include <string>
#include <vector>

namespace LaburnumFlow::Ctl {

/// The command line, parsed.
struct Options {
    std::string entry = "127.0.0.1:8080"; ///< ADDRESS:PORT of an entry's HTTP interface
    bool json = false;
    std::string team;
    std::string id; ///< submission id
    std::string orderingKey;
    int deadlineMs = 0;
    int timeoutMs = 60'000;
    std::string file; ///< "-" is standard input
    std::string author;
    std::string changeId;
    long long revision = -1; ///< expected revision; -1 takes the one in the store
    std::vector<std::string> arguments; ///< the command and its arguments
};

} // namespace LaburnumFlow::Ctl
