#include "nodesettings.h"

#include "endpointreader.h"
#include "schemareader.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace LaburnumFlow::Settings {

using Internal::EndpointUse;
using Internal::FaultCollector;
using Internal::MapReader;

namespace {

constexpr std::array<std::string_view, 2> roles{"entry", "agent"};
constexpr std::size_t maxNameLength = 120; ///< Names are parts of store keys, which hold at most 200 bytes

void requireEndpoint(MapReader &reader, std::string_view key, EndpointUse use, Base::Endpoint &target)
{
    reader.require(key);
    readEndpoint(reader, key, use, target);
}

NodeStoreSettings readStore(MapReader &parent)
{
    NodeStoreSettings store;
    parent.require("store");
    const auto node = parent.node("store");
    if (!node) {
        return store;
    }
    MapReader reader(*node, parent.childPath("store"), parent.faults());
    requireEndpoint(reader, "address", EndpointUse::Connecting, store.endpoint);
    reader.number("shortestLeaseMs", store.shortestLeaseMs, 1, 600'000);
    reader.rejectUnknownKeys();
    return store;
}

JobEntrySettings readEntry(MapReader &reader)
{
    JobEntrySettings entry;
    requireEndpoint(reader, "callers", EndpointUse::Listening, entry.callers);
    requireEndpoint(reader, "ready", EndpointUse::Listening, entry.ready);
    reader.real("remoteFactor", entry.remoteFactor, 1.0, 100.0);
    reader.number("finalStateSeconds", entry.finalStateSeconds, 1, 86'400);
    reader.number("resubmitDelayMs", entry.resubmitDelayMs, 1, 600'000);
    if (Base::Endpoint advice; readEndpoint(reader, "advice", EndpointUse::Connecting, advice)) {
        entry.advice = advice;
    }
    return entry;
}

JobAgentSettings readAgent(MapReader &reader)
{
    JobAgentSettings agent;
    requireEndpoint(reader, "registration", EndpointUse::Listening, agent.registration);
    requireEndpoint(reader, "worker", EndpointUse::Connecting, agent.worker);
    return agent;
}

} // namespace

boost::leaf::result<NodeSettings> parseNodeSettings(std::string_view yaml)
{
    FaultCollector faults;
    const auto document = Internal::loadDocument(yaml, faults);
    if (!document) {
        return boost::leaf::new_error(faults.takeSorted());
    }
    MapReader reader(*document, "", faults);
    NodeSettings settings;
    reader.require("name");
    reader.text("name", settings.name, maxNameLength);
    reader.text("failureDomain", settings.failureDomain);
    double share = 1.0;
    reader.real("processorShare", share, 0.01, 1024.0);
    settings.processorPercent = static_cast<std::uint32_t>(std::lround(share * 100.0));
    reader.number("stopSeconds", settings.stopSeconds, 1, 3600);
    if (double linkMbps = 0; reader.real("linkMbps", linkMbps, 0.001, 1'000'000.0)) {
        settings.linkMbps = linkMbps;
    }
    reader.number("logLinesPerSecond", settings.logLinesPerSecond, 1, 100'000);
    if (Base::Endpoint metrics; readEndpoint(reader, "metrics", EndpointUse::Listening, metrics)) {
        settings.metrics = metrics;
    }
    settings.store = readStore(reader);
    std::string role;
    reader.require("role");
    // The other keys depend on the role and cannot be checked without it.
    if (reader.choice("role", role, roles)) {
        if (role == "entry") {
            requireEndpoint(reader, "peers", EndpointUse::Connecting, settings.peers);
            settings.role = readEntry(reader);
        } else {
            readEndpoint(reader, "peers", EndpointUse::Listening, settings.peers);
            settings.role = readAgent(reader);
        }
        reader.rejectUnknownKeys();
    }
    if (!faults.empty()) {
        return boost::leaf::new_error(faults.takeSorted());
    }
    return settings;
}

} // namespace LaburnumFlow::Settings
