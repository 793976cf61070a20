#pragma once

#include "cluster/cluster.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Simulates entries with simple agents, a store and a network that fail by a seeded schedule.
namespace LaburnumFlow::ClusterTest {

using Microseconds = std::int64_t;
constexpr Microseconds millisecond = 1000;
constexpr Microseconds second = 1'000'000;
constexpr Protocol::Partition watchedPartitions = 16; ///< all submissions belong to the first partitions up to this one

/// A submission of one task that must not be started twice.
struct Submission {
    std::uint64_t id = 0;
    Protocol::Partition partition = 0;
    Base::WallTime time{}; ///< time in its UUIDv7
};

/// A process of an entry. A restarted or replaced entry is another process.
struct EntryProcess {
    Cluster::ClusterState state;
    bool alive = true;
    bool neverReturns = false; ///< an operator may confirm it as dead
    Microseconds suspendedUntil = 0;
    Microseconds clockOffset = 0;
    double clockRate = 1.0;
    Microseconds wallOffset = 0;
    std::vector<Events::Event> inbox; ///< events that arrived while the process was suspended
    std::map<Protocol::Partition, std::set<std::uint64_t>> ledger; ///< started submissions by partition; stands for dispatch's ledger
};

struct AgentProcess {
    Base::ProcessId id;
    std::uint16_t port = 0;
    bool alive = true;
    Microseconds suspendedUntil = 0;
    Microseconds clockOffset = 0;
    std::array<Protocol::Epoch, Protocol::partitionCount> epochs{};
    std::map<std::uint64_t, Protocol::Partition> ledger;
};

struct StartMessage {
    Protocol::Epoch epoch = 0;
    Protocol::ClockToken token;
    Submission submission;
};

/// Converts between a submission's number and the id that messages carry.
Base::Uuid uuidFromSubmissionId(std::uint64_t id);
std::uint64_t submissionIdFromUuid(const Base::Uuid &uuid);

/// A partition of the network into two sides. The store is on side 0.
struct SplitNetwork {
    enum class Side : std::uint8_t {
        Store,
        Other,
        Both, ///< reaches both sides
    };

    Microseconds until = 0;
    std::map<std::string, Side> sides; ///< by name of entry or agent; the store's side if it isn't listed
};

/// Which partitions a simulation plays in addition to short faults of single links.
enum class Partitions : std::uint8_t {
    None,
    Entries, ///< entries on both sides; agents reach both
    EntriesAndAgents, ///< entries and agents on both sides
};

class Simulation
{
public:
    Simulation(std::uint64_t seed, std::size_t entries, std::size_t agents, Partitions partitions = Partitions::None);

    /// Runs with faults for faultyPeriod, then without faults until all partitions are served again. It is a violation if that takes longer than
    /// recoveryTimeout.
    void run(Microseconds faultyPeriod, Microseconds recoveryTimeout);

    /// Returns the first violation, or an empty string.
    const std::string &violation() const
    {
        return violation_;
    }

    std::size_t started() const
    {
        return startedIds_.size();
    }

    std::size_t takeovers() const
    {
        return takeovers_;
    }

    std::size_t handovers() const
    {
        return handovers_;
    }

private:
    using Node = std::pair<bool, std::size_t>; ///< whether it is an agent, and its index

    struct Link {
        Microseconds blockedSince = -1;
        std::array<Microseconds, 2> lastDelivery{}; ///< by direction, so that messages arrive in order
    };

    bool chance(double probability);
    Microseconds between(Microseconds low, Microseconds high);
    Base::MonoTime clock(const EntryProcess &entry) const;
    void recordViolation(const std::string &what);

    void step();
    void passTime(std::size_t entry);
    void deliver(std::size_t entry, const Events::Event &event);
    void handle(std::size_t entry, const Events::Event &event);
    void performEffect(std::size_t entry, const Events::Effect &effect);
    void applyChange(std::size_t entry, const Cluster::Change &change);
    void at(Microseconds delay, std::function<void()> action);

    bool isBlocked(Node from, Node to) const;
    SplitNetwork::Side sideOf(Node node) const;
    bool isCutOffFromStore(std::size_t entry) const;
    Microseconds networkDelay();
    void sendDatagram(Node from, const Base::Endpoint &to, const Protocol::Datagram &datagram);
    void sendOnLink(Node from, Node to, std::function<void()> action, Microseconds extraDelay = 0);
    void connect(Node entry, Node other);
    void linkChanged(Node entry, Node other, bool up);
    void checkLinks();
    bool isAlive(Node node) const;
    std::optional<std::size_t> entryNamed(const std::string &name) const;
    std::optional<std::size_t> agentNamed(const std::string &name) const;

    void readStore(std::size_t entry);
    void writeStore(std::size_t entry, const Events::WriteMap &write);
    void agentHeartbeats();
    void agentRequest(std::size_t entry, std::size_t agent, const Protocol::AgentRequest &request);
    void agentStart(std::size_t agent, const StartMessage &start);
    Protocol::ClockToken currentToken(const AgentProcess &agent) const;

    void submit();
    void tryStart(std::size_t entry, const Submission &submission);
    void checkServing();
    bool allServed();
    std::string summary() const;

    std::size_t addEntry(const std::string &name, std::uint16_t port);
    std::size_t addAgent(const std::string &name, std::uint16_t port);
    void injectFault();
    void splitNetwork();
    void entryFault();
    void agentFault();
    void confirmDeadEntries();

    std::mt19937_64 random_;
    std::vector<EntryProcess> entries_;
    std::vector<AgentProcess> agents_;
    std::vector<Base::Endpoint> seedEndpoints_;
    std::uint64_t nextIncarnation_ = 100;
    std::uint64_t nextSubmission_ = 1;
    std::uint16_t nextPort_ = 1000;
    Microseconds now_ = 0;
    Partitions partitions_ = Partitions::None;
    SplitNetwork split_;
    bool faultsEnabled_ = true;
    double loss_ = 0;
    std::multimap<Microseconds, std::function<void()>> queue_;
    std::map<std::pair<Node, Node>, Microseconds> blockedUntil_;
    std::map<std::pair<Node, Node>, Link> links_; ///< the first end is an entry; of two entries the one with the lower index

    std::optional<Protocol::PartitionMap> stored_;
    std::int64_t storedRevision_ = 0;
    Microseconds storeDownUntil_ = 0;

    std::vector<Submission> submissions_;
    std::set<std::uint64_t> startedIds_; ///< submissions that an agent has started
    std::map<Protocol::Partition, std::pair<Protocol::Epoch, std::set<std::uint64_t>>> gained_; ///< epoch and ledger at the newest gain
    std::size_t takeovers_ = 0;
    std::size_t handovers_ = 0;
    std::string violation_;
};

} // namespace LaburnumFlow::ClusterTest
