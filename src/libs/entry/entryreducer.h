#pragma once

#include "cluster/cluster.h"
#include "dispatch/dispatch.h"
#include "events/entryeffects.h"
#include "events/entryevents.h"

namespace LaburnumFlow::Entry {

/// State of an entry.
struct EntryState {
    Cluster::ClusterState cluster;
    Dispatch::DispatchState dispatch;
    bool draining = false;
    bool exitSent = false;
};

/// Handles an event first in cluster, then in dispatch together with the changes that cluster reported. Reads no clock, does no I/O and writes no log; all this
/// is left to the caller, by the returned effects.
Events::Effects reduce(EntryState &state, const Events::Event &event);

} // namespace LaburnumFlow::Entry
