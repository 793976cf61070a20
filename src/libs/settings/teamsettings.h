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

/// Builds the rules of all teams from the subtrees, which inherit from the root (key ""). A team whose subtree fails
/// checkSubtree() is left out and its name is added to rejected.
RuleSet buildRules(const std::map<std::string, Protocol::SettingsSubtree, std::less<>> &subtrees, std::vector<std::string> *rejected = nullptr);

/// An active value and the level that sets it.
struct Explanation {
    std::string path;
    std::string value;
    std::string level; ///< "team", "root" or "default"
};

/// Returns the active values of a team under a path ("" means all), each with the level that sets it.
std::vector<Explanation> explain(const std::map<std::string, Protocol::SettingsSubtree, std::less<>> &subtrees, std::string_view team, std::string_view path);

} // namespace LaburnumFlow::Settings
