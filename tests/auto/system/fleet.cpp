#include "fleet.h"

#include "waiting.h"

#include "base/timerservice.h"
#include "base/uuid.h"
#include "protocol/membership.h"

#include <stdlib.h>

#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace SystemTest {

using namespace LaburnumFlow;

namespace {

std::string loopback(const std::string &port)
{
    return "127.0.0.1:" + port;
}

std::mt19937_64 &random()
{
    static std::mt19937_64 generator(std::random_device{}());
    return generator;
}

/// Splits "SUBMISSION-INDEX-ATTEMPT".
bool parseTaskId(const std::string &text, BackendRecord &record)
{
    constexpr std::size_t uuidLength = 36;
    if (text.size() < uuidLength + 4) {
        return false;
    }
    record.submission = text.substr(0, uuidLength);
    char separator = 0;
    std::istringstream rest(text.substr(uuidLength + 1));
    return static_cast<bool>(rest >> record.index >> separator >> record.attempt);
}

std::size_t acceptingAgents(const nlohmann::json &status)
{
    std::size_t count = 0;
    for (const auto &row : status.value("agent", nlohmann::json::array())) {
        count += row.value("acceptsWork", std::string()) == "yes" ? 1U : 0U;
    }
    return count;
}

/// True if all entries are in the map and no takeover goes on. An entry that dies before that leaves a set that only
/// it can acknowledge, which is a case of its own.
bool mapSettled(const nlohmann::json &status, std::size_t entries)
{
    const nlohmann::json rows = status.value("partitions", nlohmann::json::array());
    if (rows.empty()) {
        return false;
    }
    const auto is = [&](const char *name, std::size_t value) { return rows[0].value(name, std::string()) == std::to_string(value); };
    return is("entries", entries) && is("unfencedSets", 0) && is("recovering", 0) && is("suspended", 0);
}

} // namespace

const std::string_view adireSettings = R"(deadlineMs: 20000
kinds:
  fold-preview: {idempotent: true, expectedMs: 50}
  fold-plan: {idempotent: true, expectedMs: 500}
  sheet-check: {idempotent: true, orderingKey: true, expectedMs: 50}
  glass-order: {idempotent: false, expectedMs: 50}
)";

std::string newId()
{
    return Base::toString(Base::makeUuidV7(Base::wallNow(), random()(), random()()));
}

std::string job(const std::string &kind, int count, int runMs, int deadlineMs, const std::string &orderingKey)
{
    nlohmann::json body{{"deadlineMs", deadlineMs}, {"tasks", nlohmann::json::array()}};
    for (int i = 0; i < count; ++i) {
        body["tasks"].push_back({{"kind", kind}, {"payload", {{"runMs", runMs}, {"sheet", i}}}});
    }
    if (!orderingKey.empty()) {
        body["orderingKey"] = orderingKey;
    }
    return body.dump();
}

Fleet::Fleet(const FleetOptions &options)
    : options_(options), entries_(static_cast<std::size_t>(options.entries)), workers_(static_cast<std::size_t>(options.workers))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "laburnumflow-test-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    store_ = std::make_unique<ChildProcess>("platformstore", std::vector<std::string>{"--port", "0"}, log("store"));
    for (EntryNode &node : entries_) {
        node.proxy = std::make_unique<ChildProcess>("faultproxy", std::vector<std::string>{}, log("proxies"));
    }
    for (WorkerNode &node : workers_) {
        node.proxy = std::make_unique<ChildProcess>("faultproxy", std::vector<std::string>{}, log("proxies"));
    }
    for (int i = 0; i < options_.entries; ++i) {
        startEntry(i);
    }
    for (int i = 0; i < options_.workers; ++i) {
        startBackend(i);
        startAgent(i);
    }
    if (setSettings(0, "adire", std::string(adireSettings), 0).status != 202) {
        throw std::runtime_error("the first settings were refused; see " + folder_.string());
    }
    waitReady();
}

Fleet::~Fleet()
{
    workers_.clear();
    entries_.clear();
    store_.reset();
    // The logs of a failed test are kept to be looked at.
    if (std::uncaught_exceptions() == 0) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

std::string Fleet::log(const std::string &name) const
{
    return (folder_ / (name + ".log")).string();
}

std::string Fleet::writeConfig(const std::string &name, const std::string &yaml) const
{
    const std::filesystem::path path = folder_ / (name + ".yaml");
    std::ofstream(path) << yaml;
    return path.string();
}

std::string Fleet::entryList(int except) const
{
    std::string list;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (static_cast<int>(i) != except) {
            list += (list.empty() ? "" : ", ") + ("\"" + loopback(entries_[i].proxy->value("port")) + "\"");
        }
    }
    return "[" + list + "]";
}

void Fleet::startEntry(int index)
{
    EntryNode &node = entries_.at(static_cast<std::size_t>(index));
    const std::string name = "entry-" + std::to_string(index);
    const std::string config
        = writeConfig(name,
                      "role: entry\nname: " + name + "\nfailureDomain: domain-" + std::to_string(index % 3)
                          + "\nhttp: \"127.0.0.1:0\"\npeer: \"127.0.0.1:0\"\nadvertisedPeer: \"" + loopback(node.proxy->value("port"))
                          + "\"\nentries: " + entryList(index) + "\nstore:\n  etcd: {endpoint: \"" + loopback(store_->value("port")) + "\"}\n");
    node.process = std::make_unique<ChildProcess>("laburnumflowd", std::vector<std::string>{"--config", config}, log(name));
    node.http = node.process->value("http");
    const std::string peer = node.process->value("peer");
    faultEntry(index, R"({"targetPort":)" + peer.substr(peer.find(':') + 1) + "}");
}

void Fleet::startAgent(int index)
{
    WorkerNode &node = workers_.at(static_cast<std::size_t>(index));
    const std::string name = "agent-" + std::to_string(index);
    const std::string config
        = writeConfig(name,
                      "role: agent\nname: " + name + "\nworker: worker-" + std::to_string(index) + "\nfailureDomain: domain-" + std::to_string(index % 3)
                          + "\nlisten: \"127.0.0.1:0\"\nadvertised: \"" + loopback(node.proxy->value("port")) + "\"\nentries: " + entryList(-1)
                          + "\nbackend: \"" + loopback(node.backend->value("port")) + "\"\nslots: " + std::to_string(options_.slots) + "\n");
    node.agent = std::make_unique<ChildProcess>("laburnumflowd", std::vector<std::string>{"--config", config}, log(name));
    const std::string listen = node.agent->value("listen");
    faultAgent(index, R"({"targetPort":)" + listen.substr(listen.find(':') + 1) + "}");
}

void Fleet::startBackend(int index)
{
    WorkerNode &node = workers_.at(static_cast<std::size_t>(index));
    std::vector<std::string> arguments{"--port",
                                       node.backend ? node.backend->value("port") : "0",
                                       "--slots",
                                       std::to_string(options_.slots),
                                       "--record",
                                       (folder_ / ("record-" + std::to_string(index))).string()};
    arguments.insert(arguments.end(), options_.backendArguments.begin(), options_.backendArguments.end());
    node.backend = std::make_unique<ChildProcess>("backendserver", arguments, log("backend-" + std::to_string(index)));
}

ChildProcess &Fleet::entry(int index)
{
    return *entries_.at(static_cast<std::size_t>(index)).process;
}

ChildProcess &Fleet::agent(int index)
{
    return *workers_.at(static_cast<std::size_t>(index)).agent;
}

ChildProcess &Fleet::backend(int index)
{
    return *workers_.at(static_cast<std::size_t>(index)).backend;
}

void Fleet::faultEntry(int index, const std::string &json)
{
    call("POST", loopback(entries_.at(static_cast<std::size_t>(index)).proxy->value("control")), "/control", json);
}

void Fleet::faultAgent(int index, const std::string &json)
{
    call("POST", loopback(workers_.at(static_cast<std::size_t>(index)).proxy->value("control")), "/control", json);
}

void Fleet::faultStore(const std::string &json)
{
    call("POST", loopback(store_->value("port")), "/control", json);
}

void Fleet::faultBackend(int index, const std::string &json)
{
    call("POST", loopback(backend(index).value("port")), "/control", json);
}

std::string Fleet::http(int index) const
{
    return entries_.at(static_cast<std::size_t>(index)).http;
}

HttpResult Fleet::submit(int entryIndex, const std::string &id, const std::string &body, const std::string &team) const
{
    return call("POST", http(entryIndex), "/v1/teams/" + team + "/jobs", body, {"Idempotency-Key: " + id});
}

std::future<HttpResult> Fleet::submitAsync(int entryIndex, const std::string &id, const std::string &body, const std::string &team) const
{
    return callAsync("POST", http(entryIndex), "/v1/teams/" + team + "/jobs", body, {"Idempotency-Key: " + id});
}

HttpResult Fleet::setSettings(int entryIndex, const std::string &team, const std::string &yaml, std::uint64_t expectedRevision) const
{
    return call("PUT",
                http(entryIndex),
                "/v1/settings/teams/" + team,
                yaml,
                {"If-Match: \"" + std::to_string(expectedRevision) + "\"", "Change-Id: " + newId(), "Author: test"});
}

nlohmann::json Fleet::status(int entryIndex) const
{
    return call("GET", http(entryIndex), "/v1/status", {}, {}, 5'000).json();
}

nlohmann::json Fleet::counters(int entryIndex) const
{
    return call("GET", http(entryIndex), "/v1/counters", {}, {}, 5'000).json();
}

bool Fleet::waitServing(int entryIndex, int limitSeconds)
{
    return waitFor(limitSeconds, [&] {
        const HttpResult probe = call("POST", http(entryIndex), "/v1/teams/adire/jobs", job("fold-preview", 1, 1, 2'000), {}, 5'000);
        return probe.status == 200;
    });
}

void Fleet::waitReady()
{
    for (int i = 0; i < options_.entries; ++i) {
        const bool ready = waitFor(generousSeconds, [&] {
            const nlohmann::json now = status(i);
            return acceptingAgents(now) == workers_.size() && mapSettled(now, entries_.size());
        });
        if (!ready || !waitServing(i, generousSeconds)) {
            throw std::runtime_error("entry " + std::to_string(i) + " is not ready; see " + folder_.string());
        }
    }
}

std::string Fleet::idOwnedBy(int entryIndex)
{
    // An id that the entry makes itself falls into one of its own partitions.
    const HttpResult probe = call("POST", http(entryIndex), "/v1/teams/adire/jobs", job("fold-preview", 1, 1), {});
    const std::optional<Base::Uuid> own = Base::parseUuidV7(probe.json().value("id", std::string()));
    if (!own) {
        throw std::runtime_error("no id from entry " + std::to_string(entryIndex));
    }
    const Protocol::Partition partition = Protocol::partitionForSubmission(*own, {}, {});
    while (true) {
        const Base::Uuid candidate = Base::makeUuidV7(Base::wallNow(), random()(), random()());
        if (Protocol::partitionForSubmission(candidate, {}, {}) == partition) {
            return Base::toString(candidate);
        }
    }
}

std::vector<BackendRecord> Fleet::records() const
{
    std::vector<BackendRecord> all;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
        std::ifstream file(folder_ / ("record-" + std::to_string(i)));
        for (std::string line; std::getline(file, line);) {
            std::istringstream words(line);
            BackendRecord record;
            std::string id;
            words >> record.what >> id >> record.kind;
            record.worker = static_cast<int>(i);
            if (parseTaskId(id, record)) {
                all.push_back(std::move(record));
            }
        }
    }
    return all;
}

std::vector<BackendRecord> Fleet::startsOf(const std::string &submission, int index) const
{
    std::vector<BackendRecord> starts;
    for (const BackendRecord &record : records()) {
        if (record.what == "start" && record.submission == submission && record.index == index) {
            starts.push_back(record);
        }
    }
    return starts;
}

const std::filesystem::path &Fleet::folder() const
{
    return folder_;
}

} // namespace SystemTest
