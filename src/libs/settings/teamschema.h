#pragma once

#include "schemareader.h"
#include "teamrules.h"

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>

/// Schema of the team settings as tables of keys, members and ranges.
namespace LaburnumFlow::Settings::Internal {

/// A key of a settings map and the member that its value is assigned to.
template<class Rules>
struct Field {
    std::string_view key;
    std::variant<bool Rules::*, std::uint32_t Rules::*, double Rules::*> member;
    double min = 0; ///< Smallest accepted value; unused for booleans
    double max = 0; ///< Largest accepted value; unused for booleans
};

std::span<const Field<TeamRules>> teamFields();
std::span<const Field<KindRules>> kindFields();
std::span<const Field<Guards>> guardFields();
std::span<const Field<Resources>> resourceFields();

/// A parsed subtree. Values that its text does not set are inherited from the draft that was passed to readSubtree().
struct SubtreeDraft {
    TeamRules rules;
    KindRules kindDefaults; ///< Set by the root's subtree only
    std::set<std::string, std::less<>> explicitPaths; ///< Paths of the values set by the text, such as "kinds.fold-plan.limitMs"
};

enum class SubtreeLevel { Root, Team };

/// Reads a subtree over the inherited values in the draft. Adds faults under the given path.
void readSubtree(const YAML::Node &node, SubtreeLevel level, std::string_view path, SubtreeDraft &draft, FaultCollector &faults);

} // namespace LaburnumFlow::Settings::Internal
