#pragma once

#include "cluster/cluster.h"
#include "dispatchstate.h"
#include "events/entryeffects.h"
#include "events/entryevents.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace LaburnumFlow::Dispatch {

struct DispatchConfig {
    std::string self; ///< Name of this entry
    std::uint64_t seed = 0;
    PlacementPolicy placement = ExpectedWait{};
    std::uint64_t incarnation = 0; ///< of this process, as in Base::ProcessId
};

DispatchState initialState(const DispatchConfig &config);

/// Handles callers' requests, relayed jobs, agents' replies and the passing of time. Returns what is to be sent and logged.
Events::Effects reduce(DispatchState &state, const Cluster::ClusterState &cluster, const Events::Event &event);

/// Handles a change that cluster reported. Returns what is to be sent and logged.
Events::Effects applyChange(DispatchState &state, const Cluster::ClusterState &cluster, const Cluster::Change &change);

/// Returns the ledger's records of the partitions for a handover.
std::vector<Protocol::LedgerRecord> ledgerRecords(const DispatchState &state, std::span<const Protocol::Partition> partitions);

/// True if no caller waits and no owned job or attempt is open; a draining entry may then exit.
bool isIdle(const DispatchState &state);

/// Returns the rows of the operators' status: waiting tasks and live attempts of each team.
std::vector<Events::StatusRow> statusRows(const DispatchState &state);

} // namespace LaburnumFlow::Dispatch
