#include "teamschema.h"

#include "protocol/protocolconstants.h"

#include <array>

namespace LaburnumFlow::Settings::Internal {

namespace {

/// A submission's ledger record is kept for the deduplication window, so neither a job nor a task may outlive it.
constexpr double maxRunMs = static_cast<double>(Protocol::deduplicationWindow.count());

constexpr std::size_t maxKinds = 256; ///< Per team; limits the memory for rules at each entry

constexpr std::array teamTable{
    Field<TeamRules>{"quota", &TeamRules::quota, 0.0001, 1},
    Field<TeamRules>{"weight", &TeamRules::weight, 0.001, 1000},
    Field<TeamRules>{"retryBudget", &TeamRules::retryBudget, 0, 1},
    Field<TeamRules>{"hedgeBudget", &TeamRules::hedgeBudget, 0, 1},
    Field<TeamRules>{"deadlineMs", &TeamRules::deadlineMs, 1, maxRunMs},
    Field<TeamRules>{"maxDeadlineMs", &TeamRules::maxDeadlineMs, 1, maxRunMs},
};

constexpr std::array kindTable{
    Field<KindRules>{"idempotent", &KindRules::idempotent},
    Field<KindRules>{"orderingKey", &KindRules::ordered},
    Field<KindRules>{"urgent", &KindRules::urgent},
    Field<KindRules>{"expectedMs", &KindRules::expectedMs, 1, maxRunMs},
    Field<KindRules>{"limitMs", &KindRules::limitMs, 1, maxRunMs},
};

constexpr std::array guardTable{
    Field<Guards>{"maxTasksPerJob", &Guards::maxTasksPerJob, 1, static_cast<double>(Protocol::maxTasksPerJob)},
    Field<Guards>{"maxPayloadBytes", &Guards::maxPayloadBytes, 1, static_cast<double>(Protocol::maxBodyBytes)},
    Field<Guards>{"maxQueuedTasks", &Guards::maxQueuedTasks, 1, 1'000'000},
};

constexpr std::array resourceTable{
    Field<Resources>{"cores", &Resources::cores, 0, 1024},
    Field<Resources>{"memoryMb", &Resources::memoryMb, 0, 16'777'216},
    Field<Resources>{"accelerators", &Resources::accelerators, 0, 64},
};

template<class Rules>
bool readField(MapReader &reader, const Field<Rules> &field, Rules &rules)
{
    if (const auto *flag = std::get_if<bool Rules::*>(&field.member)) {
        return reader.boolean(field.key, rules.**flag);
    }
    if (const auto *number = std::get_if<std::uint32_t Rules::*>(&field.member)) {
        return reader.number(field.key, rules.**number, static_cast<std::uint64_t>(field.min), static_cast<std::uint64_t>(field.max));
    }
    return reader.real(field.key, rules.*std::get<double Rules::*>(field.member), field.min, field.max);
}

/// Where values are read to. Explicit paths are relative to the subtree, while the paths of faults include the subtree's path.
struct Context {
    std::string relativePath;
    SubtreeDraft &draft;
};

template<class Rules>
void readFields(MapReader &reader, std::span<const Field<Rules>> fields, Rules &rules, const Context &context)
{
    for (const Field<Rules> &field : fields) {
        if (readField(reader, field, rules)) {
            context.draft.explicitPaths.insert(joinPath(context.relativePath, field.key));
        }
    }
}

template<class Rules>
void readNested(MapReader &parent, std::string_view key, std::span<const Field<Rules>> fields, Rules &rules, const Context &context)
{
    const auto node = parent.node(key);
    if (!node) {
        return;
    }
    MapReader reader(*node, parent.childPath(key), parent.faults());
    readFields(reader, fields, rules, {joinPath(context.relativePath, key), context.draft});
    reader.rejectUnknownKeys();
}

void readKind(const YAML::Node &node, const std::string &path, KindRules &kind, const Context &context, FaultCollector &faults)
{
    MapReader reader(node, path, faults);
    readFields(reader, kindFields(), kind, context);
    readNested(reader, "resources", resourceFields(), kind.resources, context);
    const auto &explicitPaths = context.draft.explicitPaths;
    const auto both = explicitPaths.contains(joinPath(context.relativePath, "expectedMs")) && explicitPaths.contains(joinPath(context.relativePath, "limitMs"));
    if (both && kind.expectedMs > kind.limitMs) {
        reader.fault("expectedMs", std::to_string(kind.expectedMs) + " is above limitMs", "1 to " + std::to_string(kind.limitMs));
    }
    reader.rejectUnknownKeys();
}

void readKinds(MapReader &parent, SubtreeDraft &draft)
{
    const auto node = parent.node("kinds");
    if (!node) {
        return;
    }
    const std::string path = parent.childPath("kinds");
    FaultCollector &faults = parent.faults();
    forEachEntry(*node, path, faults, [&](const std::string &name, const YAML::Node &keyNode, const YAML::Node &value) {
        if (!isName(name)) {
            faults.add(joinPath(path, name), keyNode.Mark(), "is not a kind name", std::string(acceptedNames));
            return;
        }
        KindRules &kind = draft.rules.kinds.emplace(name, draft.kindDefaults).first->second;
        readKind(value, joinPath(path, name), kind, {joinPath("kinds", name), draft}, faults);
    });
    if (draft.rules.kinds.size() > maxKinds) {
        parent.fault("kinds", "has " + std::to_string(draft.rules.kinds.size()) + " kinds", "at most " + std::to_string(maxKinds));
    }
}

} // namespace

std::span<const Field<TeamRules>> teamFields()
{
    return teamTable;
}

std::span<const Field<KindRules>> kindFields()
{
    return kindTable;
}

std::span<const Field<Guards>> guardFields()
{
    return guardTable;
}

std::span<const Field<Resources>> resourceFields()
{
    return resourceTable;
}

void readSubtree(const YAML::Node &node, SubtreeLevel level, std::string_view path, SubtreeDraft &draft, FaultCollector &faults)
{
    MapReader reader(node, std::string(path), faults);
    const Context context{"", draft};
    readFields(reader, teamFields(), draft.rules, context);
    readNested(reader, "guards", guardFields(), draft.rules.guards, context);
    const bool both = draft.explicitPaths.contains("deadlineMs") && draft.explicitPaths.contains("maxDeadlineMs");
    if (both && draft.rules.deadlineMs > draft.rules.maxDeadlineMs) {
        reader.fault("deadlineMs", std::to_string(draft.rules.deadlineMs) + " is above maxDeadlineMs", "1 to " + std::to_string(draft.rules.maxDeadlineMs));
    }
    if (level == SubtreeLevel::Team) {
        readKinds(reader, draft);
    } else if (const auto defaults = reader.node("kindDefaults")) {
        readKind(*defaults, reader.childPath("kindDefaults"), draft.kindDefaults, {"kindDefaults", draft}, faults);
    }
    reader.rejectUnknownKeys();
}

} // namespace LaburnumFlow::Settings::Internal
