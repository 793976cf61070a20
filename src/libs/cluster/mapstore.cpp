#include "mapstore.h"

#include "clusterconstants.h"
#include "mapadoption.h"
#include "mapproposal.h"
#include "ownership.h"
#include "steps.h"

#include <algorithm>
#include <utility>

namespace LaburnumFlow::Cluster::Internal {

namespace {

void recordConfirmation(ClusterState &state, Base::MonoTime sentAt, std::int64_t modRevision)
{
    state.mapConfirmed = true;
    state.confirmedAt = std::max(state.confirmedAt, sentAt);
    state.mapModRevision = modRevision;
}

/// Adopts the store's map if it is newer than the current one. Returns whether the current map is then confirmed by the store.
bool adoptStoredMap(ClusterState &state, Step &step, const Protocol::PartitionMap &map, std::int64_t modRevision)
{
    if (!state.map || map.epoch > state.map->epoch) {
        adoptMap(state, step, map);
        return true;
    }
    if (map.epoch < state.map->epoch) {
        count(step, "map.older-ignored");
        return false;
    }
    if (modRevision > state.mapModRevision) {
        refreshMap(state, step, map);
    }
    return modRevision >= state.mapModRevision;
}

void writeMap(ClusterState &state, Step &step, Protocol::PartitionMap map, std::int64_t expectedModRevision)
{
    count(step, "map.proposed");
    state.mapWriteOutcomeUnknown = false;
    step.effects.emplace_back(Events::WriteMap{map, expectedModRevision});
    state.mapWritePending = std::move(map);
}

void proposeMap(ClusterState &state, Step &step, const Events::MapRead &read)
{
    if (state.mapWritePending) {
        return;
    }
    if (read.map) {
        if (std::optional<Protocol::PartitionMap> next = nextMap(state, *read.map)) {
            writeMap(state, step, std::move(*next), read.modRevision);
        }
    } else if (!state.leaving) {
        writeMap(state, step, firstMap(state), 0);
    }
}

/// Finds out whether a write whose response was lost has taken effect, which it has if its write id is read back. Otherwise the write is abandoned; if it takes
/// effect later, its map is read like that of another entry.
void resolveUnknownWrite(ClusterState &state, Step &step, const Events::MapRead &read)
{
    if (!state.mapWritePending || !state.mapWriteOutcomeUnknown) {
        return;
    }
    const bool written = read.map && read.map->writeId == state.mapWritePending->writeId;
    count(step, written ? "map.write-settled" : "map.write-lost");
    state.mapWritePending.reset();
    state.mapWriteOutcomeUnknown = false;
}

} // namespace

void storeTick(ClusterState &state, Step &step)
{
    if (state.storeReadPending || state.now < state.nextStoreReadAt) {
        return;
    }
    state.storeReadPending = true;
    state.nextStoreReadAt = state.now + Protocol::storeReadInterval;
    step.effects.emplace_back(Events::ReadMap{});
}

void handleMapRead(ClusterState &state, Step &step, const Events::MapRead &read)
{
    state.storeReadPending = false;
    if (!read.ok) {
        count(step, "map.read-failed");
        return;
    }
    if (read.map) {
        if (!adoptStoredMap(state, step, *read.map, read.modRevision)) {
            return;
        }
        recordConfirmation(state, read.sentAt, read.modRevision);
    }
    resolveUnknownWrite(state, step, read);
    proposeMap(state, step, read);
}

void handleMapWritten(ClusterState &state, Step &step, const Events::MapWritten &written)
{
    switch (written.outcome) {
    case Events::SwapOutcome::Written:
        if (adoptStoredMap(state, step, written.map, written.modRevision)) {
            recordConfirmation(state, written.sentAt, written.modRevision);
        }
        break;
    case Events::SwapOutcome::Conflict:
        count(step, "map.write-conflict");
        break;
    case Events::SwapOutcome::Refused:
        count(step, "map.write-refused");
        break;
    case Events::SwapOutcome::Unknown:
        count(step, "map.write-undecided");
        state.mapWriteOutcomeUnknown = true;
        state.nextStoreReadAt = state.now;
        return;
    }
    state.mapWritePending.reset();
    state.mapWriteOutcomeUnknown = false;
    state.nextStoreReadAt = state.now;
}

void handleMapAnnounce(ClusterState &state, Step &step, const Base::ProcessId &from, const Protocol::MapAnnounce &announce)
{
    if (!state.map || announce.map.epoch > state.map->epoch) {
        adoptMap(state, step, announce.map);
        state.mapModRevision = 0;
    } else if (announce.map.epoch < state.map->epoch) {
        announceMap(state, step, from.name);
    }
    Protocol::MapAck ack{state.self.id, state.self.peer, state.map->epoch, {}};
    for (const auto &[name, agent] : state.agents) {
        ack.agents.push_back(name);
    }
    step.effects.emplace_back(Events::SendToPeer{from.name, std::move(ack)});
}

void announceMap(const ClusterState &state, Step &step, const std::string &peer)
{
    if (state.map) {
        step.effects.emplace_back(Events::SendToPeer{peer, Protocol::MapAnnounce{*state.map}});
    }
}

} // namespace LaburnumFlow::Cluster::Internal
