#include "mapproposal.h"

#include "base/uuid.h"
#include "clusterconstants.h"
#include "ownership.h"
#include "takeover.h"

#include <algorithm>

namespace LaburnumFlow::Cluster::Internal {

namespace {

std::string newWriteId(ClusterState &state)
{
    const std::uint64_t high = state.random();
    return Base::toString(Base::makeUuidV7(state.wall, high, state.random()));
}

const PeerInfo *findPeer(const ClusterState &state, const Protocol::EntryRecord &member)
{
    const auto found = state.peers.find(member.id.name);
    return found != state.peers.end() && found->second.record.id == member.id ? &found->second : nullptr;
}

bool isSilent(const ClusterState &state, const Protocol::EntryRecord &member)
{
    if (member.id == state.self.id) {
        return false;
    }
    const auto found = state.peers.find(member.id.name);
    if (found == state.peers.end()) {
        return false;
    }
    const PeerInfo &peer = found->second;
    const Base::MonoTime lastSign = peer.record.id == member.id ? std::max(peer.lastHeartbeatAt, peer.watchedSince) : peer.watchedSince;
    return state.now - lastSign > Protocol::entrySilenceTimeout;
}

bool isConfirmedDead(const ClusterState &state, const Protocol::PartitionMap &map, const Protocol::EntryRecord &member)
{
    const std::string name = formatProcessId(member.id);
    return state.pendingConfirmedDead.contains(name) || std::find(map.confirmedDead.begin(), map.confirmedDead.end(), name) != map.confirmedDead.end();
}

/// Returns whether at least half of the members that aren't confirmed as dead are alive. A minority could not take over from the members that it removes, as it
/// can't fence their set, and the removed ones would join again at once.
bool mayRemove(const ClusterState &state, const Protocol::PartitionMap &map)
{
    std::size_t living = 0;
    std::size_t counted = 0;
    for (const Protocol::EntryRecord &member : map.entries) {
        counted += isConfirmedDead(state, map, member) ? 0 : 1;
        living += isSilent(state, member) ? 0 : 1;
    }
    return living * 2 >= counted;
}

bool allMembersEchoRecently(const ClusterState &state, const Protocol::PartitionMap &map)
{
    return std::all_of(map.entries.begin(), map.entries.end(), [&](const Protocol::EntryRecord &member) {
        if (member.id.name == state.self.id.name) {
            return true;
        }
        const PeerInfo *peer = findPeer(state, member);
        return peer != nullptr && peer->echoedSentAt > Base::MonoTime{} && state.now - peer->echoedSentAt < Protocol::maxEchoAge;
    });
}

bool mayJoin(ClusterState &state, const Protocol::PartitionMap &map)
{
    const bool replaced = state.wasMember && memberNamed(map, state.self.id.name) != nullptr;
    if (state.leaving || replaced) {
        return false;
    }
    if (!state.joinWantedSince) {
        state.joinWantedSince = state.now;
    }
    return allMembersEchoRecently(state, map) || state.now - *state.joinWantedSince > joinTimeout;
}

void addSelf(const ClusterState &state, std::vector<Protocol::EntryRecord> &entries)
{
    const auto same = std::find_if(entries.begin(), entries.end(), [&](const auto &each) { return each.id.name == state.self.id.name; });
    if (same == entries.end()) {
        entries.push_back(state.self);
    } else {
        *same = state.self;
    }
}

std::vector<Protocol::EntryRecord> nextEntries(ClusterState &state, const Protocol::PartitionMap &current)
{
    std::vector<Protocol::EntryRecord> entries = current.entries;
    if (!isMember(current, state.self.id)) {
        if (mayJoin(state, current)) {
            addSelf(state, entries);
        }
        return entries;
    }
    state.joinWantedSince.reset();
    if (mayRemove(state, current)) {
        std::erase_if(entries, [&](const Protocol::EntryRecord &member) { return isSilent(state, member); });
    }
    if (state.leaving && entries.size() > 1) {
        std::erase_if(entries, [&](const Protocol::EntryRecord &member) { return member.id == state.self.id; });
    }
    return entries;
}

bool addConfirmedDead(const ClusterState &state, Protocol::PartitionMap &next)
{
    const std::size_t before = next.confirmedDead.size();
    for (const std::string &name : state.pendingConfirmedDead) {
        if (std::find(next.confirmedDead.begin(), next.confirmedDead.end(), name) == next.confirmedDead.end()) {
            next.confirmedDead.push_back(name);
        }
    }
    return next.confirmedDead.size() != before;
}

} // namespace

std::vector<std::string> deadProcesses(const ClusterState &state, std::string_view name)
{
    std::vector<std::string> dead;
    const auto add = [&](const Protocol::EntryRecord &member) {
        const bool living = member.id == state.self.id || (findPeer(state, member) != nullptr && !isSilent(state, member));
        if (member.id.name == name && !living) {
            dead.push_back(formatProcessId(member.id));
        }
    };
    std::for_each(state.map->entries.begin(), state.map->entries.end(), add);
    for (const Protocol::UnfencedSet &set : state.map->unfenced) {
        std::for_each(set.entries.begin(), set.entries.end(), add);
    }
    return dead;
}

Protocol::PartitionMap firstMap(ClusterState &state)
{
    Protocol::PartitionMap map;
    // Starts at the wall clock, so that the epoch is higher than those that agents know from a store that was lost.
    map.epoch = static_cast<Protocol::Epoch>(std::max<std::int64_t>(state.wall.count(), 1));
    map.entries = {state.self};
    if (state.map) {
        map.epoch = std::max(map.epoch, state.map->epoch + 1);
        map.unfenced = state.map->unfenced;
        map.unfenced.push_back({state.map->epoch, state.map->entries});
        map.confirmedDead = state.map->confirmedDead;
    }
    map.writeId = newWriteId(state);
    assignOwners(map);
    return map;
}

std::optional<Protocol::PartitionMap> nextMap(ClusterState &state, const Protocol::PartitionMap &current)
{
    Protocol::PartitionMap next = current;
    next.entries = nextEntries(state, current);
    const bool confirmed = addConfirmedDead(state, next);
    if (next.entries != current.entries) {
        next.epoch = current.epoch + 1;
        next.unfenced.push_back({current.epoch, current.entries});
        assignOwners(next);
    } else if (!confirmed) {
        if (current.unfenced.empty() || !mayClearUnfenced(state)) {
            return std::nullopt;
        }
        next.unfenced.clear();
        next.confirmedDead.clear();
    }
    next.writeId = newWriteId(state);
    return next;
}

} // namespace LaburnumFlow::Cluster::Internal
