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
};

/// What this entry knows of another entry.
struct PeerInfo {
    Protocol::EntryRecord record;
    Protocol::Epoch mapEpoch = 0;
    std::uint64_t settingsDigest = 0;
    Protocol::RevisionMap inForce; ///< by its last SettingsAck
    std::int64_t lastSentMonoUs = 0; ///< newest sentMonoUs received, to be echoed
    Base::MonoTime heardAt{}; ///< last heartbeat received
    Base::MonoTime echoedAt{}; ///< newest time of the own clock that the peer has echoed
    bool leaving = false;
    bool linkUp = false;
};

/// Progress of a takeover of partitions by this entry.
struct Takeover {
    Protocol::Epoch epoch = 0;
    std::set<Protocol::Partition> partitions;
    Base::MonoTime swappedAt{}; ///< when the map was first seen
    Base::WallTime swappedWall{};
    std::optional<Base::MonoTime> acknowledgedAt; ///< last needed acknowledgement
    std::set<std::string> agentsAsked;
    std::set<std::string> agentsAnswered;
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
    bool complete = false; ///< every agent of the last membership answered
};

/// Everything that cluster owns. Made by initialState() in cluster.h.
struct ClusterState {
    Protocol::EntryRecord self;
    std::vector<Base::Endpoint> seeds; ///< peer endpoints from the settings
    bool embeddedStore = false;
    Base::MonoTime now{};
    Base::WallTime wall{};
    std::mt19937_64 random;

    std::optional<Protocol::PartitionMap> map;
    std::int64_t mapModRevision = 0;
    bool mapConfirmed = false; ///< a read or a swap has confirmed the map since the start
    Base::MonoTime confirmedAt{}; ///< start of the newest store call that confirmed the map
    bool storeCallPending = false;
    Base::MonoTime nextStoreRead{};
    std::optional<Protocol::PartitionMap> mapWritePending;

    std::map<std::string, PeerInfo, std::less<>> peers; ///< by name, without self
    std::map<std::string, AgentInfo, std::less<>> agents; ///< by name
    std::map<std::string, Protocol::Epoch, std::less<>> acknowledged; ///< by entry name: highest epoch acknowledged
    std::map<std::string, std::uint64_t, std::less<>> acknowledgedIncarnation;

    std::optional<Takeover> takeover;
    std::set<Protocol::Partition> awaitingHandover;
    std::map<Protocol::Partition, TakeoverRecord> takeovers; ///< newest takeover of each owned partition
    bool leaving = false;
    bool left = false; ///< the map without this entry stands
    Base::MonoTime nextHeartbeat{};

    std::map<std::string, Protocol::SettingsSubtree, std::less<>> subtrees; ///< by team, "" is the root
    Settings::RuleSet rules; ///< parsed from subtrees
};

} // namespace LaburnumFlow::Cluster
