#pragma once

#include "childprocess.h"
#include "httpcall.h"

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace SystemTest {

struct FleetOptions {
    int entries = 2;
    int workers = 3;
    std::vector<std::string> backendArguments = {}; ///< beside slots, port and record
    int slots = 8;
};

/// A start, end or stop as a backend server recorded it.
struct BackendRecord {
    std::string what; ///< "start", "end" or "stop"
    std::string submission;
    int index = 0;
    int attempt = 0;
    std::string kind; ///< of a start
    int worker = 0;
};

/// Real processes on loopback: a platform store, entries and workers (agent and backend server), where each entry and
/// each agent stands behind a fault proxy of its own. Everything ends with the object.
class Fleet
{
public:
    explicit Fleet(const FleetOptions &options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    // ---- processes; indexes from 0 ----

    void startEntry(int index);
    void startAgent(int index);
    void startBackend(int index);
    ChildProcess &entry(int index);
    ChildProcess &agent(int index);
    ChildProcess &backend(int index);

    // ---- faults ----

    void faultEntry(int index, const std::string &json);
    void faultAgent(int index, const std::string &json);
    void faultStore(const std::string &json);
    void faultBackend(int index, const std::string &json);

    // ---- calls ----

    /// The HTTP address of an entry.
    std::string http(int index) const;
    HttpResult submit(int entryIndex, const std::string &id, const std::string &body, const std::string &team = "adire") const;
    std::future<HttpResult> submitAsync(int entryIndex, const std::string &id, const std::string &body, const std::string &team = "adire") const;
    HttpResult setSettings(int entryIndex, const std::string &team, const std::string &yaml, std::uint64_t expectedRevision) const;
    nlohmann::json status(int entryIndex) const;
    nlohmann::json counters(int entryIndex) const;

    /// Waits until every running entry serves jobs and knows all running agents. Throws at the limit.
    void waitReady();

    /// Waits until the entry runs jobs of its own.
    bool waitServing(int entryIndex, int limitSeconds);

    /// An id for which the entry is the owner by its own status of partitions.
    std::string idOwnedBy(int entryIndex);

    /// What all backend servers have recorded until now.
    std::vector<BackendRecord> records() const;

    /// Starts of a submission's task.
    std::vector<BackendRecord> startsOf(const std::string &submission, int index = 0) const;

    const std::filesystem::path &folder() const;

private:
    struct EntryNode {
        std::unique_ptr<ChildProcess> proxy;
        std::unique_ptr<ChildProcess> process;
        std::string http;
    };

    struct WorkerNode {
        std::unique_ptr<ChildProcess> proxy;
        std::unique_ptr<ChildProcess> agent;
        std::unique_ptr<ChildProcess> backend;
    };

    std::string log(const std::string &name) const;
    std::string writeConfig(const std::string &name, const std::string &yaml) const;
    std::string entryList(int except) const;

    FleetOptions options_;
    std::filesystem::path folder_;
    std::unique_ptr<ChildProcess> store_;
    std::vector<EntryNode> entries_;
    std::vector<WorkerNode> workers_;
};

/// A fresh UUIDv7, with random bits from the system.
std::string newId();

/// The team settings that the tests start from: idempotent fold kinds, and "glass-order", which must not be repeated.
extern const std::string_view adireSettings;

/// A job body of count tasks of the kind, each running for runMs.
std::string job(const std::string &kind, int count, int runMs, int deadlineMs = 30'000, const std::string &orderingKey = {});

} // namespace SystemTest
