#pragma once

#include "cluster/cluster.h"
#include "dispatch/dispatch.h"
#include "events/entryeffects.h"
#include "events/entryevents.h"

namespace LaburnumFlow::Entry {

struct EntryState {
    Cluster::ClusterState cluster;
    Dispatch::DispatchState dispatch;
    bool draining = false;
    bool exitSent = false;
};

/// The entry's reducer over all events: cluster first, then dispatch with the changes that cluster reported.
/// Pure: no clock, socket or log call.
Events::Effects reduce(EntryState &state, const Events::Event &event);

} // namespace LaburnumFlow::Entry
