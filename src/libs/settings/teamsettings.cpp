#include "teamsettings.h"

#include "teamschema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace LaburnumFlow::Settings {

using Internal::Field;
using Internal::SubtreeDraft;
using Internal::SubtreeLevel;

namespace {

using Subtrees = std::map<std::string, Protocol::SettingsSubtree, std::less<>>;

/// Reads a subtree into the draft, which holds the inherited values. Returns whether there is no fault.
bool parseSubtree(std::string_view team, std::string_view yaml, SubtreeDraft &draft, Internal::FaultCollector &faults)
{
    if (!team.empty() && !Internal::isName(team)) {
        faults.add("", YAML::Mark::null_mark(), "'" + std::string(team) + "' is not a team name", std::string(Internal::acceptedNames));
    }
    if (const auto document = Internal::loadDocument(yaml, faults)) {
        Internal::readSubtree(*document, team.empty() ? SubtreeLevel::Root : SubtreeLevel::Team, "", draft, faults);
    }
    return faults.empty();
}

std::optional<SubtreeDraft> parseSubtree(const Protocol::SettingsSubtree &subtree, SubtreeDraft draft)
{
    Internal::FaultCollector faults;
    if (!parseSubtree(subtree.team, subtree.yaml, draft, faults)) {
        return std::nullopt;
    }
    return draft;
}

/// Returns the root's values, or the defaults if there is no valid root. The name of an invalid root ("") is added to rejected.
SubtreeDraft parseRoot(const Subtrees &subtrees, std::vector<std::string> *rejected)
{
    const auto root = subtrees.find("");
    if (root == subtrees.end()) {
        return {};
    }
    std::optional<SubtreeDraft> draft = parseSubtree(root->second, {});
    if (!draft) {
        if (rejected != nullptr) {
            rejected->emplace_back();
        }
        return {};
    }
    draft->rules.rootRevision = root->second.revision;
    return std::move(*draft);
}

/// Caps values by their limits. A value and its limit can come from two levels, which contradict each other although each
/// one is valid.
void applyLimits(TeamRules &rules)
{
    rules.deadlineMs = std::min(rules.deadlineMs, rules.maxDeadlineMs);
    for (auto &[name, kind] : rules.kinds) {
        kind.expectedMs = std::min(kind.expectedMs, kind.limitMs);
    }
}

/// Returns the team's values with those inherited from the root, or nothing if the team's subtree has faults.
std::optional<SubtreeDraft> parseTeam(const Protocol::SettingsSubtree &subtree, const SubtreeDraft &root)
{
    SubtreeDraft inherited = root;
    inherited.explicitPaths.clear();
    std::optional<SubtreeDraft> draft = parseSubtree(subtree, std::move(inherited));
    if (draft) {
        draft->rules.team = subtree.team;
        draft->rules.revision = subtree.revision;
        applyLimits(draft->rules);
    }
    return draft;
}

std::string formatValue(bool value)
{
    return value ? "true" : "false";
}

std::string formatValue(std::uint32_t value)
{
    return std::to_string(value);
}

std::string formatValue(double value)
{
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), end.ptr};
}

/// Collects the explanations of the values under a path.
class Explainer
{
public:
    Explainer(const SubtreeDraft &root, const SubtreeDraft &team, std::string_view selectedPath) : root_(root), team_(team), selectedPath_(selectedPath) { }

    template<class Rules>
    void add(std::span<const Field<Rules>> fields, const Rules &rules, const std::string &teamPath, const std::string &rootPath)
    {
        for (const Field<Rules> &field : fields) {
            const std::string path = Internal::joinPath(teamPath, field.key);
            if (isSelected(path)) {
                std::string value = std::visit([&rules](auto member) { return formatValue(rules.*member); }, field.member);
                explanations_.push_back({path, std::move(value), findLevel(path, Internal::joinPath(rootPath, field.key))});
            }
        }
    }

    std::vector<Explanation> take()
    {
        return std::move(explanations_);
    }

private:
    bool isSelected(std::string_view path) const
    {
        return selectedPath_.empty() || path == selectedPath_ || (path.starts_with(selectedPath_) && path[selectedPath_.size()] == '.');
    }

    std::string findLevel(std::string_view teamPath, std::string_view rootPath) const
    {
        if (team_.explicitPaths.contains(teamPath)) {
            return "team";
        }
        return root_.explicitPaths.contains(rootPath) ? "root" : "default";
    }

    const SubtreeDraft &root_;
    const SubtreeDraft &team_;
    std::string_view selectedPath_;
    std::vector<Explanation> explanations_;
};

} // namespace

boost::leaf::result<void> checkSubtree(std::string_view team, std::string_view yaml)
{
    Internal::FaultCollector faults;
    SubtreeDraft draft;
    if (!parseSubtree(team, yaml, draft, faults)) {
        return boost::leaf::new_error(faults.takeSorted());
    }
    return {};
}

RuleSet buildRules(const Subtrees &subtrees, std::vector<std::string> *rejected)
{
    const SubtreeDraft root = parseRoot(subtrees, rejected);
    RuleSet result;
    result.rootRevision = root.rules.rootRevision;
    for (const auto &[team, subtree] : subtrees) {
        if (team.empty()) {
            continue;
        }
        std::optional<SubtreeDraft> draft = parseTeam(subtree, root);
        if (draft) {
            result.teams.emplace(team, std::move(draft->rules));
        } else if (rejected != nullptr) {
            rejected->push_back(team);
        }
    }
    return result;
}

std::vector<Explanation> explain(const Subtrees &subtrees, std::string_view team, std::string_view path)
{
    const auto found = subtrees.find(team);
    if (team.empty() || found == subtrees.end()) {
        return {};
    }
    const SubtreeDraft root = parseRoot(subtrees, nullptr);
    const std::optional<SubtreeDraft> draft = parseTeam(found->second, root);
    if (!draft) {
        return {};
    }
    Explainer explainer(root, *draft, path);
    explainer.add(Internal::teamFields(), draft->rules, "", "");
    explainer.add(Internal::guardFields(), draft->rules.guards, "guards", "guards");
    for (const auto &[name, kind] : draft->rules.kinds) {
        const std::string kindPath = Internal::joinPath("kinds", name);
        explainer.add(Internal::kindFields(), kind, kindPath, "kindDefaults");
        explainer.add(Internal::resourceFields(), kind.resources, kindPath + ".resources", "kindDefaults.resources");
    }
    return explainer.take();
}

} // namespace LaburnumFlow::Settings
