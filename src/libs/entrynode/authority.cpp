#include "ownershipsteps.h"

#include "entrynodeconstants.h"

#include "jobs/jobsconstants.h"

#include <algorithm>
#include <utility>

namespace LaburnumFlow::EntryNode::Internal {

namespace {

using Mode = OwnershipState::Mode;

bool isOwnClaimHeld(const OwnershipState &state)
{
    return state.mode == Mode::Owning || state.mode == Mode::Loading;
}

/// Returns until when this entry would know of another owner that it can know of, as a read of the cluster has ended recently. An entry that
/// has just started or stood still would not.
Base::MonoTime knowledgeCurrentUntil(const OwnershipState &state)
{
    if (!state.clusterRead) {
        return {};
    }
    return state.lastReadStartedAt + (state.lastReadSucceeded ? maxReadAgeForConfirmation : maxFailedReadAgeForConfirmation);
}

/// Returns until when most other entries have confirmed this entry as the owner.
Base::MonoTime othersConfirmedUntil(const OwnershipState &state)
{
    std::vector<Confirmation> confirmations;
    for (const auto &[name, peer] : state.peers) {
        if (peer.present || peer.linked) {
            confirmations.push_back(confirmationBy(state, peer));
        }
    }
    return confirmedUntil(confirmations);
}

/// Returns whether the owner in this process must learn of the new end of its authority. Small extensions are left out, as each
/// confirmation by a peer would cause one.
bool isReportDue(const OwnershipState &state, Base::MonoTime until)
{
    const bool ended = state.now >= state.authorityUntil;
    return until < state.authorityUntil || until - state.authorityUntil >= minAuthorityExtension || (ended && until > state.now);
}

/// Returns until when most entries, this one included, know no newer owner.
Base::MonoTime majorityConfirmedUntil(const OwnershipState &state)
{
    return std::min({othersConfirmedUntil(state), confirmersConfirmedUntil(state), knowledgeCurrentUntil(state)});
}

std::string formatAge(Base::Duration age)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

void logAuthority(Context &context, bool granted)
{
    const OwnershipState &state = context.state;
    const auto linked = std::count_if(state.peers.begin(), state.peers.end(), [](const auto &peer) { return peer.second.linked; });
    logDecision(context,
                granted ? "owner.authorized" : "owner.unauthorized",
                {{"epoch", std::to_string(state.claim.epoch)},
                 {"confirmed_ms", formatAge(state.now - state.claimConfirmedAt)},
                 {"entries", std::to_string(state.peers.size())},
                 {"linked", std::to_string(linked)}});
}

Jobs::EntryBeatReply makeReply(const OwnershipState &state, std::int64_t token)
{
    Jobs::EntryBeatReply reply;
    reply.token = token;
    reply.ownerEpoch = state.highestEpoch;
    if (isOwnClaimHeld(state)) {
        reply.ownerPeers = state.self.peers;
        return reply;
    }
    if (!state.owner || state.owner->epoch != state.highestEpoch) {
        return reply;
    }
    reply.ownerPeers = peerEndpoint(state, state.owner->owner);
    if (state.ownerReadAt) {
        reply.readAgeMs = static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(state.now - *state.ownerReadAt).count());
    }
    return reply;
}

} // namespace

Base::Endpoint peerEndpoint(const OwnershipState &state, const std::string &name)
{
    const auto found = state.peers.find(name);
    return found == state.peers.end() ? Base::Endpoint{} : found->second.record.peers;
}

void recordEpoch(OwnershipState &state, std::uint64_t epoch)
{
    if (epoch > state.highestEpoch) {
        state.highestEpoch = epoch;
        outdateRead(state);
    }
}

void confirmClaim(OwnershipState &state, Base::MonoTime at)
{
    state.claimConfirmedAt = std::max(state.claimConfirmedAt, at);
}

void endOwnership(Context &context, std::uint64_t epoch, Base::Endpoint successor)
{
    recordEpoch(context.state, epoch);
    context.effects.push_back(OwnershipLost{epoch, std::move(successor)});
}

void replyToHeartbeat(Context &context, const PeerHeartbeat &event)
{
    const OwnershipState &state = context.state;
    // A claim in progress may already have replaced the sender.
    const bool claiming = state.mode == Mode::Claiming || state.mode == Mode::Confirming;
    const bool replaced = isOwnClaimHeld(state) && state.claim.epoch < state.highestEpoch;
    const bool confirms = event.heartbeat.ownerEpoch >= state.highestEpoch;
    if (claiming || replaced || (confirms && state.now >= knowledgeCurrentUntil(state))) {
        return;
    }
    context.effects.push_back(SendHeartbeatReply{event.name, makeReply(state, event.heartbeat.token)});
}

void handlePeer(Context &context, const PeerHeartbeatReply &event)
{
    OwnershipState &state = context.state;
    if (!isOwnClaimHeld(state)) {
        return;
    }
    if (event.reply.ownerEpoch > state.claim.epoch) {
        endOwnership(context, event.reply.ownerEpoch, event.reply.ownerPeers);
        return;
    }
    if (event.reply.ownerEpoch < state.claim.epoch) {
        return;
    }
    state.confirmers.acknowledged.insert(event.name);
    const Base::MonoTime sentAt = std::chrono::milliseconds(event.reply.token);
    Peer &peer = state.peers[event.name];
    peer.confirmedOwnerAt = std::max(peer.confirmedOwnerAt, sentAt);
    if (event.reply.readAgeMs) {
        confirmClaim(state, sentAt - std::chrono::milliseconds(*event.reply.readAgeMs));
    }
}

void updateAuthority(Context &context)
{
    OwnershipState &state = context.state;
    if (state.mode != Mode::Owning) {
        return;
    }
    const Base::MonoTime storeConfirmedUntil = state.claimConfirmedAt + Jobs::ownerAuthorityTimeout;
    const Base::MonoTime until = std::max(storeConfirmedUntil, majorityConfirmedUntil(state));
    const bool confirmedByStore = state.now < storeConfirmedUntil;
    if (confirmedByStore != state.claimConfirmedByStore || isReportDue(state, until)) {
        state.claimConfirmedByStore = confirmedByStore;
        state.authorityUntil = until;
        context.effects.push_back(AuthorityRenewed{until, confirmedByStore, state.claimConfirmedAt});
    }
    const bool granted = state.now < state.authorityUntil;
    if (granted != state.authorityGranted) {
        state.authorityGranted = granted;
        logAuthority(context, granted);
    }
}

} // namespace LaburnumFlow::EntryNode::Internal
