#include "peers.h"

#include "clusterconstants.h"
#include "mapstore.h"
#include "ownership.h"
#include "settingsspread.h"
#include "steps.h"
#include "takeover.h"

#include <algorithm>
#include <set>
#include <utility>

namespace LaburnumFlow::Cluster::Internal {

namespace {

/// Resets the peer's information for another process of the same name.
void replaceProcess(const ClusterState &state, PeerInfo &peer, const Protocol::EntryRecord &record)
{
    std::vector<std::uint64_t> former = std::move(peer.formerIncarnations);
    if (!peer.record.id.name.empty()) {
        rememberIncarnation(former, peer.record.id.incarnation, maxFormerIncarnations);
    }
    peer = PeerInfo{};
    peer.record = record;
    peer.watchedSince = state.now;
    peer.linkDownSince = state.now;
    peer.linkUp = state.peerLinks.contains(record.id);
    peer.formerIncarnations = std::move(former);
}

/// Returns the peer with this process, or null if a later process has replaced it.
PeerInfo *findOrAddPeer(ClusterState &state, Step &step, const Protocol::EntryRecord &record)
{
    PeerInfo &peer = state.peers[record.id.name];
    if (peer.record.id == record.id) {
        return &peer;
    }
    // A former incarnation is accepted once the current one is silent: a delayed heartbeat of an unknown former process may have replaced the live one.
    const bool silent = state.now - std::max(peer.lastHeartbeatAt, peer.watchedSince) > Protocol::entrySilenceTimeout;
    if (contains(peer.formerIncarnations, record.id.incarnation) && !silent) {
        count(step, "entries.former-incarnation");
        return nullptr;
    }
    replaceProcess(state, peer, record);
    log(step, "entry-known", {{"entry", record.id.name}, {"incarnation", std::to_string(record.id.incarnation)}});
    return &peer;
}

/// Connects to the peer if this entry's name sorts first. The other side connects only if the link has been down for long.
void connectToPeer(ClusterState &state, Step &step, const PeerInfo &peer)
{
    const bool first = state.self.id.name < peer.record.id.name;
    if (!peer.linkUp && (first || state.now - peer.linkDownSince > Protocol::linkQuietLimit)) {
        step.effects.emplace_back(Events::ConnectPeer{peer.record.id, peer.record.peer});
    }
}

void updatePeer(const ClusterState &state, PeerInfo &peer, const Protocol::EntryHeartbeat &heartbeat)
{
    peer.record = heartbeat.from;
    peer.lastHeartbeatAt = state.now;
    peer.mapEpoch = std::max(peer.mapEpoch, heartbeat.mapEpoch);
    if (heartbeat.to == state.self.id.name && heartbeat.echoIncarnation == state.self.id.incarnation) {
        peer.echoedSentAt = std::max(peer.echoedSentAt, std::min(state.now, Base::MonoTime(heartbeat.echoMonoUs)));
    }
    if (heartbeat.sentMonoUs >= peer.peerSentMonoUs) {
        peer.peerSentMonoUs = heartbeat.sentMonoUs;
        peer.settingsDigest = heartbeat.settingsDigest;
        peer.leaving = heartbeat.leaving;
    }
}

void compareMaps(ClusterState &state, Step &step, const PeerInfo &peer, Protocol::Epoch peerEpoch)
{
    const Protocol::Epoch own = state.map ? state.map->epoch : 0;
    if (peerEpoch < own && peer.linkUp) {
        announceMap(state, step, peer.record.id.name);
    } else if (peerEpoch > own) {
        state.nextStoreReadAt = std::min(state.nextStoreReadAt, state.now);
    }
}

void sendHeartbeat(const ClusterState &state, Step &step, const Base::Endpoint &to, const PeerInfo *peer)
{
    Protocol::EntryHeartbeat heartbeat;
    heartbeat.from = state.self;
    heartbeat.mapEpoch = state.map ? state.map->epoch : 0;
    heartbeat.settingsDigest = settingsDigest(state);
    heartbeat.sentMonoUs = state.now.count();
    heartbeat.leaving = state.leaving;
    if (peer != nullptr) {
        heartbeat.to = peer->record.id.name;
        heartbeat.echoIncarnation = peer->record.id.incarnation;
        heartbeat.echoMonoUs = peer->peerSentMonoUs;
    }
    step.effects.emplace_back(Events::SendDatagram{to, std::move(heartbeat)});
}

void sendHeartbeats(const ClusterState &state, Step &step)
{
    std::set<Base::Endpoint> reached{state.self.peer};
    for (const auto &[name, peer] : state.peers) {
        if (!peer.record.peer.address.empty()) {
            sendHeartbeat(state, step, peer.record.peer, &peer);
            reached.insert(peer.record.peer);
        }
    }
    for (const Base::Endpoint &seed : state.seedEndpoints) {
        if (reached.insert(seed).second) {
            sendHeartbeat(state, step, seed, nullptr);
        }
    }
}

void removeSilentPeers(ClusterState &state, Step &step)
{
    std::erase_if(state.peers, [&](const auto &each) {
        const auto &[name, peer] = each;
        const bool isListed = state.map && memberNamed(*state.map, name) != nullptr;
        const bool silent = state.now - std::max(peer.lastHeartbeatAt, peer.watchedSince) > peerRetention;
        if (!isListed && silent && !peer.linkUp) {
            log(step, "entry-forgotten", {{"entry", name}});
            return true;
        }
        return false;
    });
}

} // namespace

void watchMembers(ClusterState &state, const Protocol::PartitionMap *former, const Protocol::PartitionMap &map)
{
    for (const Protocol::EntryRecord &member : map.entries) {
        if (member.id.name == state.self.id.name) {
            continue;
        }
        PeerInfo &peer = state.peers[member.id.name];
        const bool hasHeartbeat = peer.lastHeartbeatAt > Base::MonoTime{};
        if (peer.record.id == member.id && !hasHeartbeat) {
            peer.record = member;
        } else if (peer.record.id != member.id && !hasHeartbeat) {
            replaceProcess(state, peer, member);
        }
        // A process that has sent heartbeats isn't replaced: the one in the map may have ended since, or will soon send heartbeats itself.
        if (former == nullptr || !isMember(*former, member.id)) {
            peer.watchedSince = state.now;
        }
    }
}

void restartWatch(ClusterState &state)
{
    for (auto &[name, peer] : state.peers) {
        peer.watchedSince = state.now;
    }
}

void handleEntryHeartbeat(ClusterState &state, Step &step, const Protocol::EntryHeartbeat &heartbeat)
{
    if (heartbeat.from.id.name == state.self.id.name) {
        count(step, "entries.own-name");
        return;
    }
    if (!heartbeat.to.empty() && heartbeat.to != state.self.id.name) {
        count(step, "entries.misdirected");
        return;
    }
    PeerInfo *peer = findOrAddPeer(state, step, heartbeat.from);
    if (peer == nullptr) {
        return;
    }
    updatePeer(state, *peer, heartbeat);
    recordAcknowledgement(state, heartbeat.from, heartbeat.mapEpoch);
    connectToPeer(state, step, *peer);
    compareMaps(state, step, *peer, heartbeat.mapEpoch);
    compareSettings(state, step, *peer);
}

void handlePeerLink(ClusterState &state, Step &step, const Events::PeerLinkChanged &change)
{
    const bool changed = change.up ? state.peerLinks.insert(change.peer).second : state.peerLinks.erase(change.peer) > 0;
    const auto known = state.peers.find(change.peer.name);
    const bool present = known != state.peers.end() && known->second.record.id == change.peer;
    if (!changed || change.peer.name == state.self.id.name || (!change.up && !present)) {
        return;
    }
    Protocol::EntryRecord record;
    record.id = change.peer;
    PeerInfo *peer = findOrAddPeer(state, step, record);
    if (peer == nullptr) {
        return;
    }
    peer->linkUp = change.up;
    log(step, change.up ? "entry-link-up" : "entry-link-down", {{"entry", change.peer.name}});
    if (!change.up) {
        peer->linkDownSince = state.now;
        return;
    }
    announceMap(state, step, change.peer.name);
    sendSettingsAck(state, step, change.peer.name);
    std::vector<Protocol::Partition> reachable;
    for (Protocol::Partition partition = 0; state.map && partition < Protocol::partitionCount; ++partition) {
        if (owns(*state.map, change.peer, partition)) {
            reachable.push_back(partition);
        }
    }
    if (!reachable.empty()) {
        step.changes.emplace_back(OwnerChanged{std::move(reachable)});
    }
}

void peersTick(ClusterState &state, Step &step)
{
    if (state.now < state.nextHeartbeatAt) {
        return;
    }
    state.nextHeartbeatAt = state.now + Protocol::heartbeatInterval;
    sendHeartbeats(state, step);
    removeSilentPeers(state, step);
}

} // namespace LaburnumFlow::Cluster::Internal
