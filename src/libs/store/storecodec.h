#pragma once

#include "platformstore.h"
#include "protocol/messages.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Keys and JSON forms of the values that laburnumflow keeps in the platform's store.
namespace LaburnumFlow::Store {

constexpr std::string_view mapKey = "/laburnumflow/map";
constexpr std::string_view settingsPrefix = "/laburnumflow/settings/";
constexpr std::string_view rootSettingsKey = "/laburnumflow/settings/root";
constexpr std::string_view teamSettingsPrefix = "/laburnumflow/settings/teams/";

/// A value in the store does not have the expected form.
struct MalformedValue {
    std::string key;
    std::string detail; ///< Field, accepted form and value found
};

/// An earlier revision of a subtree.
struct SettingsHistoryItem {
    std::uint64_t revision = 0;
    std::string changeId;
    std::string author;
    std::int64_t wallMs = 0;
    std::string yaml;
};

/// A settings subtree as stored: the current revision with the earlier ones.
struct StoredSettings {
    Protocol::SettingsSubtree subtree;
    std::string author;
    std::int64_t wallMs = 0;
    std::vector<SettingsHistoryItem> history; ///< Earlier revisions, newest first, at most maxHistory
};

/// Returns the key of a team's subtree, or the root's if the team is empty.
std::string settingsKey(std::string_view team);
std::string toJson(const Protocol::PartitionMap &map);

/// Omits the oldest revisions of the history if the value would exceed maxValueBytes.
std::string toJson(const StoredSettings &settings);

/// The parse functions fail with MalformedValue.
boost::leaf::result<Protocol::PartitionMap> parseMap(const KeyValue &pair);
boost::leaf::result<StoredSettings> parseSettings(const KeyValue &pair);

} // namespace LaburnumFlow::Store
