#include "ownershipsteps.h"

#include "entrynodeconstants.h"

#include <utility>

namespace LaburnumFlow::EntryNode::Internal {

namespace {

using Mode = OwnershipState::Mode;

std::vector<Base::Endpoint> entryEndpoints(const OwnershipState &state)
{
    std::vector<Base::Endpoint> endpoints{state.self.peers};
    for (const auto &[name, peer] : state.peers) {
        if (peer.present) {
            endpoints.push_back(peer.record.peers);
        }
    }
    return endpoints;
}

/// Learns of a new owner from its heartbeat, so that an entry that can't reach the store learns of it too.
void adoptOwnerFromHeartbeat(Context &context, const PeerHeartbeat &event)
{
    OwnershipState &state = context.state;
    state.readNotBefore = state.now;
    if (state.mode == Mode::Owning || state.mode == Mode::Loading) {
        endOwnership(context, event.heartbeat.ownerEpoch, peerEndpoint(state, event.name));
        return;
    }
    recordEpoch(state, event.heartbeat.ownerEpoch);
    state.owner = Jobs::OwnerRecord{event.heartbeat.ownerEpoch, 0, event.name, 0, {}};
    state.ownerReadAt.reset();
    state.ownerSilentSince = state.now;
    state.ownerRefusesConnections = false;
    state.ownerCutOffSince = {};
    // The heartbeat doesn't carry the revision that a claim needs.
    state.ownerRecordCurrent = false;
    context.effects.push_back(OwnerChanged{event.name});
}

/// Records the heartbeat of the owner, which may be new.
void followSender(Context &context, const PeerHeartbeat &event)
{
    OwnershipState &state = context.state;
    const bool fromOwner = state.owner && state.owner->owner == event.name;
    if (!fromOwner || state.owner->epoch != event.heartbeat.ownerEpoch) {
        adoptOwnerFromHeartbeat(context, event);
        return;
    }
    state.ownerSilentSince = state.now;
    state.ownerRefusesConnections = false;
    if (event.heartbeat.storeReachable) {
        state.ownerCutOffSince = {};
    } else if (state.ownerCutOffSince == Base::MonoTime{}) {
        state.ownerCutOffSince = state.now;
    }
}

} // namespace

void updatePeers(Context &context, const std::vector<Jobs::EntryRecord> &entries)
{
    OwnershipState &state = context.state;
    const std::vector<Base::Endpoint> before = entryEndpoints(state);
    for (auto &[name, peer] : state.peers) {
        peer.present = false;
    }
    for (const Jobs::EntryRecord &record : entries) {
        if (record.name == state.self.name) {
            continue;
        }
        Peer &peer = state.peers[record.name];
        if (peer.record != record && (peer.linked || peer.dialing)) {
            context.effects.push_back(DisconnectPeer{record.name});
            peer.linked = false;
            peer.dialing = false;
            peer.dialStartedAt.reset();
        }
        if (peer.record != record) {
            peer.refusedAt.reset();
        }
        peer.record = record;
        peer.present = true;
    }
    std::erase_if(state.peers, [&state](const auto &entry) {
        const auto &[name, peer] = entry;
        return !peer.present && !peer.linked && !peer.dialing && !isAwaitedConfirmer(state, name);
    });
    const std::vector<Base::Endpoint> after = entryEndpoints(state);
    if (before != after) {
        context.effects.push_back(EntryEndpointsChanged{after});
    }
}

void handlePeer(Context &context, const PeerLinked &event)
{
    Peer &peer = context.state.peers[event.name];
    peer.linked = true;
    peer.dialing = false;
    peer.dialStartedAt.reset();
    peer.refusedAt.reset();
    context.state.heartbeatNotBefore = context.state.now;
}

void handlePeer(Context &context, const PeerUnlinked &event)
{
    Peer &peer = context.state.peers[event.name];
    peer.dialing = false;
    const Base::MonoTime dialStartedAt = std::exchange(peer.dialStartedAt, std::nullopt).value_or(context.state.now);
    if (event.refused) {
        peer.refusedAt = dialStartedAt;
    }
    // The first dial after a lost link isn't delayed, as it tells whether the process still exists.
    const bool wasLinked = std::exchange(peer.linked, false);
    peer.dialNotBefore = wasLinked && !event.refused ? context.state.now : context.state.now + dialRetryDelay;
    const bool isOwner = context.state.owner && context.state.owner->owner == event.name;
    context.state.ownerRefusesConnections = (context.state.ownerRefusesConnections && !isOwner) || (isOwner && event.refused);
}

void handlePeer(Context &context, const PeerHeartbeat &event)
{
    OwnershipState &state = context.state;
    if (event.heartbeat.steppedDown) {
        state.readNotBefore = state.now;
        return;
    }
    if (event.heartbeat.ownerEpoch == 0) {
        return;
    }
    if (event.heartbeat.ownerEpoch >= state.highestEpoch) {
        followSender(context, event);
    }
    replyToHeartbeat(context, event);
}

void dialPeers(Context &context)
{
    OwnershipState &state = context.state;
    for (auto &[name, peer] : state.peers) {
        const bool wanted = peer.present || isAwaitedConfirmer(state, name);
        if (peer.linked || peer.dialing || !wanted || state.now < peer.dialNotBefore) {
            continue;
        }
        peer.dialing = true;
        peer.dialStartedAt = state.now;
        context.effects.push_back(DialPeer{name, peer.record.peers});
    }
}

void sendHeartbeats(Context &context)
{
    OwnershipState &state = context.state;
    if (state.mode != Mode::Owning || state.now < state.heartbeatNotBefore) {
        return;
    }
    state.heartbeatNotBefore = state.now + heartbeatInterval;
    const std::int64_t token = std::chrono::floor<std::chrono::milliseconds>(state.now).count();
    const Jobs::EntryBeat heartbeat{state.claim.epoch, storeReachable(state), false, token};
    for (const auto &[name, peer] : state.peers) {
        if (peer.linked) {
            context.effects.push_back(SendHeartbeat{name, heartbeat});
        }
    }
}

} // namespace LaburnumFlow::EntryNode::Internal
