#include "storecodec.h"

#include "storeconstants.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <type_traits>

namespace LaburnumFlow::Store {

using nlohmann::json;

namespace {

/// Returns the JSON text of a value for a message, in ASCII so that it can be cut anywhere.
std::string shortened(const json &value)
{
    constexpr std::size_t maxShownBytes = 60;
    const std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    return text.size() > maxShownBytes ? text.substr(0, maxShownBytes) + "..." : text;
}

/// Reads the fields of JSON objects and records the first fault.
class FieldReader
{
public:
    explicit FieldReader(std::string &fault) : fault_(fault) { }

    const json *find(const json &object, const char *name)
    {
        const auto found = object.is_object() ? object.find(name) : object.end();
        if (!object.is_object() || found == object.end()) {
            setFault(name, "required field is missing");
            return nullptr;
        }
        return &*found;
    }

    void text(const json &object, const char *name, std::string &target)
    {
        const json *value = find(object, name);
        if (value != nullptr && value->is_string()) {
            target = value->get<std::string>();
        } else {
            setFault(name, "expected a string", value);
        }
    }

    template<class Integer>
    void number(const json &object, const char *name, Integer &target)
    {
        const json *value = find(object, name);
        if (value != nullptr) {
            assign(*value, name, target);
        }
    }

    template<class Integer>
    void assign(const json &value, const char *name, Integer &target)
    {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<Integer>::max())) {
            setFault(name, "expected an integer from 0 to " + std::to_string(std::numeric_limits<Integer>::max()), &value);
            return;
        }
        target = value.get<Integer>();
    }

    /// Calls visit for each item of an array field.
    template<class Visit>
    void forEach(const json &object, const char *name, Visit visit)
    {
        const json *value = find(object, name);
        if (value == nullptr || !value->is_array()) {
            setFault(name, "expected an array", value);
            return;
        }
        for (const json &item : *value) {
            visit(item);
        }
    }

    void setFault(const char *name, const std::string &problem, const json *found = nullptr)
    {
        if (fault_.empty()) {
            fault_ = std::string(name) + ": " + problem + (found != nullptr ? ", found " + shortened(*found) : "");
        }
    }

private:
    std::string &fault_;
};

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json endpointJson(const Base::Endpoint &endpoint)
{
    return {{"address", endpoint.address}, {"port", endpoint.port}};
}

json entryJson(const Protocol::EntryRecord &entry)
{
    return {{"name", entry.id.name},
            {"incarnation", entry.id.incarnation},
            {"http", endpointJson(entry.http)},
            {"peer", endpointJson(entry.peer)},
            {"failureDomain", entry.failureDomain}};
}

json entriesJson(const std::vector<Protocol::EntryRecord> &entries)
{
    json list = json::array();
    for (const Protocol::EntryRecord &entry : entries) {
        list.push_back(entryJson(entry));
    }
    return list;
}

void readEndpoint(FieldReader &reader, const json &object, const char *name, Base::Endpoint &target)
{
    if (const json *value = reader.find(object, name)) {
        reader.text(*value, "address", target.address);
        reader.number(*value, "port", target.port);
    }
}

void readEntries(FieldReader &reader, const json &object, std::vector<Protocol::EntryRecord> &target)
{
    reader.forEach(object, "entries", [&](const json &item) {
        Protocol::EntryRecord entry;
        reader.text(item, "name", entry.id.name);
        reader.number(item, "incarnation", entry.id.incarnation);
        readEndpoint(reader, item, "http", entry.http);
        readEndpoint(reader, item, "peer", entry.peer);
        reader.text(item, "failureDomain", entry.failureDomain);
        target.push_back(std::move(entry));
    });
}

void readOwners(FieldReader &reader, const json &object, Protocol::PartitionMap &map)
{
    std::size_t count = 0;
    reader.forEach(object, "owner", [&](const json &item) {
        std::uint16_t owner = 0;
        reader.assign(item, "owner", owner);
        if (owner >= map.entries.size() && !map.entries.empty()) {
            reader.setFault("owner", "expected the index of one of " + std::to_string(map.entries.size()) + " entries", &item);
        }
        if (count < map.owner.size()) {
            map.owner[count] = owner;
        }
        ++count;
    });
    if (count != map.owner.size()) {
        reader.setFault("owner", "expected " + std::to_string(map.owner.size()) + " partitions, found " + std::to_string(count));
    }
}

json itemJson(const SettingsHistoryItem &item)
{
    return {{"revision", item.revision}, {"changeId", item.changeId}, {"author", item.author}, {"wallMs", item.wallMs}, {"yaml", item.yaml}};
}

/// Reads one revision. The current one has the same fields as those of the history.
void readItem(FieldReader &reader, const json &object, SettingsHistoryItem &item)
{
    reader.number(object, "revision", item.revision);
    reader.text(object, "changeId", item.changeId);
    reader.text(object, "author", item.author);
    reader.number(object, "wallMs", item.wallMs);
    reader.text(object, "yaml", item.yaml);
}

boost::leaf::result<json> parseObject(const KeyValue &pair)
{
    json parsed = json::parse(pair.value, nullptr, false);
    if (!parsed.is_object()) {
        return boost::leaf::new_error(MalformedValue{pair.key, "expected a JSON object"});
    }
    return parsed;
}

} // namespace

std::string settingsKey(std::string_view team)
{
    return team.empty() ? std::string(rootSettingsKey) : std::string(teamSettingsPrefix) + std::string(team);
}

std::string toJson(const Protocol::PartitionMap &map)
{
    json unfenced = json::array();
    for (const Protocol::UnfencedSet &set : map.unfenced) {
        unfenced.push_back({{"epoch", set.epoch}, {"entries", entriesJson(set.entries)}});
    }
    return dump({{"epoch", map.epoch},
                 {"entries", entriesJson(map.entries)},
                 {"owner", map.owner},
                 {"unfenced", std::move(unfenced)},
                 {"confirmedDead", map.confirmedDead},
                 {"writeId", map.writeId}});
}

std::string toJson(const StoredSettings &settings)
{
    json value = itemJson({settings.subtree.revision, settings.subtree.changeId, settings.author, settings.wallMs, settings.subtree.yaml});
    json &history = value["history"] = json::array();
    std::size_t size = dump(value).size();
    for (const SettingsHistoryItem &item : settings.history) {
        json itemValue = itemJson(item);
        size += dump(itemValue).size() + 1;
        if (history.size() == maxHistory || size >= maxValueBytes) {
            break;
        }
        history.push_back(std::move(itemValue));
    }
    return dump(value);
}

boost::leaf::result<Protocol::PartitionMap> parseMap(const KeyValue &pair)
{
    BOOST_LEAF_AUTO(value, parseObject(pair));
    std::string fault;
    FieldReader reader(fault);
    Protocol::PartitionMap map;
    reader.number(value, "epoch", map.epoch);
    readEntries(reader, value, map.entries);
    readOwners(reader, value, map);
    reader.forEach(value, "unfenced", [&](const json &item) {
        Protocol::UnfencedSet set;
        reader.number(item, "epoch", set.epoch);
        readEntries(reader, item, set.entries);
        map.unfenced.push_back(std::move(set));
    });
    reader.forEach(value, "confirmedDead", [&](const json &item) {
        if (item.is_string()) {
            map.confirmedDead.push_back(item.get<std::string>());
        } else {
            reader.setFault("confirmedDead", "expected an array of strings", &item);
        }
    });
    reader.text(value, "writeId", map.writeId);
    if (!fault.empty()) {
        return boost::leaf::new_error(MalformedValue{pair.key, std::move(fault)});
    }
    return map;
}

boost::leaf::result<StoredSettings> parseSettings(const KeyValue &pair)
{
    BOOST_LEAF_AUTO(value, parseObject(pair));
    std::string fault;
    FieldReader reader(fault);
    SettingsHistoryItem current;
    readItem(reader, value, current);
    StoredSettings settings;
    reader.forEach(value, "history", [&](const json &item) { readItem(reader, item, settings.history.emplace_back()); });
    const std::string_view key = pair.key;
    if (key != rootSettingsKey && !key.starts_with(teamSettingsPrefix)) {
        reader.setFault("key", "expected " + std::string(rootSettingsKey) + " or a key below " + std::string(teamSettingsPrefix));
    }
    if (!fault.empty()) {
        return boost::leaf::new_error(MalformedValue{pair.key, std::move(fault)});
    }
    const std::string_view team = key == rootSettingsKey ? std::string_view() : key.substr(teamSettingsPrefix.size());
    settings.subtree = {std::string(team), current.revision, std::move(current.changeId), std::move(current.yaml)};
    settings.author = std::move(current.author);
    settings.wallMs = current.wallMs;
    return settings;
}

} // namespace LaburnumFlow::Store
