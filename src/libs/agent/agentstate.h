#pragma once

#include "agentevents.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace LaburnumFlow::Agent {

/// What the ledger keeps of an attempt until its retention ends.
struct RecordedAttempt {
    Protocol::AttemptState state = Protocol::AttemptState::Queued;
    Protocol::AgentReason reason = Protocol::AgentReason::None;
    bool idempotent = false;
    bool resultDropped = false; ///< to bound memory
    Protocol::Partition partition = 0;
    std::uint32_t runMs = 0;
    std::uint64_t bodyDigest = 0;
    std::string team;
    std::string kind;
    std::string result;
};

/// Further data of an attempt that is queued or running.
struct LiveAttempt {
    std::string payload; ///< empty once started
    bool urgent = false;
    bool isLong = false; ///< declared so, or demoted
    bool demoted = false;
    bool throttled = false;
    bool checkpointRequested = false;
    std::uint32_t expectedMs = 0;
    std::uint32_t limitMs = 0;
    std::uint64_t settingsRevision = 0;
    std::uint64_t rootRevision = 0;
    Base::MonoTime queuedAt{};
    Base::MonoTime deadline{};
    Base::MonoTime startedAt{};
    Base::MonoTime startLeaseEnd{}; ///< by the token of its start; void after a change of owner
    Base::MonoTime grantedLeaseEnd{}; ///< as granted to the backend server
    Base::MonoTime renewedAt{};
    Protocol::AgentReason stopReason = Protocol::AgentReason::None; ///< set once a stop was requested
    bool connectionLost = false; ///< the connection broke; reported once the lease has ended
};

/// Position in the queue; the lowest is served first. Attempts of one rank are told apart by their keys.
struct QueuePosition {
    Base::MonoTime rank{};
    Base::AttemptKey key;

    bool operator<(const QueuePosition &other) const
    {
        return std::tie(rank, key) < std::tie(other.rank, other.key);
    }
};

struct Expiry {
    Base::MonoTime at{};
    Base::AttemptKey key;
};

/// Everything known of attempts, by key.
struct Ledger {
    std::unordered_map<Base::AttemptKey, RecordedAttempt, Base::AttemptKeyHash> records;
    std::unordered_map<Base::AttemptKey, LiveAttempt, Base::AttemptKeyHash> live;
    std::unordered_map<Base::TaskKey, Base::AttemptKey, Base::TaskKeyHash> liveByTask;
    std::deque<Expiry> endedExpiries; ///< in the order of expiry
    std::deque<Expiry> refusedExpiries; ///< refused on arrival, in the order of expiry
    std::deque<Base::AttemptKey> resultOrder; ///< oldest first; may name attempts that have expired
    std::size_t resultBytes = 0;
    std::set<Base::AttemptKey> unreported; ///< ended while the owner's link was down
};

/// The highest epoch known of a partition and the entry that showed it.
struct PartitionOwner {
    Protocol::Epoch epoch = 0;
    std::string entry;
};

struct EntryState {
    std::uint64_t incarnation = 0; ///< of the link that is up
    bool linked = false;
    Base::MonoTime leaseEnd{}; ///< newest echoed token plus leaseDuration
};

/// Owned by the agent's reducer thread. Made by initialState() in agent.h.
struct AgentState {
    Base::ProcessId self;
    Base::Endpoint tcp;
    Base::Endpoint udp;
    std::string failureDomain;
    std::string worker;
    std::uint16_t configuredSlots = 0;
    std::uint16_t reservedShortSlots = 0;

    Base::MonoTime now{};

    Ledger ledger;
    std::set<QueuePosition> queue;
    std::uint64_t queuedExpectedMs = 0;
    std::set<Base::AttemptKey> running;
    double logSpeedEstimate = 0.0; ///< natural logarithm of the learned speed

    std::array<PartitionOwner, Protocol::partitionCount> partitionOwners;
    Protocol::RevisionMap highestRevisions; ///< highest seen; the empty name is the root
    std::map<std::string, EntryState> entries;

    std::vector<Base::Endpoint> seedEndpoints;
    std::vector<Base::Endpoint> mapEndpoints; ///< by the EntryHello of the highest epoch
    Protocol::Epoch mapEpoch = 0;
    Base::MonoTime nextHeartbeatAt{};
    Protocol::AgentState announcedState = Protocol::AgentState::Draining;

    BackendState backendState = BackendState::Unreachable;
    std::uint16_t backendSlots = 0;
    std::vector<std::string> kinds;
    std::uint32_t statusFailures = 0;
    bool statusPending = false;
    Base::MonoTime statusRequestedAt{};
    Base::MonoTime nextStatusAt{};

    bool draining = false;
    Base::MonoTime drainingSince{};
    bool exitSent = false;
};

} // namespace LaburnumFlow::Agent
