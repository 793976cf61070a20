#include "daemonsettings.h"

#include "endpointreader.h"
#include "schemareader.h"
#include "teamschema.h"

#include <algorithm>
#include <array>
#include <optional>

namespace LaburnumFlow::Settings {

using Internal::anyAddress;
using Internal::EndpointUse;
using Internal::FaultCollector;
using Internal::MapReader;
using Internal::SubtreeLevel;

namespace {

constexpr std::array<std::string_view, 2> roles{"entry", "agent"};
constexpr std::array<std::string_view, 4> logLevels{"error", "warn", "info", "debug"};
constexpr std::array<std::string_view, 4> placements{"expected-wait", "random", "round-robin", "power-of-two"};
/// The embedded store holds a team's text as a JSON string of at most 1 MB, and JSON escapes lengthen a text up to six times.
constexpr std::size_t maxFileBytes = 131'072;

void readEndpoints(MapReader &reader, std::string_view key, std::vector<Base::Endpoint> &target)
{
    const auto node = reader.node(key);
    if (!node) {
        return;
    }
    if (!node->IsSequence()) {
        reader.fault(key, "is not a list", "a list of endpoints");
        return;
    }
    for (std::size_t i = 0; i < node->size(); ++i) {
        const YAML::Node item = (*node)[i];
        const auto endpoint = item.IsScalar() ? parseEndpoint(item.Scalar(), EndpointUse::Connecting) : std::nullopt;
        if (endpoint) {
            target.push_back(*endpoint);
            continue;
        }
        const std::string path = reader.childPath(key) + "[" + std::to_string(i) + "]";
        reader.faults().add(path, item.Mark(), "is not an accepted endpoint", std::string(acceptedEndpoints(EndpointUse::Connecting)));
    }
}

/// Reads the endpoint that others connect to. It defaults to the listening endpoint, which must then have an address other
/// than 0.0.0.0.
void readAdvertised(MapReader &reader, std::string_view key, std::string_view listenKey, const Base::Endpoint &listen, Base::Endpoint &target)
{
    const bool given = reader.node(key).has_value();
    if (given) {
        readEndpoint(reader, key, EndpointUse::Connecting, target);
        return;
    }
    target = listen;
    if (listen.address == anyAddress) {
        reader.fault(key,
                     "required key is missing, as " + std::string(listenKey) + " listens on " + std::string(anyAddress),
                     std::string(acceptedEndpoints(EndpointUse::Connecting)));
    }
}

void readName(MapReader &reader, std::string_view key, std::string &target)
{
    reader.require(key);
    if (reader.text(key, target) && !Internal::isName(target)) {
        reader.fault(key, "'" + target + "' is not a name", std::string(Internal::acceptedNames));
    }
}

void readLogSettings(MapReader &parent, LogSettings &log)
{
    if (const auto node = parent.node("log")) {
        MapReader reader(*node, parent.childPath("log"), parent.faults());
        reader.choice("level", log.level, logLevels);
        reader.text("file", log.file, 4095);
        reader.rejectUnknownKeys();
    }
}

EtcdStoreSettings readEtcdStore(const YAML::Node &node, const std::string &path, FaultCollector &faults)
{
    MapReader reader(node, path, faults);
    EtcdStoreSettings etcd;
    reader.require("endpoint");
    readEndpoint(reader, "endpoint", EndpointUse::Connecting, etcd.endpoint);
    reader.number("callDeadlineMs", etcd.callDeadlineMs, 10, 60'000);
    reader.number("readsPerSecond", etcd.readsPerSecond, 1, 10'000);
    reader.number("writesPerSecond", etcd.writesPerSecond, 1, 10'000);
    reader.rejectUnknownKeys();
    return etcd;
}

/// Checks a subtree and returns its text. The text is written anew by yaml-cpp, since a node does not keep its source text.
std::string readSubtreeText(const YAML::Node &node, SubtreeLevel level, const std::string &path, FaultCollector &faults)
{
    Internal::SubtreeDraft draft;
    Internal::readSubtree(node, level, path, draft, faults);
    return node.IsNull() ? std::string() : YAML::Dump(node);
}

EmbeddedStoreSettings readEmbeddedStore(MapReader &reader)
{
    EmbeddedStoreSettings embedded;
    FaultCollector &faults = reader.faults();
    if (const auto root = reader.node("rootSettings")) {
        embedded.rootYaml = readSubtreeText(*root, SubtreeLevel::Root, "rootSettings", faults);
    }
    if (const auto teams = reader.node("teams")) {
        Internal::forEachEntry(*teams, "teams", faults, [&](const std::string &team, const YAML::Node &key, const YAML::Node &value) {
            const std::string path = Internal::joinPath("teams", team);
            if (!Internal::isName(team)) {
                faults.add(path, key.Mark(), "is not a team name", std::string(Internal::acceptedNames));
                return;
            }
            embedded.teamYaml.emplace(team, readSubtreeText(value, SubtreeLevel::Team, path, faults));
        });
    }
    return embedded;
}

StoreSettings readStore(MapReader &reader)
{
    const auto store = reader.node("store");
    if (!store) {
        return readEmbeddedStore(reader);
    }
    if (!store->IsMap()) {
        if (!store->IsScalar() || store->Scalar() != "embedded") {
            reader.fault("store", "is not a known store", "embedded, or a map with the key etcd");
        }
        return readEmbeddedStore(reader);
    }
    for (const std::string_view key : {"rootSettings", "teams"}) {
        if (reader.node(key)) {
            reader.fault(key, "is only accepted with the embedded store");
        }
    }
    MapReader storeReader(*store, "store", reader.faults());
    storeReader.require("etcd");
    const auto etcd = storeReader.node("etcd");
    storeReader.rejectUnknownKeys();
    return etcd ? readEtcdStore(*etcd, "store.etcd", reader.faults()) : EtcdStoreSettings{};
}

EntrySettings readEntry(MapReader &reader)
{
    EntrySettings entry;
    readName(reader, "name", entry.name);
    readName(reader, "failureDomain", entry.failureDomain);
    reader.require("http");
    readEndpoint(reader, "http", EndpointUse::Listening, entry.http);
    reader.require("peer");
    readEndpoint(reader, "peer", EndpointUse::Listening, entry.peer);
    readAdvertised(reader, "advertisedPeer", "peer", entry.peer, entry.advertisedPeer);
    readEndpoints(reader, "entries", entry.entries);
    entry.store = readStore(reader);
    reader.choice("placement", entry.placement, placements);
    reader.number("seed", entry.seed, 0);
    readLogSettings(reader, entry.log);
    return entry;
}

AgentSettings readAgent(MapReader &reader)
{
    AgentSettings agent;
    readName(reader, "name", agent.name);
    readName(reader, "worker", agent.worker);
    readName(reader, "failureDomain", agent.failureDomain);
    reader.require("listen");
    readEndpoint(reader, "listen", EndpointUse::Listening, agent.listen);
    readAdvertised(reader, "advertised", "listen", agent.listen, agent.advertised);
    reader.require("entries");
    readEndpoints(reader, "entries", agent.entries);
    if (const auto entries = reader.node("entries"); entries && entries->IsSequence() && entries->size() == 0) {
        reader.fault("entries", "is empty", "at least one endpoint");
    }
    reader.require("backend");
    readEndpoint(reader, "backend", EndpointUse::Connecting, agent.backend);
    reader.number("slots", agent.slots, 1, 1024);
    if (!reader.number("reservedShortSlots", agent.reservedShortSlots, 0, agent.slots - 1U)) {
        agent.reservedShortSlots = std::min<std::uint16_t>(agent.reservedShortSlots, static_cast<std::uint16_t>(agent.slots - 1U));
    }
    reader.number("seed", agent.seed, 0);
    readLogSettings(reader, agent.log);
    return agent;
}

} // namespace

boost::leaf::result<DaemonSettings> parseDaemonSettings(std::string_view yaml)
{
    FaultCollector faults;
    if (yaml.size() > maxFileBytes) {
        const std::string accepted = "at most " + std::to_string(maxFileBytes) + " bytes";
        faults.add("", YAML::Mark(), "has " + std::to_string(yaml.size()) + " bytes", accepted);
        return boost::leaf::new_error(faults.takeSorted());
    }
    const auto document = Internal::loadDocument(yaml, faults);
    if (!document) {
        return boost::leaf::new_error(faults.takeSorted());
    }
    MapReader reader(*document, "", faults);
    std::string role;
    reader.require("role");
    DaemonSettings settings;
    // The other keys depend on the role and cannot be checked without it.
    if (reader.choice("role", role, roles)) {
        settings = role == "entry" ? DaemonSettings(readEntry(reader)) : DaemonSettings(readAgent(reader));
        reader.rejectUnknownKeys();
    }
    if (!faults.empty()) {
        return boost::leaf::new_error(faults.takeSorted());
    }
    return settings;
}

} // namespace LaburnumFlow::Settings
