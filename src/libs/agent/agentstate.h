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

/// Record of an attempt in the ledger, kept until its retention ends.
struct RecordedAttempt {
    Protocol::AttemptState state = Protocol::AttemptState::Queued;
    Protocol::AgentReason reason = Protocol::AgentReason::None;
    bool idempotent = false;
    bool resultDropped = false; ///< Whether the result of a success was dropped to limit memory
    Protocol::Partition partition = 0;
    std::uint32_t runMs = 0; ///< Run time in milliseconds. 0 before the end.
    std::uint64_t bodyDigest = 0;
    std::string team;
    std::string kind;
    std::string result;
};

/// Data of an attempt while it is queued or running.
struct LiveAttempt {
    std::string payload; ///< Empty once started
    bool urgent = false;
    bool isLong = false; ///< Expected to be long when it was queued, or demoted since
    bool demoted = false; ///< Ran much longer than a short task should
    bool throttled = false;
    bool checkpointRequested = false;
    std::uint32_t expectedMs = 0;
    std::uint32_t limitMs = 0; ///< Maximum run time in milliseconds. 0 means unlimited.
    std::uint64_t settingsRevision = 0;
    std::uint64_t rootRevision = 0;
    Base::MonoTime queuedAt{};
    Base::MonoTime deadline{}; ///< Latest time for the start
    Base::MonoTime startedAt{};
    Base::MonoTime startLeaseEnd{}; ///< From the token of the start request. Zero after a change of owner.
    Base::MonoTime grantedLeaseEnd{}; ///< End of the lease that the backend server was told last
    Base::MonoTime renewedAt{};
    Protocol::AgentReason stopReason = Protocol::AgentReason::None; ///< Set when a stop is requested
    bool connectionLost = false; ///< The connection of the start call broke. Reported once the lease has ended.
};

/// Position in the queue. The lowest is served first; the key orders attempts of equal rank.
struct QueuePosition {
    Base::MonoTime rank{}; ///< Time of arrival, adjusted for long and urgent tasks
    Base::AttemptKey key;

    bool operator<(const QueuePosition &other) const
    {
        return std::tie(rank, key) < std::tie(other.rank, other.key);
    }
};

/// Time at which the record of an attempt may be erased.
struct Expiry {
    Base::MonoTime at{};
    Base::AttemptKey key;
};

/// All attempts known to the agent. Each live attempt has an element in both records and live.
struct Ledger {
    std::unordered_map<Base::AttemptKey, RecordedAttempt, Base::AttemptKeyHash> records;
    std::unordered_map<Base::AttemptKey, LiveAttempt, Base::AttemptKeyHash> live;
    std::unordered_map<Base::TaskKey, Base::AttemptKey, Base::TaskKeyHash> liveByTask;
    std::deque<Expiry> endedExpiries; ///< Ordered by expiry
    std::deque<Expiry> refusedExpiries; ///< Attempts refused on arrival, ordered by expiry
    std::deque<Base::AttemptKey> resultOrder; ///< Attempts with a result, oldest first. May hold attempts whose record has expired.
    std::size_t resultBytes = 0; ///< Total size of the results in records
    std::set<Base::AttemptKey> unreported; ///< Attempts that ended while the owner's link was down
};

/// Highest epoch seen for a partition and the entry that used it.
struct PartitionOwner {
    Protocol::Epoch epoch = 0;
    std::string entry;
    /// Former owners that may still have authority, as the owner has only asked for their attempts. Empty once the owner serves.
    std::set<std::string> unfencedEntries{};
};

/// Link and lease of an entry process.
struct EntryState {
    std::uint64_t incarnation = 0; ///< Incarnation of the process at the other end of the link
    bool linked = false;
    Base::MonoTime leaseEnd{}; ///< Time of the newest token echoed by the entry plus Protocol::leaseDuration
};

/// State of the agent's reducer, used on the reducer thread only. Created by initialState().
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
    std::uint64_t queuedExpectedMs = 0; ///< Total expected run time of the queued attempts, in milliseconds
    std::set<Base::AttemptKey> running;
    double logSpeedEstimate = 0.0; ///< Natural logarithm of the smoothed ratio of expected to actual run time

    std::array<PartitionOwner, Protocol::partitionCount> partitionOwners;
    Protocol::RevisionMap highestRevisions; ///< Highest settings revision seen for each team. The empty name stands for the root settings.
    std::map<std::string, EntryState> entries; ///< By the name of the entry

    std::vector<Base::Endpoint> seedEndpoints;
    std::vector<Base::Endpoint> mapEndpoints; ///< Endpoints of entries, from the EntryHello with the highest map epoch
    Protocol::Epoch mapEpoch = 0;
    Base::MonoTime nextHeartbeatAt{};
    Protocol::AgentState announcedState = Protocol::AgentState::Draining;

    BackendState backendState = BackendState::Unreachable;
    std::uint16_t backendSlots = 0; ///< As reported by the backend server. 0 if not reported.
    std::vector<std::string> kinds; ///< Kinds that the backend server runs. Empty means all.
    std::uint32_t statusFailures = 0; ///< Consecutive failed status calls
    bool statusPending = false;
    Base::MonoTime statusRequestedAt{};
    Base::MonoTime nextStatusAt{};

    bool draining = false;
    Base::MonoTime drainingSince{};
    bool exitSent = false;
};

} // namespace LaburnumFlow::Agent
