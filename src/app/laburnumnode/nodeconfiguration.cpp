#include "nodeconfiguration.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace LaburnumFlow::Node {

namespace leaf = boost::leaf;

namespace {

using Result = std::optional<Settings::NodeSettings>;

void print(const std::string &file, const Settings::SettingsFault &fault)
{
    std::cerr << file << ':' << fault.line << ':' << fault.column << ": " << fault.path << ": " << fault.problem;
    if (!fault.accepted.empty()) {
        std::cerr << " (" << fault.accepted << ')';
    }
    std::cerr << '\n';
}

} // namespace

Result readConfiguration(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        std::cerr << "laburnumnode: " << file << ": empty or unreadable\n";
        return std::nullopt;
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<Result> {
            BOOST_LEAF_AUTO(settings, Settings::parseNodeSettings(text.str()));
            return Result(std::move(settings));
        },
        [&](const Settings::SettingsFaults &faults) -> Result {
            for (const Settings::SettingsFault &fault : faults.faults) {
                print(file, fault);
            }
            return std::nullopt;
        },
        [&]() -> Result {
            std::cerr << "laburnumnode: " << file << ": can't be parsed\n";
            return std::nullopt;
        });
}

} // namespace LaburnumFlow::Node
