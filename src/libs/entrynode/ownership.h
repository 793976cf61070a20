#pragma once

#include "jobs/messages.h"
#include "jobs/records.h"

#include "base/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Which entry owns the jobs. The owner record in the platform's store decides; it is replaced by compare-and-swap, so
/// a claim at the wrong time costs a takeover and never a promise.
namespace LaburnumFlow::EntryNode {

struct Peer {
    Jobs::EntryRecord record;
    bool linked = false;
    bool dialing = false;
    bool present = false; ///< its presence key was there at the last read
    Base::MonoTime dialNotBefore{};
};

struct OwnershipState {
    Jobs::EntryRecord self;
    Base::Duration presenceTtl{}; ///< of the lease
    Base::MonoTime now{};

    enum class Mode : std::uint8_t {
        Following,
        Claiming, ///< the compare-and-swap is in progress
        Confirming, ///< its outcome is unknown; the next read tells
        Loading, ///< the jobs are being read
        Owning,
    };

    Mode mode = Mode::Following;
    bool stopping = false; ///< the process is to stop; it claims nothing any more
    std::optional<Jobs::OwnerRecord> owner; ///< as last read; nothing if the key does not exist
    std::int64_t ownerRevision = 0;
    bool ownerRecordCurrent = false;
    Base::MonoTime ownerSilentSince{}; ///< last sign of life of the owner, or when its silence began to count
    bool ownerRefusesConnections = false; ///< its address refuses connections since the last sign of life
    Base::MonoTime ownerCutOffSince{}; ///< since when the owner has said that it cannot reach the store; 0 if it can
    Base::MonoTime lastStoreResponseAt{};
    Base::MonoTime storeReachableSince{}; ///< since when the store has answered without a gap
    std::optional<Base::MonoTime> claimableSince; ///< since when there is a reason to replace the owner
    Jobs::OwnerRecord claim;
    std::map<std::string, Peer> peers; ///< without this entry

    std::int64_t lease = 0; ///< of the presence key; 0 if there is none
    bool presenceWritten = false;
    bool presenceCallInProgress = false;
    Base::MonoTime presenceNotBefore{};
    bool readInProgress = false;
    Base::MonoTime readNotBefore{};
    Base::MonoTime heartbeatNotBefore{};
};

// Events.

struct TimePassed {
    Base::MonoTime now{};
};

/// What the store holds under clusterPrefix. Nothing if it could not be read.
struct ClusterRead {
    struct Content {
        std::optional<Jobs::OwnerRecord> owner;
        std::int64_t ownerRevision = 0;
        std::vector<Jobs::EntryRecord> entries;
    };

    std::optional<Content> content;
};

struct LeaseGranted {
    std::int64_t lease = 0; ///< 0 if the store did not answer
};

struct LeaseRenewed {
    enum class Outcome : std::uint8_t {
        Renewed,
        Expired,
        Failed,
    };

    Outcome outcome = Outcome::Failed;
};

struct PresenceWritten {
    enum class Outcome : std::uint8_t {
        Written,
        LeaseExpired,
        Failed,
    };

    Outcome outcome = Outcome::Failed;
};

struct ClaimEnded {
    enum class Outcome : std::uint8_t {
        Won,
        Lost,
        Refused, ///< nothing was done
        Unknown,
    };

    Outcome outcome = Outcome::Unknown;
    std::int64_t revision = 0;
};

struct JobsLoaded {
    bool complete = false;
};

struct PeerLinked {
    std::string name;
};

struct PeerUnlinked {
    std::string name;
    bool refused = false; ///< nothing listens at its address: the process is not there
};

struct PeerHeartbeat {
    std::string name;
    Jobs::EntryBeat heartbeat;
};

/// The owner's reducer has stepped down.
struct SteppedDown {
};

/// The store has answered the owner.
struct OwnerStoreResponded {
};

struct StopRequested {
};

using OwnershipEvent = std::variant<TimePassed,
                                    ClusterRead,
                                    LeaseGranted,
                                    LeaseRenewed,
                                    PresenceWritten,
                                    ClaimEnded,
                                    JobsLoaded,
                                    PeerLinked,
                                    PeerUnlinked,
                                    PeerHeartbeat,
                                    SteppedDown,
                                    OwnerStoreResponded,
                                    StopRequested>;

// Effects.

struct ReadCluster {
};

struct GrantLease {
    Base::Duration ttl{};
};

struct RenewLease {
    std::int64_t lease = 0;
};

struct WritePresence {
    std::int64_t lease = 0;
    Jobs::EntryRecord record;
};

/// Replaces the owner record if it still has the revision (0: if there is none).
struct Claim {
    std::int64_t expectedRevision = 0;
    Jobs::OwnerRecord record;
};

struct LoadJobs {
};

/// The jobs are read and this entry owns them.
struct BeginOwning {
    Jobs::OwnerRecord record;
    std::int64_t revision = 0;
};

/// Another entry has claimed the jobs meanwhile; SteppedDown is expected.
struct OwnershipLost {
    std::uint64_t epoch = 0;
};

struct DialPeer {
    std::string name;
    Base::Endpoint endpoint;
};

struct DisconnectPeer {
    std::string name;
};

struct SendHeartbeat {
    std::string name;
    Jobs::EntryBeat heartbeat;
};

/// The entries' addresses, this one's included, have changed.
struct EntryEndpointsChanged {
    std::vector<Base::Endpoint> entries;
};

/// Another entry owns the jobs, or none does.
struct OwnerChanged {
    std::string name; ///< empty: none
};

struct OwnershipDecision {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using OwnershipEffect = std::variant<ReadCluster,
                                     GrantLease,
                                     RenewLease,
                                     WritePresence,
                                     Claim,
                                     LoadJobs,
                                     BeginOwning,
                                     OwnershipLost,
                                     DialPeer,
                                     DisconnectPeer,
                                     SendHeartbeat,
                                     EntryEndpointsChanged,
                                     OwnerChanged,
                                     OwnershipDecision>;
using OwnershipEffects = std::vector<OwnershipEffect>;

OwnershipState makeOwnership(Jobs::EntryRecord self, Base::Duration presenceTtl, Base::MonoTime now);

OwnershipEffects reduce(OwnershipState &state, const OwnershipEvent &event);

/// When TimePassed is needed next.
std::optional<Base::MonoTime> nextDue(const OwnershipState &state);

/// Whether another entry could take the jobs over.
bool hasSuccessor(const OwnershipState &state);

/// Whether the store has answered this entry lately.
bool storeReachable(const OwnershipState &state);

} // namespace LaburnumFlow::EntryNode
