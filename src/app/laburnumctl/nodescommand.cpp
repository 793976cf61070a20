#include "commands.h"
#include "laburnumctlconstants.h"
#include "output.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace LaburnumFlow::Ctl {

namespace {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

const std::vector<std::string> entryColumns{"name", "failureDomain", "owner", "ownerEpoch", "storeReachable", "rulesVersion", "openRequests", "stopping"};
const std::vector<std::string>
    agentColumns{"name", "failureDomain", "worker", "workerHeardMsAgo", "workerSilent", "hasOwner", "ownerEpoch", "runs", "backgroundPercent", "stopping"};
const std::vector<std::string> queueColumns{"queue", "open", "waiting", "unstarted", "oldestMs"};
const std::vector<std::string>
    workerColumns{"agent", "worker", "failureDomain", "service", "state", "runs", "usedMilli", "capacityMilli", "speedPercent", "heardMsAgo"};

/// Nothing if the process does not answer.
Json statusOf(const Options &options, const std::string &address)
{
    HttpRequest request = requestOf(options, "GET", "/status");
    request.url = "http://" + address + "/status";
    return leaf::try_handle_all(
        [&]() -> leaf::result<Json> {
            BOOST_LEAF_AUTO(reply, perform(request));
            return reply.status == 200 ? parseBody(reply.body) : Json::object();
        },
        [] { return Json::object(); });
}

void printSection(const char *title, const Json &rows, const std::vector<std::string> &columns)
{
    if (!rows.empty()) {
        std::cout << "== " << title << '\n';
        printTable(rows, columns);
    }
}

} // namespace

int showNodes(const Options &options, std::span<const std::string> addresses)
{
    Json all = Json::array();
    Json entries = Json::array();
    Json agents = Json::array();
    int code = exitOk;
    for (const std::string &address : addresses) {
        Json status = statusOf(options, address);
        if (status.empty()) {
            std::cerr << "laburnumctl: no status from " << address << '\n';
            code = exitUnreachable;
            continue;
        }
        all.push_back(status);
        const bool isEntry = status.value("role", std::string()) == "entry";
        if (isEntry) {
            status["storeReachable"] = status.value("store", Json::object()).value("reachable", false);
        }
        (isEntry ? entries : agents).push_back(std::move(status));
    }
    if (options.json) {
        std::cout << all.dump() << '\n';
        return code;
    }
    printSection("entries", entries, entryColumns);
    printSection("agents", agents, agentColumns);
    for (const Json &entry : entries) {
        const Json jobs = entry.value("jobs", Json::object());
        printSection("queues", jobs.value("queues", Json::array()), queueColumns);
        printSection("workers", jobs.value("workers", Json::array()), workerColumns);
    }
    return code;
}

} // namespace LaburnumFlow::Ctl
