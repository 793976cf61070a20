#include "mapadoption.h"

#include "clusterconstants.h"
#include "handover.h"
#include "mapstore.h"
#include "ownership.h"
#include "peers.h"
#include "steps.h"
#include "takeover.h"

#include <algorithm>
#include <set>

namespace LaburnumFlow::Cluster::Internal {

namespace {

using Partitions = std::vector<Protocol::Partition>;

/// Partitions whose ownership differs between two maps.
struct Difference {
    std::set<Protocol::Partition> recovering; ///< owned by this entry, but another entry may have acted as the owner before
    Partitions lost; ///< were served by this entry until now
    Partitions elsewhere; ///< not owned by this entry in either map, and the owner changed
};

Difference difference(const ClusterState &state, const std::optional<Protocol::PartitionMap> &old, const Protocol::PartitionMap &map)
{
    Difference result;
    const Base::ProcessId &self = state.self.id;
    for (Protocol::Partition partition = 0; partition < Protocol::partitionCount; ++partition) {
        const bool wasOwner = old && owns(*old, self, partition);
        const bool isOwner = owns(map, self, partition);
        const bool kept = wasOwner && isOwner && ownedContinuously(*old, map, self, partition);
        const bool stillRecovering = state.takeover && state.takeover->partitions.contains(partition);
        if (isOwner && (!kept || stillRecovering)) {
            result.recovering.insert(partition);
        }
        if (wasOwner && !kept && !stillRecovering) {
            result.lost.push_back(partition);
        }
        if (!wasOwner && !isOwner) {
            const Protocol::EntryRecord *before = old ? ownerRecord(*old, partition) : nullptr;
            const Protocol::EntryRecord *after = ownerRecord(map, partition);
            if (after != nullptr && (before == nullptr || before->id != after->id)) {
                result.elsewhere.push_back(partition);
            }
        }
    }
    return result;
}

/// Returns whether the store never held a map before, so that no entry can have been an owner.
bool isFirstStart(const ClusterState &state, const std::optional<Protocol::PartitionMap> &old, const Protocol::PartitionMap &map)
{
    return !old && !state.embeddedStore && state.mapWritePending && state.mapWritePending->writeId == map.writeId && map.unfenced.empty();
}

bool isListed(const Protocol::PartitionMap &map, const std::string &dead)
{
    const auto isDead = [&](const Protocol::EntryRecord &entry) { return formatProcessId(entry.id) == dead; };
    return std::any_of(map.entries.begin(), map.entries.end(), isDead) || std::any_of(map.unfenced.begin(), map.unfenced.end(), [&](const auto &set) {
               return std::any_of(set.entries.begin(), set.entries.end(), isDead);
           });
}

void removeObsoleteFencingData(ClusterState &state, const Protocol::PartitionMap &map)
{
    std::erase_if(state.pendingConfirmedDead, [&](const std::string &dead) {
        return !isListed(map, dead) || std::find(map.confirmedDead.begin(), map.confirmedDead.end(), dead) != map.confirmedDead.end();
    });
    if (map.unfenced.empty()) {
        std::erase_if(state.acknowledged, [&](const auto &each) { return !isMember(map, each.first); });
    }
}

void recordMembership(ClusterState &state, const Protocol::PartitionMap &map)
{
    recordAcknowledgement(state, state.self, map.epoch);
    removeObsoleteFencingData(state, map);
    if (isMember(map, state.self.id)) {
        state.wasMember = true;
        state.joinWantedSince.reset();
        if (!state.agentsKnownSince) {
            // Agents send heartbeats to this entry soon after another entry has listed it in an EntryHello.
            state.agentsKnownSince = state.wall + std::chrono::duration_cast<Base::WallTime>(Protocol::agentSilenceTimeout);
        }
    }
}

void startTakeover(ClusterState &state, Step &step, Difference &change, bool firstStart)
{
    if (firstStart) {
        step.changes.emplace_back(PartitionsGained{Partitions(change.recovering.begin(), change.recovering.end())});
        change.recovering.clear();
    }
    const bool formerProcessEnded = state.embeddedStore && state.map->entries.size() == 1 && state.map->unfenced.empty();
    beginTakeover(state, step, std::move(change.recovering), formerProcessEnded);
}

} // namespace

void adoptMap(ClusterState &state, Step &step, const Protocol::PartitionMap &map)
{
    Difference change = difference(state, state.map, map);
    const bool firstStart = isFirstStart(state, state.map, map);
    const bool direct = state.map && map.epoch == state.map->epoch + 1;
    watchMembers(state, state.map ? &*state.map : nullptr, map);
    state.map = map;
    recordMembership(state, map);

    count(step, "map.adopted");
    log(step, "map-changed", {{"epoch", std::to_string(map.epoch)}, {"entries", std::to_string(map.entries.size())}, {"writeId", map.writeId}});
    for (const auto &[name, peer] : state.peers) {
        if (peer.linkUp) {
            announceMap(state, step, name);
        }
    }
    beginHandovers(state, step, change.lost, direct);
    startTakeover(state, step, change, firstStart);
    if (!change.elsewhere.empty()) {
        step.changes.emplace_back(OwnerChanged{std::move(change.elsewhere)});
    }
}

void refreshMap(ClusterState &state, Step &step, const Protocol::PartitionMap &map)
{
    if (map.unfenced.empty() && !state.map->unfenced.empty()) {
        log(step, "map-fenced", {{"epoch", std::to_string(map.epoch)}});
    }
    state.map = map;
    removeObsoleteFencingData(state, map);
}

} // namespace LaburnumFlow::Cluster::Internal
