#pragma once

#include "platformstore.h"
#include "protocol/messages.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The JSON forms of the values that laburnumflow keeps in the platform's store.
namespace LaburnumFlow::Store {

constexpr std::string_view mapKey = "/laburnumflow/map";
constexpr std::string_view settingsPrefix = "/laburnumflow/settings/";
constexpr std::string_view rootSettingsKey = "/laburnumflow/settings/root";
constexpr std::string_view teamSettingsPrefix = "/laburnumflow/settings/teams/";

/// A value in the store that is not of the expected form.
struct MalformedValue {
    std::string key;
    std::string detail;
};

/// An earlier revision of a subtree.
struct SettingsHistoryItem {
    std::uint64_t revision = 0;
    std::string changeId;
    std::string author;
    std::int64_t wallMs = 0;
    std::string yaml;
};

/// The stored form of a settings subtree.
struct StoredSettings {
    Protocol::SettingsSubtree subtree;
    std::string author;
    std::int64_t wallMs = 0;
    std::vector<SettingsHistoryItem> history; ///< newest first, at most maxHistory, without the current one
};

std::string settingsKey(std::string_view team);
std::string toJson(const Protocol::PartitionMap &map);
std::string toJson(const StoredSettings &settings);

/// Fail with MalformedValue.
boost::leaf::result<Protocol::PartitionMap> parseMap(const KeyValue &pair);
boost::leaf::result<StoredSettings> parseSettings(const KeyValue &pair);

} // namespace LaburnumFlow::Store
