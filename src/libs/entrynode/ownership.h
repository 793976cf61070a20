#pragma once

#include "jobs/messages.h"
#include "jobs/records.h"

#include "base/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Decides which entry owns the jobs. The owner record in the platform's store is authoritative and is only replaced by
/// compare-and-swap, so a claim at the wrong time costs an unnecessary takeover but loses no accepted job.
namespace LaburnumFlow::EntryNode {

struct Peer {
    Jobs::EntryRecord record;
    bool linked = false;
    bool dialing = false;
    bool present = false; ///< the last read found its presence key
    std::optional<Base::MonoTime> refusedAt; ///< start of the latest dial that was refused, as no process listened there; no value since it was linked
    std::optional<Base::MonoTime> dialStartedAt; ///< of the dial in progress
    Base::MonoTime dialNotBefore{};
    Base::MonoTime confirmedOwnerAt{}; ///< when this entry sent the latest heartbeat to which the peer replied that it knows no newer owner
};

/// The entries that may confirm the owner in this process, and those that may still confirm former owners.
struct ConfirmerState {
    std::optional<Jobs::ConfirmerRecord> lastRead; ///< as last read from the store while another entry owned the jobs
    std::int64_t lastReadRevision = 0;
    Jobs::ConfirmerRecord claimed; ///< record of the latest claim
    Jobs::ConfirmerRecord recorded; ///< held by the store
    std::int64_t recordedRevision = 0;
    std::optional<Jobs::ConfirmerRecord> pending; ///< a write may have stored it or may still do so
    bool writeInProgress = false;
    Base::MonoTime writeNotBefore{};
    std::vector<Jobs::ConfirmerSet> former; ///< of former owners, as of the claim
    std::set<std::string> acknowledged; ///< entries that know of the latest claim
    bool formerFenced = false; ///< no former owner can be confirmed any more
};

struct OwnershipState {
    Jobs::EntryRecord self;
    Base::Duration presenceTtl{}; ///< TTL of the presence key's lease
    Base::MonoTime now{};

    enum class Mode : std::uint8_t {
        Following,
        Claiming, ///< the compare-and-swap is in progress
        Confirming, ///< the outcome of the compare-and-swap is unknown until the next read
        Loading, ///< the claim was won and the jobs are being read
        Owning,
    };

    Mode mode = Mode::Following;
    bool stopping = false; ///< the process was told to stop and makes no more claims
    std::optional<Jobs::OwnerRecord> owner; ///< owner record as last read or learned from a heartbeat; no value if the key doesn't exist
    std::int64_t ownerRevision = 0;
    std::optional<Base::MonoTime> ownerReadAt; ///< start of the read from which owner is; no value if it is from a heartbeat
    std::uint64_t highestEpoch = 0; ///< highest epoch of an owner that this entry has learned of
    bool ownerRecordCurrent = false; ///< owner and ownerRevision are from the store and a claim may be based on them
    Base::MonoTime ownerSilentSince{}; ///< last heartbeat of the owner, or when this entry began to wait for one
    bool ownerRefusesConnections = false; ///< the owner's address has refused a connection since its last heartbeat
    Base::MonoTime ownerCutOffSince{}; ///< since when the owner reports that it can't reach the store; 0 if it can
    Base::MonoTime lastStoreResponseAt{};
    Base::MonoTime storeReachableSince{}; ///< since when the store has responded without longer gaps
    std::optional<Base::MonoTime> claimableSince; ///< since when there has been a reason to replace the owner
    Jobs::OwnerRecord claim; ///< record of the latest claim
    Base::MonoTime claimedAt{}; ///< when the latest claim was sent
    Base::MonoTime claimNotBefore{}; ///< of the next claim
    Base::MonoTime claimWonAt{}; ///< when this entry learned that the store held the latest claim
    Base::MonoTime claimConfirmedAt{}; ///< latest time at which the store is known to have held the claim
    Base::MonoTime authorityUntil{}; ///< end of this entry's authority as the owner unless it is confirmed again
    bool claimConfirmedByStore = true; ///< as last reported to the owner
    bool authorityGranted = false; ///< as last logged
    ConfirmerState confirmers;
    std::map<std::string, Peer> peers; ///< the other entries, by name

    std::int64_t lease = 0; ///< id of the presence key's lease; 0 if there is none
    bool presenceWritten = false;
    bool presenceCallInProgress = false;
    Base::MonoTime presenceNotBefore{};
    Base::MonoTime renewalStartedAt{}; ///< of the latest renewal of the lease
    bool clusterRead = false; ///< a read of the cluster has succeeded
    bool lastReadSucceeded = false; ///< of the latest read that has ended
    Base::MonoTime lastReadStartedAt{}; ///< of the latest read that has ended
    bool readInProgress = false;
    bool readOutdated = false; ///< the read in progress may show an older owner record than this entry knows of
    Base::MonoTime readStartedAt{}; ///< start of the latest read
    Base::MonoTime readNotBefore{};
    Base::MonoTime heartbeatNotBefore{};
};

// Events.

struct TimePassed {
    Base::MonoTime now{};
};

/// A read of the store's keys under clusterPrefix has ended.
struct ClusterRead {
    struct Content {
        std::optional<Jobs::OwnerRecord> owner;
        std::int64_t ownerRevision = 0;
        std::vector<Jobs::EntryRecord> entries;
        std::optional<Jobs::ConfirmerRecord> confirmers = {};
        std::int64_t confirmersRevision = 0;
    };

    std::optional<Content> content; ///< no value if the read failed
};

struct LeaseGranted {
    std::int64_t lease = 0; ///< 0 if the call failed
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
        Refused, ///< the store refused the request and changed nothing
        Unknown,
    };

    Outcome outcome = Outcome::Unknown;
    std::int64_t revision = 0;
};

struct ConfirmersWritten {
    enum class Outcome : std::uint8_t {
        Written,
        Refused, ///< the store changed nothing
        Unknown, ///< the write may have been executed, or the record has another revision
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
    bool refused = false; ///< connection refused: no process listens at the peer's address
};

struct PeerHeartbeat {
    std::string name;
    Jobs::EntryBeat heartbeat;
};

/// The reply of another entry to a heartbeat of this one.
struct PeerHeartbeatReply {
    std::string name;
    Jobs::EntryBeatReply reply;
};

/// The owner in this process has stepped down.
struct SteppedDown {
};

/// The store has executed a commit of the owner in this process.
struct OwnerCommitted {
    Base::MonoTime sentAt{}; ///< when the commit was sent
};

struct StopRequested {
};

using OwnershipEvent = std::variant<TimePassed,
                                    ClusterRead,
                                    LeaseGranted,
                                    LeaseRenewed,
                                    PresenceWritten,
                                    ClaimEnded,
                                    ConfirmersWritten,
                                    JobsLoaded,
                                    PeerLinked,
                                    PeerUnlinked,
                                    PeerHeartbeat,
                                    PeerHeartbeatReply,
                                    SteppedDown,
                                    OwnerCommitted,
                                    StopRequested>;

// Effects.

struct ReadCluster {
};

struct GrantLease {
    Base::Duration ttl{};
};

struct RenewLease {
    std::int64_t lease = 0;
    Base::Duration timeout{}; ///< the longest that the call may take, so that the next renewal comes before the lease ends
};

struct WritePresence {
    std::int64_t lease = 0;
    Jobs::EntryRecord record;
};

/// Replaces the confirmer record by compare-and-swap.
struct WriteConfirmers {
    std::int64_t expectedRevision = 0; ///< revision that the record must still have; 0 if there must be none
    Jobs::ConfirmerRecord record;
};

/// Replaces the owner record and the confirmer record by compare-and-swap, both or neither.
struct Claim {
    std::int64_t expectedRevision = 0; ///< revision that the owner record must still have; 0 if there must be none
    Jobs::OwnerRecord record;
    WriteConfirmers confirmers;
};

struct LoadJobs {
};

/// All jobs have been read and this entry owns them from now on.
struct BeginOwning {
    Jobs::OwnerRecord record;
    std::int64_t revision = 0;
};

/// Another entry has claimed the jobs. The owner in this process must step down, which is reported back with SteppedDown.
struct OwnershipLost {
    std::uint64_t epoch = 0;
    Base::Endpoint successor = {}; ///< address of the new owner for links; port 0 if it isn't known
};

/// The owner in this process may send orders until the given time.
struct AuthorityRenewed {
    Base::MonoTime until{};
    bool confirmedByStore = true; ///< the store has recently held the claim; otherwise only other entries confirm the owner
    Base::MonoTime storeConfirmedAt{}; ///< latest time at which the store is known to have held the claim
};

/// Most entries can't confirm a former owner any more, so its authority ends within Jobs::ownerAuthorityTimeout.
struct FormerOwnersFenced {
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

/// Sends the reply on the link on which the peer's heartbeat has arrived.
struct SendHeartbeatReply {
    std::string name;
    Jobs::EntryBeatReply reply;
};

/// The set of entry endpoints, including this entry's own, has changed.
struct EntryEndpointsChanged {
    std::vector<Base::Endpoint> entries;
};

struct OwnerChanged {
    std::string name; ///< entry that owns the jobs now; empty if none does
};

/// An event for the decision log.
struct OwnershipDecision {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using OwnershipEffect = std::variant<ReadCluster,
                                     GrantLease,
                                     RenewLease,
                                     WritePresence,
                                     WriteConfirmers,
                                     Claim,
                                     LoadJobs,
                                     BeginOwning,
                                     OwnershipLost,
                                     AuthorityRenewed,
                                     FormerOwnersFenced,
                                     DialPeer,
                                     DisconnectPeer,
                                     SendHeartbeat,
                                     SendHeartbeatReply,
                                     EntryEndpointsChanged,
                                     OwnerChanged,
                                     OwnershipDecision>;
using OwnershipEffects = std::vector<OwnershipEffect>;

OwnershipState makeOwnership(Jobs::EntryRecord self, Base::Duration presenceTtl, Base::MonoTime now);

/// Applies an event to the state and returns the effects to execute. Time advances only with TimePassed.
OwnershipEffects reduce(OwnershipState &state, const OwnershipEvent &event);

/// Returns when the next TimePassed is due, or no value if none is needed.
std::optional<Base::MonoTime> nextDue(const OwnershipState &state);

/// Returns whether another entry is present and linked and so could take over the jobs.
bool hasSuccessor(const OwnershipState &state);

/// Returns whether the store has responded to this entry within storeSilenceTimeout.
bool storeReachable(const OwnershipState &state);

} // namespace LaburnumFlow::EntryNode
