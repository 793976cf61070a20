#pragma once

#include "../system/childprocess.h"
#include "../system/httpcall.h"

#include "standins/platformsite/platformstandin.h"
#include "standins/platformsite/workerstandin.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace NodeTest {

/// Returns the sum of all samples of the metric whose line contains label. metrics is in the text format of Prometheus.
double metricSum(const std::string &metrics, const std::string &name, const std::string &label = {});

/// Runs entries and an agent as real processes, with stand-ins for the platform's store and a worker. A second agent with a worker of its own
/// can be added.
class Site
{
public:
    /// Starts the agent and this number of entries. If storeBytesPerSecond isn't 0, it limits each entry's link to the store.
    explicit Site(int entries, std::size_t storeBytesPerSecond = 0);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /// Writes rules of this version with the route of the tests and so many others.
    void putRules(int version, int otherRoutes);
    /// Returns the version of the rules that the entry applies; 0 if it has none.
    int rulesVersion(int index) const;

    void startEntry(int index);
    void startAgent();
    /// Starts the second agent and waits until it has accepted a heartbeat of its worker.
    void startSecondAgent();

    /// Waits until the entry reports that it is ready and the agent has accepted a heartbeat of the worker.
    void waitUntilReady(int index);

    /// Sends one heartbeat of the worker to its agent. Returns whether the agent accepted it.
    bool sendWorkerHeartbeat();

    /// Sets whether the store rejects all calls of this entry, while it serves the other processes.
    void turnAway(int index, bool away);
    /// Sets whether the store rejects all calls of the first agent.
    void turnAgentAway(bool away);
    /// Returns whether the store lists the entry.
    bool listsEntry(int index) const;
    /// Returns the runs of both workers.
    std::vector<PlatformSite::WorkerStandIn::Run> allRuns();

    /// Returns the index of the entry whose own metrics say that it owns the jobs; std::nullopt if there is none.
    std::optional<int> ownerIndex() const;
    /// Waits until an entry owns the jobs and returns its index.
    int waitForOwner() const;

    SystemTest::ChildProcess &entry(int index);
    /// Submits a job to the entry and waits for its response. workMs is the run time of each task.
    SystemTest::HttpResult submit(int index, const std::string &id, int tasks, int workMs, bool bestEffort, long timeoutMs = 60'000) const;
    /// The same to the queue of this name.
    SystemTest::HttpResult
    submitTo(const std::string &queue, int index, const std::string &id, int tasks, int workMs, bool bestEffort, long timeoutMs = 60'000) const;
    /// Cancels the job at the entry and returns its response.
    SystemTest::HttpResult cancel(int index, const std::string &id) const;
    /// Returns the state of the job in the entry's response; empty if it has none.
    std::string jobState(int index, const std::string &id) const;
    std::string entryMetrics(int index) const;
    /// Returns the port at which the entry accepts requests of callers.
    std::uint16_t callersPort(int index) const;
    /// Returns the port at which the entry accepts links.
    std::uint16_t peersPort(int index) const;
    nlohmann::json entryStatus(int index) const;
    std::string agentMetrics() const;

    PlatformSite::PlatformStandIn platform;
    PlatformSite::WorkerStandIn worker;
    PlatformSite::WorkerStandIn secondWorker{{.id = "worker-2", .rack = "r2"}};
    std::unique_ptr<SystemTest::ChildProcess> agent;
    std::unique_ptr<SystemTest::ChildProcess> secondAgent;

private:
    /// The addresses of an entry, each "ADDRESS:PORT", its access to the store and its process.
    struct Entry {
        std::string callers;
        std::string ready;
        std::string peers;
        std::string metrics;
        std::unique_ptr<PlatformSite::StoreAddress> store;
        std::unique_ptr<SystemTest::ChildProcess> storeLink; ///< proxy in front of store that limits the bandwidth; null for none
        std::unique_ptr<SystemTest::ChildProcess> process;
    };

    /// The addresses of an agent, each "ADDRESS:PORT", and its access to the store.
    struct Agent {
        std::string registration;
        std::string metrics;
        std::string peers;
        std::unique_ptr<PlatformSite::StoreAddress> store;
    };

    void limitStoreLink(Entry &entry, std::size_t bytesPerSecond) const;
    std::unique_ptr<SystemTest::ChildProcess> startAgentProcess(const std::string &name, const Agent &addresses, const std::string &workerEndpoint) const;
    /// Starts laburnumnode with a settings file of its own.
    std::unique_ptr<SystemTest::ChildProcess> startProcess(const std::string &name, const std::string &settings, const std::string &store) const;

    std::string folder_;
    std::vector<Entry> entries_;
    Agent agentAddresses_;
    Agent secondAgentAddresses_;
};

} // namespace NodeTest
