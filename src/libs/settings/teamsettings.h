#pragma once

#include "protocol/messages.h"
#include "settingsfault.h"
#include "teamrules.h"

#include <boost/leaf.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace LaburnumFlow::Settings {

/// Checks the text of one subtree (team empty: the root) against the schema. Fails with SettingsFaults.
boost::leaf::result<void> checkSubtree(std::string_view team, std::string_view yaml);

/// Builds the rules of all teams from the subtrees, with inheritance from the root (key ""). A subtree that does not
/// pass checkSubtree leaves its team out; its name is added to rejected.
RuleSet buildRules(const std::map<std::string, Protocol::SettingsSubtree, std::less<>> &subtrees, std::vector<std::string> *rejected = nullptr);

/// Where a value in force comes from.
struct Explanation {
    std::string path;
    std::string value;
    std::string level; ///< "team", "root" or "default"
};

/// The values in force for a team under a path ("" means all), each with the level that it comes from.
std::vector<Explanation> explain(const std::map<std::string, Protocol::SettingsSubtree, std::less<>> &subtrees, std::string_view team, std::string_view path);

} // namespace LaburnumFlow::Settings
