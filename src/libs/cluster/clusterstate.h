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

/// Membership, ownership of partitions and distribution of settings among entries, as a part of the entry's reducer.
namespace LaburnumFlow::Cluster {

/// What this entry knows about an agent. Changed by cluster only; dispatch reads it.
struct AgentInfo {
    Base::ProcessId id;
    Base::Endpoint tcp;
    Base::Endpoint udp;
    std::string failureDomain;
    std::string worker;
    std::vector<std::string> kinds;
    Protocol::AgentState state = Protocol::AgentState::Active;
    Protocol::AgentLoad load;
    Protocol::ClockToken token; ///< newest token received
    Base::MonoTime tokenReceivedAt{}; ///< when token was received
    Base::MonoTime lastEchoedTokenReceivedAt{}; ///< when lastEchoedToken was received
    bool linkUp = false;
    Base::MonoTime linkDownSince{};
    bool fenced = false; ///< the leases of all attempts there have expired and AgentFenced was reported
    bool reachable = false; ///< AgentReachable was reported, and no AgentSuspected since
    Protocol::ClockToken lastEchoedToken;
    std::vector<std::uint64_t> formerIncarnations; ///< incarnations whose delayed heartbeats are ignored
};

/// A process of an agent that a later one has replaced.
struct FormerAgent {
    Base::ProcessId id;
    Base::MonoTime leasesExpireAt{}; ///< when the last of its leases expires
};

/// What this entry knows about another entry.
struct PeerInfo {
    Protocol::EntryRecord record;
    Protocol::Epoch mapEpoch = 0;
    std::uint64_t settingsDigest = 0;
    Protocol::RevisionMap activeRevisions; ///< highest revisions that the peer is known to apply
    std::int64_t peerSentMonoUs = 0; ///< newest EntryHeartbeat::sentMonoUs received from the peer, to be echoed
    Base::MonoTime lastHeartbeatAt{}; ///< when the last heartbeat was received; zero if none was
    Base::MonoTime echoedSentAt{}; ///< when this entry sent the newest heartbeat that the peer has echoed; zero if none
    Base::MonoTime watchedSince{}; ///< silence before this time isn't counted
    bool leaving = false;
    bool linkUp = false;
    Base::MonoTime linkDownSince{};
    std::vector<std::uint64_t> formerIncarnations; ///< incarnations whose delayed heartbeats are ignored
};

/// The highest map epoch that a process of an entry is known to have adopted.
struct Acknowledgement {
    Protocol::Epoch epoch = 0;
    Base::Endpoint peer; ///< peer endpoint of the process
};

/// A takeover of partitions by this entry, in progress.
struct Takeover {
    Protocol::Epoch epoch = 0;
    std::set<Protocol::Partition> partitions; ///< partitions that this entry may not serve yet
    Base::MonoTime mapSeenAt{}; ///< when this entry adopted the map of this epoch
    Base::WallTime mapSeenWall{};
    std::optional<Base::MonoTime> acknowledgedAt; ///< when the last acknowledgement needed from former members was seen
    std::set<std::string> agentsQueried;
    std::set<std::string> agentsReplied;
    std::set<std::string> agentsOfPeers; ///< named in acknowledgements; this entry may not know them
    std::map<std::string, std::vector<Protocol::AttemptRecord>, std::less<>> recovered; ///< by agent; reported when the takeover finishes
    bool formerProcessEnded = false; ///< the former owner ran on an embedded store and has ended, so there is no authority to wait for
};

/// A transfer of the ledger of partitions that this entry no longer owns to their new owner.
struct Handover {
    Protocol::Epoch epoch = 0;
    std::vector<Protocol::Partition> partitions;
    Base::MonoTime since{};
    bool sent = false; ///< HandoverDue and PartitionsLost were reported
};

/// What this entry may do with a partition at present.
enum class Authority : std::uint8_t {
    NotOwner,
    Suspended, ///< owner, but neither confirmed by the store nor backed by a majority of members
    Recovering, ///< owner, but a takeover or handover hasn't finished
    Serving,
};

/// Decides whether a submission that is older than a takeover, and that no agent reported, is known to be unstarted.
struct TakeoverRecord {
    Base::WallTime at{}; ///< when the former owners' authority ended; they may have accepted submissions until then
    bool complete = false; ///< every known agent replied
    Base::WallTime unstartedSince{}; ///< an agent that ran older submissions may have ended before this entry could query it
};

/// State of cluster. Created by initialState() in cluster.h.
struct ClusterState {
    Protocol::EntryRecord self;
    std::vector<Base::Endpoint> seedEndpoints; ///< peer endpoints of entries, from the settings
    bool embeddedStore = false;
    Base::MonoTime now{};
    Base::WallTime wall{};
    std::optional<Base::WallTime> startedWall; ///< wall time of the first TimePassed
    std::mt19937_64 random;

    std::optional<Protocol::PartitionMap> map;
    std::int64_t mapModRevision = 0;
    bool mapConfirmed = false; ///< a read or write at the store has confirmed the map since the process started
    Base::MonoTime confirmedAt{}; ///< when the newest store call that confirmed the map was started
    bool storeReadPending = false;
    Base::MonoTime nextStoreReadAt{};
    std::optional<Protocol::PartitionMap> mapWritePending;
    bool mapWriteOutcomeUnknown = false; ///< the response to mapWritePending was lost; the next read shows whether it took effect
    std::optional<Base::MonoTime> joinWantedSince;
    bool wasMember = false; ///< a map has listed this incarnation as a member
    std::set<std::string> pendingConfirmedDead; ///< entries ("name/incarnation") that an operator confirmed as dead and that the map doesn't list as such yet

    std::map<std::string, PeerInfo, std::less<>> peers; ///< by name, without self
    std::map<std::string, AgentInfo, std::less<>> agents; ///< by name
    std::set<Base::ProcessId> peerLinks; ///< links that are up, including those to processes not listed in peers
    std::set<Base::ProcessId> agentLinks; ///< links that are up, including those to processes not listed in agents
    std::map<Base::ProcessId, Acknowledgement> acknowledged; ///< by process of an entry
    std::vector<FormerAgent> formerAgents; ///< replaced processes that aren't fenced yet
    std::optional<Base::WallTime> agentsKnownSince; ///< when all agents know this entry, some heartbeats after a map first listed it
    Base::WallTime ledgerLostWall{}; ///< when an agent was last heard of for the first time or its process replaced; a former process had another ledger

    std::optional<Takeover> takeover; ///< takeover of the current map; its partitions may be empty
    std::map<std::string, Handover, std::less<>> handovers; ///< unacknowledged handovers by new owner
    std::map<std::string, std::vector<Protocol::LedgerRecord>, std::less<>> receivedHandoverRecords; ///< records of incomplete handovers by former owner
    std::map<Protocol::Partition, TakeoverRecord> lastTakeovers; ///< newest takeover of each owned partition
    bool leaving = false;
    Base::MonoTime leaveRequestedAt{};
    bool leaveFinished = false; ///< nothing is left to hand over, or leaveTimeout has passed
    bool suspensionLogged = false; ///< the suspension of this entry's authority was logged, and no restoration since
    Base::MonoTime nextHeartbeatAt{};

    std::map<std::string, Protocol::SettingsSubtree, std::less<>> subtrees; ///< by team; the empty name is the root
    Settings::RuleSet rules; ///< parsed from subtrees
};

} // namespace LaburnumFlow::Cluster
