#include "ownership.h"

#include "cluster.h"
#include "clusterconstants.h"

#include <xxhash.h>

#include <algorithm>

namespace LaburnumFlow::Cluster {

namespace Internal {

std::uint16_t rendezvousOwner(std::span<const Protocol::EntryRecord> entries, Protocol::Partition partition)
{
    std::uint16_t best = 0;
    XXH64_hash_t bestWeight = 0;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const std::string &name = entries[i].id.name;
        const XXH64_hash_t weight = XXH64(name.data(), name.size(), partition);
        if (i == 0 || weight > bestWeight || (weight == bestWeight && name < entries[best].id.name)) {
            best = static_cast<std::uint16_t>(i);
            bestWeight = weight;
        }
    }
    return best;
}

void assignOwners(Protocol::PartitionMap &map)
{
    for (Protocol::Partition partition = 0; partition < Protocol::partitionCount; ++partition) {
        map.owner[partition] = rendezvousOwner(map.entries, partition);
    }
}

const Protocol::EntryRecord *ownerRecord(const Protocol::PartitionMap &map, Protocol::Partition partition)
{
    if (partition >= Protocol::partitionCount || map.owner[partition] >= map.entries.size()) {
        return nullptr;
    }
    return &map.entries[map.owner[partition]];
}

bool owns(const Protocol::PartitionMap &map, const Base::ProcessId &id, Protocol::Partition partition)
{
    const Protocol::EntryRecord *owner = ownerRecord(map, partition);
    return owner != nullptr && owner->id == id;
}

const Protocol::EntryRecord *memberNamed(const Protocol::PartitionMap &map, std::string_view name)
{
    const auto found = std::find_if(map.entries.begin(), map.entries.end(), [&](const auto &entry) { return entry.id.name == name; });
    return found == map.entries.end() ? nullptr : &*found;
}

bool isMember(const Protocol::PartitionMap &map, const Base::ProcessId &id)
{
    const Protocol::EntryRecord *member = memberNamed(map, id.name);
    return member != nullptr && member->id == id;
}

bool ownedContinuously(const Protocol::PartitionMap &older, const Protocol::PartitionMap &newer, const Base::ProcessId &id, Protocol::Partition partition)
{
    if (!owns(older, id, partition) || !owns(newer, id, partition) || newer.epoch <= older.epoch || newer.epoch - older.epoch > newer.unfenced.size() + 1) {
        return false;
    }
    for (Protocol::Epoch epoch = older.epoch + 1; epoch < newer.epoch; ++epoch) {
        const auto set = std::find_if(newer.unfenced.begin(), newer.unfenced.end(), [&](const auto &each) { return each.epoch == epoch; });
        if (set == newer.unfenced.end() || set->entries.empty() || set->entries[rendezvousOwner(set->entries, partition)].id != id) {
            return false;
        }
    }
    return true;
}

std::string formatProcessId(const Base::ProcessId &id)
{
    return id.name + "/" + std::to_string(id.incarnation);
}

bool confirmedByStore(const ClusterState &state)
{
    return state.mapConfirmed && state.now - state.confirmedAt < Protocol::maxConfirmationAge;
}

bool backedByMajority(const ClusterState &state)
{
    std::size_t backing = 0;
    for (const Protocol::EntryRecord &member : state.map->entries) {
        if (member.id == state.self.id) {
            ++backing;
            continue;
        }
        const auto peer = state.peers.find(member.id.name);
        if (peer == state.peers.end() || peer->second.record.id != member.id || peer->second.mapEpoch > state.map->epoch) {
            continue;
        }
        // Zero means that the peer has echoed nothing yet; it would seem recent on a clock that started at 0.
        if (peer->second.echoedSentAt > Base::MonoTime{} && state.now - peer->second.echoedSentAt < Protocol::maxEchoAge) {
            ++backing;
        }
    }
    return backing >= state.map->entries.size() / 2 + 1;
}

} // namespace Internal

Authority authority(const ClusterState &state, Protocol::Partition partition)
{
    if (!state.map || !Internal::owns(*state.map, state.self.id, partition)) {
        return Authority::NotOwner;
    }
    if (state.takeover && state.takeover->partitions.contains(partition)) {
        return Authority::Recovering;
    }
    return Internal::confirmedByStore(state) || Internal::backedByMajority(state) ? Authority::Serving : Authority::Suspended;
}

std::optional<std::string> ownerName(const ClusterState &state, Protocol::Partition partition)
{
    const Protocol::EntryRecord *owner = state.map ? Internal::ownerRecord(*state.map, partition) : nullptr;
    return owner != nullptr ? std::optional(owner->id.name) : std::nullopt;
}

bool isKnownUnstarted(const ClusterState &state, Protocol::Partition partition, Base::WallTime submissionTime)
{
    if (state.takeover && state.takeover->partitions.contains(partition)) {
        // A former owner may start submissions until it is fenced; one on an embedded store ended before this process started.
        return state.takeover->formerProcessEnded && submissionTime > state.startedWall.value_or(state.wall) + Protocol::maxClockSkew;
    }
    const auto found = state.lastTakeovers.find(partition);
    if (found == state.lastTakeovers.end() || submissionTime > found->second.at + Protocol::maxClockSkew) {
        return true;
    }
    return found->second.complete && submissionTime > found->second.unstartedSince + Protocol::maxClockSkew;
}

} // namespace LaburnumFlow::Cluster
