#include "ownership.h"

#include "entrynodeconstants.h"
#include "ownershipsteps.h"

#include "base/earliest.h"

#include <algorithm>
#include <utility>

namespace LaburnumFlow::EntryNode {

namespace {

using Mode = OwnershipState::Mode;

using Internal::Context;

void handle(Context &context, const LeaseGranted &event)
{
    Internal::handleLease(context, event);
}

void handle(Context &context, const LeaseRenewed &event)
{
    Internal::handleLease(context, event);
}

void handle(Context &context, const PresenceWritten &event)
{
    Internal::handlePresence(context, event);
}

void handle(Context &context, const ClaimEnded &event)
{
    Internal::handleClaimEnded(context, event);
}

void handle(Context &context, const ConfirmersWritten &event)
{
    Internal::handleConfirmersWritten(context, event);
}

void handle(Context &context, const PeerLinked &event)
{
    Internal::handlePeer(context, event);
}

void handle(Context &context, const PeerUnlinked &event)
{
    Internal::handlePeer(context, event);
}

void handle(Context &context, const PeerHeartbeat &event)
{
    Internal::handlePeer(context, event);
}

void handle(Context &context, const PeerHeartbeatReply &event)
{
    Internal::handlePeer(context, event);
}

void handle(Context &context, const TimePassed &event)
{
    context.state.now = event.now;
}

/// Compares this entry's claim with the owner record that has been read.
void checkClaim(Context &context, const std::optional<Jobs::OwnerRecord> &owner)
{
    OwnershipState &state = context.state;
    if (owner && owner->epoch > state.claim.epoch) {
        Internal::endOwnership(context, owner->epoch, Internal::peerEndpoint(state, owner->owner));
    } else if (owner && owner->epoch == state.claim.epoch && owner->owner == state.self.name) {
        Internal::confirmClaim(state, state.readStartedAt);
    }
}

void handle(Context &context, const ClusterRead &event)
{
    OwnershipState &state = context.state;
    state.readInProgress = false;
    state.lastReadStartedAt = state.readStartedAt;
    state.lastReadSucceeded = event.content.has_value();
    // A slow store must not end the owner's authority between two reads.
    state.readNotBefore = (state.mode == Mode::Owning ? state.readStartedAt : state.now) + clusterReadInterval;
    if (!event.content) {
        return;
    }
    state.clusterRead = true;
    Internal::recordStoreResponse(state);
    Internal::checkPresence(context, event.content->entries);
    Internal::updatePeers(context, event.content->entries);
    const bool ownsJobs = state.mode == Mode::Owning || state.mode == Mode::Loading;
    if (state.readOutdated && !ownsJobs) {
        state.readNotBefore = state.now;
        return;
    }
    Internal::readConfirmers(state, *event.content);
    // While claiming or owning, the outcomes of this entry's own writes tell who owns the jobs.
    const bool confirming = state.mode == Mode::Confirming;
    if (state.mode == Mode::Following || confirming) {
        Internal::updateOwner(context, *event.content);
    }
    if (confirming) {
        Internal::resolveUnknownClaim(context);
    }
    state.ownerRecordCurrent = true;
    if (state.mode == Mode::Owning || state.mode == Mode::Loading) {
        checkClaim(context, event.content->owner);
    }
}

void handle(Context &context, const JobsLoaded &event)
{
    OwnershipState &state = context.state;
    if (state.mode != Mode::Loading) {
        return;
    }
    if (!event.complete) {
        context.effects.push_back(LoadJobs{});
        return;
    }
    state.mode = Mode::Owning;
    state.heartbeatNotBefore = state.now;
    state.owner = state.claim;
    state.authorityUntil = {};
    state.authorityGranted = true;
    context.effects.push_back(BeginOwning{state.claim, state.ownerRevision});
    context.effects.push_back(OwnerChanged{state.self.name});
}

void handle(Context &context, const SteppedDown & /*event*/)
{
    context.effects.push_back(OwnerChanged{});
    context.state.owner.reset();
    Internal::resumeFollowing(context);
}

void handle(Context &context, const OwnerCommitted &event)
{
    Internal::recordStoreResponse(context.state);
    Internal::confirmClaim(context.state, event.sentAt);
}

void handle(Context &context, const StopRequested & /*event*/)
{
    context.state.stopping = true;
}

void readCluster(Context &context)
{
    OwnershipState &state = context.state;
    if (state.readInProgress || state.now < state.readNotBefore) {
        return;
    }
    state.readInProgress = true;
    state.readOutdated = false;
    state.readStartedAt = state.now;
    context.effects.push_back(ReadCluster{});
}

} // namespace

namespace Internal {

void logDecision(Context &context, std::string event, std::vector<std::pair<std::string, std::string>> fields)
{
    context.effects.push_back(OwnershipDecision{std::move(event), std::move(fields)});
}

void recordStoreResponse(OwnershipState &state)
{
    if (!storeReachable(state)) {
        state.storeReachableSince = state.now;
    }
    state.lastStoreResponseAt = state.now;
}

void outdateRead(OwnershipState &state)
{
    state.readOutdated = state.readOutdated || state.readInProgress;
}

} // namespace Internal

OwnershipState makeOwnership(Jobs::EntryRecord self, Base::Duration presenceTtl, Base::MonoTime now)
{
    OwnershipState state;
    state.self = std::move(self);
    state.presenceTtl = presenceTtl;
    state.now = now;
    state.ownerSilentSince = now;
    return state;
}

OwnershipEffects reduce(OwnershipState &state, const OwnershipEvent &event)
{
    OwnershipEffects effects;
    Context context{state, effects};
    std::visit([&context](const auto &what) { handle(context, what); }, event);
    Internal::claimIfNeeded(context);
    Internal::maintainPresence(context);
    Internal::dialPeers(context);
    Internal::sendHeartbeats(context);
    readCluster(context);
    Internal::updateConfirmers(context);
    Internal::updateAuthority(context);
    return effects;
}

std::optional<Base::MonoTime> nextDue(const OwnershipState &state)
{
    Base::Earliest due;
    if (!state.readInProgress) {
        due.consider(state.readNotBefore);
    }
    if (!state.presenceCallInProgress && !state.stopping) {
        due.consider(state.presenceNotBefore);
    }
    if (state.mode == Mode::Owning) {
        due.consider(state.heartbeatNotBefore);
        if (state.authorityGranted && state.authorityUntil != Base::MonoTime::max()) {
            due.consider(state.authorityUntil);
        }
    }
    if (state.claimableSince && state.now < state.claimNotBefore) {
        due.consider(state.claimNotBefore);
    }
    if (state.claimableSince && state.now < *state.claimableSince + largerEntryGracePeriod) {
        due.consider(*state.claimableSince + largerEntryGracePeriod);
    }
    for (const auto &[name, peer] : state.peers) {
        if (!peer.linked && !peer.dialing && peer.present) {
            due.consider(peer.dialNotBefore);
        }
    }
    return due.time();
}

bool hasSuccessor(const OwnershipState &state)
{
    return std::any_of(state.peers.begin(), state.peers.end(), [](const auto &entry) { return entry.second.present && entry.second.linked; });
}

bool storeReachable(const OwnershipState &state)
{
    return state.lastStoreResponseAt != Base::MonoTime{} && state.now - state.lastStoreResponseAt < storeSilenceTimeout;
}

} // namespace LaburnumFlow::EntryNode
