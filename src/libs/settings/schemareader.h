#pragma once

#include "settingsfault.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Typed reading of YAML maps. All faults are collected with their position in the text.
namespace LaburnumFlow::Settings::Internal {

/// Collects the faults of one settings text.
class FaultCollector
{
public:
    void add(std::string path, const YAML::Mark &position, std::string problem, std::string accepted = {});

    bool empty() const
    {
        return faults_.empty();
    }

    /// Moves the faults out, in the order of their positions.
    SettingsFaults takeSorted();

private:
    std::vector<SettingsFault> faults_;
};

std::string joinPath(std::string_view path, std::string_view key);

/// Returns whether the text is 1 to 63 lowercase letters, digits and '-', and does not start with '-'.
bool isName(std::string_view text);
constexpr std::string_view acceptedNames = "1 to 63 of a-z, 0-9 and '-', not starting with '-'";

/// Loads the only document of a text. An empty text gives a null node. Adds a fault and returns nothing on a syntax error, malformed UTF-8 or more than one document.
std::optional<YAML::Node> loadDocument(std::string_view yaml, FaultCollector &faults);

/// Calls visit for each distinct key of a map. Adds faults for a node of another type (null counts as an empty map),
/// for keys that are not scalars and for duplicate keys.
using EntryVisitor = std::function<void(const std::string &key, const YAML::Node &keyNode, const YAML::Node &value)>;
void forEachEntry(const YAML::Node &node, std::string_view path, FaultCollector &faults, const EntryVisitor &visit);

/// Reads the known keys of one map. An absent key leaves its target unchanged and is a fault only after require().
class MapReader
{
public:
    MapReader(const YAML::Node &node, std::string path, FaultCollector &faults);

    /// Each returns whether the key is present with an accepted value. Ranges include min and max.
    bool boolean(std::string_view key, bool &target);
    bool real(std::string_view key, double &target, double min, double max);
    bool text(std::string_view key, std::string &target, std::size_t maxLength = 255);
    bool choice(std::string_view key, std::string &target, std::span<const std::string_view> choices);

    template<class Unsigned>
    bool number(std::string_view key, Unsigned &target, std::uint64_t min, std::uint64_t max = std::numeric_limits<Unsigned>::max())
    {
        std::uint64_t value = 0;
        if (!unsignedNumber(key, value, min, max)) {
            return false;
        }
        target = static_cast<Unsigned>(value);
        return true;
    }

    /// Returns the value of a key that the caller reads itself, or nothing if the key is absent.
    std::optional<YAML::Node> node(std::string_view key);

    /// Adds a fault if the key is absent.
    void require(std::string_view key);
    /// Adds a fault at the key's value, or at the map if the key is absent.
    void fault(std::string_view key, std::string problem, std::string accepted = {});

    /// Adds a fault for each key that no call has requested. The accepted keys named in it default to the requested ones.
    void rejectUnknownKeys(std::string_view acceptedKeys = {});

    std::string childPath(std::string_view key) const
    {
        return joinPath(path_, key);
    }

    FaultCollector &faults()
    {
        return faults_;
    }

private:
    struct Entry {
        YAML::Node keyNode;
        YAML::Node value;
        bool requested = false;
    };

    Entry *find(std::string_view key);
    /// Returns the scalar value of a key, or null after adding a fault. Null also if the key is absent. mustBePlain rejects
    /// quoted scalars.
    const YAML::Node *scalar(std::string_view key, bool mustBePlain, std::string_view expected);
    bool unsignedNumber(std::string_view key, std::uint64_t &target, std::uint64_t min, std::uint64_t max);

    std::string path_;
    YAML::Mark position_;
    FaultCollector &faults_;
    std::map<std::string, Entry, std::less<>> entries_;
    std::vector<std::string> requestedKeys_;
};

} // namespace LaburnumFlow::Settings::Internal
