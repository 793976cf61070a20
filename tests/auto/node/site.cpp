#include "site.h"

#include "../freeport.h"
#include "../system/waiting.h"

#include "jobs/records.h"
#include "platform/rulesdocument.h"

#include <cppunit/TestAssert.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace NodeTest {

using SystemTest::call;
using SystemTest::ChildProcess;
using SystemTest::generousSeconds;
using SystemTest::HttpResult;
using SystemTest::waitFor;

namespace {

const std::string testRoute = R"({"Name":"q","Host":"q.example","Prefix":"/q/","Service":"service","MaxAttempts":3,)"
                              R"("Stretch":1.6,"TargetDurationMs":60})";

/// Returns the port of an address "ADDRESS:PORT".
std::uint16_t portOf(const std::string &address)
{
    return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
}

std::string otherRoute(int number)
{
    const std::string name = "other-" + std::to_string(number);
    return R"({"Name":")" + name + R"(","Host":")" + name + R"(.example","Prefix":"/)" + name + R"(/","Service":"service","Priority":1,)"
           + R"("MaxAttempts":3,"Stretch":1.6,"TargetDurationMs":60,"TimeoutMs":1500,"Kind":"non_idempotent"})";
}

std::string localEndpoint(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string freeEndpoint()
{
    return localEndpoint(LaburnumFlow::Testing::freePort());
}

std::string entryName(int index)
{
    return "entry-" + std::to_string(index);
}

} // namespace

double metricSum(const std::string &metrics, const std::string &name, const std::string &label)
{
    std::istringstream lines(metrics);
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        const bool named = line.rfind(name, 0) == 0 && (line[name.size()] == ' ' || line[name.size()] == '{');
        if (named && line.find(label) != std::string::npos) {
            sum += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return sum;
}

Site::Site(int entries, std::size_t storeBytesPerSecond)
{
    std::string folder = "/tmp/laburnumnode-test-XXXXXX";
    CPPUNIT_ASSERT(mkdtemp(folder.data()) != nullptr);
    folder_ = folder;
    putRules(1, 0);
    for (int i = 0; i < entries; ++i) {
        entries_.push_back({freeEndpoint(), freeEndpoint(), freeEndpoint(), freeEndpoint(), std::make_unique<PlatformSite::StoreAddress>(platform), {}, {}});
        if (storeBytesPerSecond > 0) {
            limitStoreLink(entries_.back(), storeBytesPerSecond);
        }
        startEntry(i);
    }
    agentAddresses_ = {freeEndpoint(), freeEndpoint(), freeEndpoint(), std::make_unique<PlatformSite::StoreAddress>(platform)};
    secondAgentAddresses_ = {freeEndpoint(), freeEndpoint(), freeEndpoint(), std::make_unique<PlatformSite::StoreAddress>(platform)};
    startAgent();
}

Site::~Site()
{
    agent.reset();
    secondAgent.reset();
    entries_.clear();
    std::filesystem::remove_all(folder_);
}

void Site::startEntry(int index)
{
    Entry &entry = entries_.at(static_cast<std::size_t>(index));
    const std::string name = entryName(index);
    entry.process = startProcess(name,
                                 "role: entry\nname: " + name + "\ncallers: " + entry.callers + "\nready: " + entry.ready + "\npeers: " + entry.peers
                                     + "\nmetrics: " + entry.metrics + "\n",
                                 entry.storeLink ? "127.0.0.1:" + entry.storeLink->value("port") : entry.store->endpoint());
}

void Site::limitStoreLink(Entry &entry, std::size_t bytesPerSecond) const
{
    const std::string store = entry.store->endpoint();
    entry.storeLink = std::make_unique<ChildProcess>("faultproxy", std::vector<std::string>{}, folder_ + "/proxies.log");
    const nlohmann::json limits{{"targetPort", std::stoi(store.substr(store.find(':') + 1))}, {"bytesPerSecond", bytesPerSecond}};
    CPPUNIT_ASSERT_EQUAL(200L, call("POST", "127.0.0.1:" + entry.storeLink->value("control"), "/control", limits.dump()).status);
}

void Site::putRules(int version, int otherRoutes)
{
    std::string routes = testRoute;
    for (int i = 0; i < otherRoutes; ++i) {
        routes += ',' + otherRoute(i);
    }
    platform.put(std::string(LaburnumFlow::Platform::rulesKey),
                 R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" + routes + R"(],"Services":[],"Limits":{}})");
}

int Site::rulesVersion(int index) const
{
    return static_cast<int>(metricSum(entryMetrics(index), "laburnumflow_rules_version"));
}

void Site::startAgent()
{
    agent = startAgentProcess("agent", agentAddresses_, worker.endpoint());
}

void Site::startSecondAgent()
{
    secondAgent = startAgentProcess("agent-2", secondAgentAddresses_, secondWorker.endpoint());
    const std::string &registration = secondAgentAddresses_.registration;
    CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return call("PUT", registration, secondWorker.heartbeatPath(), secondWorker.heartbeat()).status == 200; }));
}

void Site::waitUntilReady(int index)
{
    CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return call("GET", entries_.at(static_cast<std::size_t>(index)).ready, "/ready").status == 200; }));
    CPPUNIT_ASSERT(waitFor(generousSeconds, [this] { return sendWorkerHeartbeat(); }));
}

bool Site::sendWorkerHeartbeat()
{
    return call("PUT", agentAddresses_.registration, worker.heartbeatPath(), worker.heartbeat()).status == 200;
}

void Site::turnAway(int index, bool away)
{
    entries_.at(static_cast<std::size_t>(index)).store->turnsAway = away;
}

void Site::turnAgentAway(bool away)
{
    agentAddresses_.store->turnsAway = away;
}

bool Site::listsEntry(int index) const
{
    return call("GET", platform.endpoint(), "/kv-key?Key=" + LaburnumFlow::Jobs::entryKey(entryName(index))).status != 404;
}

std::vector<PlatformSite::WorkerStandIn::Run> Site::allRuns()
{
    std::vector<PlatformSite::WorkerStandIn::Run> runs = worker.runs();
    const std::vector<PlatformSite::WorkerStandIn::Run> others = secondWorker.runs();
    runs.insert(runs.end(), others.begin(), others.end());
    return runs;
}

std::optional<int> Site::ownerIndex() const
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (metricSum(entryMetrics(static_cast<int>(i)), "laburnumflow_owner_epoch") > 0) {
            return static_cast<int>(i);
        }
    }
    return std::nullopt;
}

int Site::waitForOwner() const
{
    std::optional<int> found;
    CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return (found = ownerIndex()).has_value(); }));
    return *found;
}

ChildProcess &Site::entry(int index)
{
    return *entries_.at(static_cast<std::size_t>(index)).process;
}

HttpResult Site::submit(int index, const std::string &id, int tasks, int workMs, bool bestEffort, long timeoutMs) const
{
    return submitTo("q", index, id, tasks, workMs, bestEffort, timeoutMs);
}

HttpResult Site::submitTo(const std::string &queue, int index, const std::string &id, int tasks, int workMs, bool bestEffort, long timeoutMs) const
{
    const std::string body = R"({"Spec":")" + std::to_string(workMs) + R"(","Steps":[{"Count":)" + std::to_string(tasks) + R"(,"Cpu":1000,"EstimateMs":)"
                             + std::to_string(workMs) + "}]" + (bestEffort ? R"(,"BestEffort":true})" : "}");
    const std::string &callers = entries_.at(static_cast<std::size_t>(index)).callers;
    return call("POST", callers, "/" + queue + "/" + id, body, {"Host: " + queue + ".example", "X-Deadline-Ms: 50000"}, timeoutMs);
}

HttpResult Site::cancel(int index, const std::string &id) const
{
    return call("DELETE", entries_.at(static_cast<std::size_t>(index)).callers, "/q/" + id, {}, {"Host: q.example"});
}

std::string Site::jobState(int index, const std::string &id) const
{
    const HttpResult result = call("GET", entries_.at(static_cast<std::size_t>(index)).callers, "/q/" + id, {}, {"Host: q.example"});
    return result.json().value("State", std::string());
}

std::string Site::entryMetrics(int index) const
{
    return call("GET", entries_.at(static_cast<std::size_t>(index)).metrics, "/metrics").body;
}

std::uint16_t Site::callersPort(int index) const
{
    return portOf(entries_.at(static_cast<std::size_t>(index)).callers);
}

std::uint16_t Site::peersPort(int index) const
{
    return portOf(entries_.at(static_cast<std::size_t>(index)).peers);
}

nlohmann::json Site::entryStatus(int index) const
{
    return call("GET", entries_.at(static_cast<std::size_t>(index)).metrics, "/status").json();
}

std::string Site::agentMetrics() const
{
    return call("GET", agentAddresses_.metrics, "/metrics").body;
}

std::unique_ptr<ChildProcess> Site::startAgentProcess(const std::string &name, const Agent &addresses, const std::string &workerEndpoint) const
{
    return startProcess(name,
                        "role: agent\nname: " + name + "\nregistration: " + addresses.registration + "\nworker: " + workerEndpoint
                            + "\nmetrics: " + addresses.metrics + "\npeers: " + addresses.peers + "\n",
                        addresses.store->endpoint());
}

std::unique_ptr<ChildProcess> Site::startProcess(const std::string &name, const std::string &settings, const std::string &store) const
{
    const std::string file = folder_ + "/" + name + ".yaml";
    std::ofstream(file) << settings << "store: {address: '" << store << "'}\n";
    return std::make_unique<ChildProcess>("laburnumnode", std::vector<std::string>{"--config", file}, folder_ + "/" + name + ".log");
}

} // namespace NodeTest
