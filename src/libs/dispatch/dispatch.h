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
    std::string self; ///< this entry's name
    std::uint64_t seed = 0;
    PlacementPolicy placement = ExpectedWait{};
};

DispatchState initialState(const DispatchConfig &config);

/// Handles callers' requests, relayed jobs, agents' replies and the passing of time. cluster is read only.
Events::Effects reduce(DispatchState &state, const Cluster::ClusterState &cluster, const Events::Event &event);

/// Handles a change that cluster reported.
Events::Effects applyChange(DispatchState &state, const Cluster::ClusterState &cluster, const Cluster::Change &change);

/// The records of the partitions, for a handover.
std::vector<Protocol::LedgerRecord> ledgerRecords(const DispatchState &state, std::span<const Protocol::Partition> partitions);

/// True once no caller waits and no owned task runs; a draining entry may then exit.
bool isIdle(const DispatchState &state);

/// Rows for the operators' status.
std::vector<Events::StatusRow> statusRows(const DispatchState &state);

} // namespace LaburnumFlow::Dispatch
