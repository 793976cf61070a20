#pragma once

#include "../system/childprocess.h"
#include "../system/httpcall.h"

#include "standins/platformsite/platformstandin.h"
#include "standins/platformsite/workerstandin.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace NodeTest {

/// The sum of all samples of the metric whose labels contain the text.
double metricSum(const std::string &metrics, const std::string &name, const std::string &label = {});

/// The real programs around stand-ins of the platform's store and of a worker.
class Site
{
public:
    explicit Site(int entries);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    void startEntry(int index);
    void startAgent();

    /// Waits until the entry is ready and the worker is known.
    void waitUntilReady(int index);

    /// Lets the worker announce itself to its agent once. Returns whether the agent took it.
    bool sendWorkerHeartbeat();

    /// The index of the entry that owns the jobs by its own metrics; nothing if there is none.
    std::optional<int> ownerIndex() const;
    int waitForOwner() const;

    SystemTest::ChildProcess &entry(int index);
    SystemTest::HttpResult submit(int index, const std::string &id, int tasks, int workMs, bool bestEffort, long timeoutMs = 60'000) const;
    std::string jobState(int index, const std::string &id) const;
    std::string entryMetrics(int index) const;
    nlohmann::json entryStatus(int index) const;
    std::string agentMetrics() const;

    PlatformSite::PlatformStandIn platform;
    PlatformSite::WorkerStandIn worker;
    std::unique_ptr<SystemTest::ChildProcess> agent;

private:
    struct Entry {
        std::string callers;
        std::string ready;
        std::string peers;
        std::string metrics;
        std::unique_ptr<SystemTest::ChildProcess> process;
    };

    std::unique_ptr<SystemTest::ChildProcess> startProcess(const std::string &name, const std::string &settings) const;

    std::string folder_;
    std::vector<Entry> entries_;
    std::string agentAddress_;
    std::string agentPeers_;
    std::string agentMetrics_;
};

} // namespace NodeTest
