#include "settings/teamsettings.h"

// Stands in for the settings library: the text "bad" is rejected, any other gives default rules.
namespace LaburnumFlow::Settings {

RuleSet buildRules(const std::map<std::string, Protocol::SettingsSubtree, std::less<>> &subtrees, std::vector<std::string> *rejected)
{
    RuleSet rules;
    for (const auto &[team, subtree] : subtrees) {
        if (subtree.yaml == "bad") {
            if (rejected != nullptr) {
                rejected->push_back(team);
            }
        } else if (!team.empty()) {
            rules.teams[team].team = team;
            rules.teams[team].revision = subtree.revision;
        }
    }
    return rules;
}

} // namespace LaburnumFlow::Settings
