#pragma once

#include "clusterstate.h"
#include "events/entryeffects.h"
#include "events/entryevents.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace LaburnumFlow::Cluster {

// ---- changes reported to dispatch ----

/// A takeover or handover has finished; dispatch may serve these partitions.
struct PartitionsGained {
    std::vector<Protocol::Partition> partitions;
};

/// The partitions have another owner. Dispatch drops their submissions and relays open requests to the new owner.
struct PartitionsLost {
    std::vector<Protocol::Partition> partitions;
};

/// Attempts in the partitions of a takeover, as listed by one agent. Reported before PartitionsGained.
struct AttemptsRecovered {
    std::string agent;
    std::vector<Protocol::AttemptRecord> records;
};

/// Submissions handed over by the former owner. Reported before PartitionsGained.
struct LedgerReceived {
    std::vector<Protocol::LedgerRecord> records;
};

/// The agent went silent or lost its link. It gets no new work, but its attempts are not fenced yet. Dispatch sends QueryAttempts once it is reachable again.
struct AgentSuspected {
    std::string agent;
};

/// The agent may get work, for the first time or again. Dispatch queries its attempts that have not ended.
struct AgentReachable {
    std::string agent;
};

/// All leases of attempts at this incarnation of the agent have expired. Attempts that have not ended are lost.
struct AgentFenced {
    Base::ProcessId agent;
};

/// The active rules changed.
struct RulesChanged {
    std::vector<std::string> teams; ///< teams with changed settings; empty means all teams
};

/// Partitions that this entry does not own have a new owner, or their owner's link came up. Dispatch relays open requests to it again.
struct OwnerChanged {
    std::vector<Protocol::Partition> partitions;
};

/// This entry owned the partitions until the current map and must send their ledger, as returned by Dispatch::ledgerRecords(), to the new owner. PartitionsLost
/// for the same partitions follows.
struct HandoverDue {
    std::string newOwner;
    std::vector<Protocol::Partition> partitions;
};

using Change = std::variant<PartitionsGained,
                            PartitionsLost,
                            AttemptsRecovered,
                            LedgerReceived,
                            AgentSuspected,
                            AgentReachable,
                            AgentFenced,
                            RulesChanged,
                            OwnerChanged,
                            HandoverDue>;

/// Result of handling one event.
struct Step {
    Events::Effects effects;
    std::vector<Change> changes;
};

/// Settings of an entry that starts.
struct ClusterConfig {
    Protocol::EntryRecord self;
    std::vector<Base::Endpoint> seedEndpoints;
    bool embeddedStore = false; ///< the store's contents are lost with this process, so a missing map doesn't mean a first start
    std::uint64_t seed = 0; ///< seed of the random numbers in write ids
};

ClusterState initialState(const ClusterConfig &config);

/// Handles the events that concern membership, ownership and settings; ignores all others.
Step reduce(ClusterState &state, const Events::Event &event);

// ---- queries ----

/// Returns what this entry may do with a partition now. Dispatch checks it before each start of a task.
Authority authority(const ClusterState &state, Protocol::Partition partition);

/// Returns the name of the partition's owner in the newest known map, or nothing if no map is known.
std::optional<std::string> ownerName(const ClusterState &state, Protocol::Partition partition);

/// Returns whether dispatch may start tasks at the agent: it is active, not silent, not fenced, and its link is up.
bool acceptsWork(const ClusterState &state, const AgentInfo &agent);

/// Returns whether it is certain that no former owner has started a submission that no agent reported.
bool isKnownUnstarted(const ClusterState &state, Protocol::Partition partition, Base::WallTime submissionTime);

/// Returns the team's active rules, or null if the team is unknown.
const Settings::TeamRules *rulesFor(const ClusterState &state, std::string_view team);

/// Returns the active revision of each settings subtree.
Protocol::RevisionMap activeRevisions(const ClusterState &state);

/// Returns the number of entries of the map, including this one, whose active revision of the team's subtree is at least \a revision.
std::size_t entriesWithRevision(const ClusterState &state, std::string_view team, std::uint64_t revision);

/// Returns the rows of the operators' status.
std::vector<Events::StatusRow> statusRows(const ClusterState &state);

} // namespace LaburnumFlow::Cluster
