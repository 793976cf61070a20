#pragma once

#include "base/types.h"
#include "protocol/messages.h"
#include "settings/teamrules.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Membership, ownership of partitions and spread of settings, as a part of the entry's reducer.
namespace LaburnumFlow::Cluster {

/// What this entry knows of an agent. Owned by cluster; read by dispatch.
struct AgentInfo {
    Base::ProcessId id;
    Base::Endpoint tcp;
    Base::Endpoint udp;
    std::string failureDomain;
    std::string worker;
    std::vector<std::string> kinds;
    Protocol::AgentState state = Protocol::AgentState::Active;
    Protocol::AgentLoad load;
    Protocol::ClockToken token; ///< the newest received
    Base::MonoTime tokenReceivedAt{}; ///< when it was received
    Base::MonoTime lastEchoedTokenReceivedAt{}; ///< receipt time of the newest token that was echoed
    bool linkUp = false;
    Base::MonoTime linkDownSince{};
    bool fenced = false; ///< leases of all attempts there have ended; AgentFenced was emitted
    bool reachable = false; ///< AgentReachable was emitted, and no AgentSuspected since
    Protocol::ClockToken lastEchoedToken;
    std::vector<std::uint64_t> formerIncarnations; ///< delayed heartbeats of these are ignored
};

/// An agent's process that a later one has replaced.
struct FormerAgent {
    Base::ProcessId id;
    Base::MonoTime leasesExpireAt{}; ///< all its leases have ended from then on
};

/// What this entry knows of another entry.
struct PeerInfo {
    Protocol::EntryRecord record;
    Protocol::Epoch mapEpoch = 0;
    std::uint64_t settingsDigest = 0;
    Protocol::RevisionMap activeRevisions; ///< by its last SettingsAck
    std::int64_t peerSentMonoUs = 0; ///< newest sentMonoUs received, to be echoed
    Base::MonoTime lastHeartbeatAt{}; ///< last heartbeat received
    Base::MonoTime echoedSentAt{}; ///< newest time of the own clock that the peer has echoed
    Base::MonoTime watchedSince{}; ///< silence before this time does not count as missing
    bool leaving = false;
    bool linkUp = false;
    Base::MonoTime linkDownSince{};
    std::vector<std::uint64_t> formerIncarnations; ///< delayed heartbeats of these are ignored
};

/// The highest epoch that an entry's process is known to have adopted.
struct Acknowledgement {
    Protocol::Epoch epoch = 0;
    Base::Endpoint peer;
};

/// Progress of a takeover of partitions by this entry.
struct Takeover {
    Protocol::Epoch epoch = 0;
    std::set<Protocol::Partition> partitions;
    Base::MonoTime mapSeenAt{}; ///< when the map was first seen
    Base::WallTime mapSeenWall{};
    std::optional<Base::MonoTime> acknowledgedAt; ///< last needed acknowledgement
    std::set<std::string> agentsQueried;
    std::set<std::string> agentsReplied;
    std::map<std::string, std::vector<Protocol::AttemptRecord>, std::less<>> recovered; ///< by agent, reported at the end
    bool formerProcessEnded = false; ///< the former owner was on an embedded store, so no authority is left to wait for
};

/// Partitions that this entry no longer owns and whose ledger goes to the new owner.
struct Handover {
    Protocol::Epoch epoch = 0;
    std::vector<Protocol::Partition> partitions;
    Base::MonoTime since{};
    bool sent = false; ///< HandoverDue and PartitionsLost were reported
};

/// What an owner may do with a partition at the moment.
enum class Authority : std::uint8_t {
    NotOwner,
    Suspended, ///< owner, but neither confirmed by the store nor backed by a majority
    Recovering, ///< a takeover or handover is not finished
    Serving,
};

/// For ids older than a takeover: whether an id that no agent reported is known to be fresh.
struct TakeoverRecord {
    Base::WallTime at{};
    bool complete = false; ///< every known agent answered
    Base::WallTime unstartedSince{}; ///< agents that ran older ids may have gone before this entry could ask them
};

/// Everything that cluster owns. Made by initialState() in cluster.h.
struct ClusterState {
    Protocol::EntryRecord self;
    std::vector<Base::Endpoint> seedEndpoints; ///< peer endpoints from the settings
    bool embeddedStore = false;
    Base::MonoTime now{};
    Base::WallTime wall{};
    std::optional<Base::WallTime> startedWall; ///< wall time of the first TimePassed
    std::mt19937_64 random;

    std::optional<Protocol::PartitionMap> map;
    std::int64_t mapModRevision = 0;
    bool mapConfirmed = false; ///< a read or a swap has confirmed the map since the start
    Base::MonoTime confirmedAt{}; ///< start of the newest store call that confirmed the map
    bool storeReadPending = false;
    Base::MonoTime nextStoreReadAt{};
    std::optional<Protocol::PartitionMap> mapWritePending;
    bool mapWriteOutcomeUnknown = false; ///< the answer to mapWritePending was lost; the next read settles it
    std::optional<Base::MonoTime> joinWantedSince;
    bool wasMember = false; ///< a map has listed this incarnation
    std::set<std::string> pendingConfirmedDead; ///< "name/incarnation" that an operator confirmed as dead, not yet in the map

    std::map<std::string, PeerInfo, std::less<>> peers; ///< by name, without self
    std::map<std::string, AgentInfo, std::less<>> agents; ///< by name
    std::set<Base::ProcessId> peerLinks; ///< links that are up, also to processes that peers does not list
    std::set<Base::ProcessId> agentLinks;
    std::map<Base::ProcessId, Acknowledgement> acknowledged;
    std::vector<FormerAgent> formerAgents; ///< not yet fenced
    std::optional<Base::WallTime> agentsKnownSince; ///< this entry was listed in a map, so agents announce themselves to it
    Base::WallTime ledgerLostWall{}; ///< when an agent was last seen replaced by a new process, whose ledger starts empty

    std::optional<Takeover> takeover; ///< of the current map; its partitions may be empty
    std::map<std::string, Handover, std::less<>> handovers; ///< by new owner, until acknowledged
    std::map<std::string, std::vector<Protocol::LedgerRecord>, std::less<>> receivedHandoverRecords; ///< received, by former owner
    std::map<Protocol::Partition, TakeoverRecord> lastTakeovers; ///< newest takeover of each owned partition
    bool leaving = false;
    Base::MonoTime leaveRequestedAt{};
    bool leaveFinished = false; ///< nothing is left to hand over, or the bounded wait for it is over
    bool suspensionLogged = false; ///< as last logged
    Base::MonoTime nextHeartbeatAt{};

    std::map<std::string, Protocol::SettingsSubtree, std::less<>> subtrees; ///< by team, "" is the root
    Settings::RuleSet rules; ///< parsed from subtrees
};

} // namespace LaburnumFlow::Cluster
