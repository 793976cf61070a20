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

// ---- changes that cluster reports to dispatch ----

/// A takeover or handover ended; dispatch may serve these partitions.
struct PartitionsGained {
    std::vector<Protocol::Partition> partitions;
};

/// The partitions have another owner. Dispatch forgets their submissions and relays open requests to the new owner.
struct PartitionsLost {
    std::vector<Protocol::Partition> partitions;
};

/// Records of a gaining partition as an agent listed them; come before PartitionsGained.
struct AttemptsRecovered {
    std::string agent;
    std::vector<Protocol::AttemptRecord> records;
};

/// Submissions handed over by a leaving owner; come before PartitionsGained.
struct LedgerReceived {
    std::vector<Protocol::LedgerRecord> records;
};

/// The agent gets no new work; its attempts are not yet fenced. Dispatch asks it with QueryAttempts once it is back.
struct AgentSuspected {
    std::string agent;
};

/// The link to the agent is up (again): attempts there that have not ended are to be queried.
struct AgentReachable {
    std::string agent;
};

/// All leases of attempts at this incarnation have ended: attempts that have not ended are lost.
struct AgentFenced {
    Base::ProcessId agent;
};

struct RulesChanged {
    std::vector<std::string> teams; ///< empty means all
};

/// The owner of partitions that this entry does not own changed or became reachable: relay open requests again.
struct OwnerChanged {
    std::vector<Protocol::Partition> partitions;
};

/// This entry, leaving or not, was the owner until the present map. Dispatch gives its records by ledgerRecords(); the
/// PartitionsLost for the same partitions follows.
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

struct Step {
    Events::Effects effects;
    std::vector<Change> changes;
};

/// Settings of a new entry.
struct ClusterConfig {
    Protocol::EntryRecord self;
    std::vector<Base::Endpoint> seedEndpoints;
    bool embeddedStore = false; ///< the store is lost with this process, so a missing map does not mean a first start
    std::uint64_t seed = 0;
};

ClusterState initialState(const ClusterConfig &config);

/// Handles the events that concern membership, ownership and settings; other events change nothing here.
Step reduce(ClusterState &state, const Events::Event &event);

// ---- questions, all const ----

/// What this entry may do with a partition now. Checked by dispatch at each start.
Authority authority(const ClusterState &state, Protocol::Partition partition);

/// The owner by the newest map; nothing before the first map is known.
std::optional<std::string> ownerName(const ClusterState &state, Protocol::Partition partition);

/// True if dispatch may send new starts there: active, heard of lately, link up, not fenced.
bool acceptsWork(const ClusterState &state, const AgentInfo &agent);

/// Whether a submission that no agent reported is known not to have been started by a former owner.
bool isKnownUnstarted(const ClusterState &state, Protocol::Partition partition, Base::WallTime submissionTime);

/// The rules in force; nothing if the team is unknown.
const Settings::TeamRules *rulesFor(const ClusterState &state, std::string_view team);

/// The revision of each subtree in force.
Protocol::RevisionMap activeRevisions(const ClusterState &state);

/// Entries of the map, self included, that have at least this revision of the team's subtree in force.
std::size_t entriesWithRevision(const ClusterState &state, std::string_view team, std::uint64_t revision);

/// Rows for the operators' status.
std::vector<Events::StatusRow> statusRows(const ClusterState &state);

} // namespace LaburnumFlow::Cluster
