#pragma once

#include "schemareader.h"
#include "teamrules.h"

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>

/// The schema of team settings as tables of keys, members and ranges.
namespace LaburnumFlow::Settings::Internal {

/// One key of a map of settings and the member that it fills.
template<class Rules>
struct Field {
    std::string_view key;
    std::variant<bool Rules::*, std::uint32_t Rules::*, double Rules::*> member;
    double min = 0; ///< unused for booleans; so is max
    double max = 0;
};

std::span<const Field<TeamRules>> teamFields();
std::span<const Field<KindRules>> kindFields();
std::span<const Field<Guards>> guardFields();
std::span<const Field<Resources>> resourceFields();

/// A parsed subtree. Values that the text does not give are those that reading started from.
struct SubtreeDraft {
    TeamRules rules;
    KindRules kindDefaults; ///< given by the root only
    std::set<std::string, std::less<>> explicitPaths; ///< paths of the values in the text, such as "kinds.fold-plan.limitMs"
};

enum class SubtreeLevel { Root, Team };

/// Reads a subtree over the inherited values in the draft. Adds faults under the given path.
void readSubtree(const YAML::Node &node, SubtreeLevel level, std::string_view path, SubtreeDraft &draft, FaultCollector &faults);

} // namespace LaburnumFlow::Settings::Internal
