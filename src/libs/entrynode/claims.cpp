#include "ownershipsteps.h"

#include "entrynodeconstants.h"

#include <algorithm>
#include <string_view>

namespace LaburnumFlow::EntryNode::Internal {

namespace {

using Mode = OwnershipState::Mode;

bool isSelf(const OwnershipState &state, const Jobs::OwnerRecord &owner)
{
    return owner.owner == state.self.name && owner.incarnation == state.self.incarnation;
}

const Peer *ownerPeer(const OwnershipState &state)
{
    if (!state.owner) {
        return nullptr;
    }
    const auto found = state.peers.find(state.owner->owner);
    return found == state.peers.end() ? nullptr : &found->second;
}

/// Returns whether a linked entry other than the owner has a larger processor share. The owner places all jobs, and one with a small
/// share places them late.
bool hasLargerPeer(const OwnershipState &state)
{
    return std::any_of(state.peers.begin(), state.peers.end(), [&state](const auto &entry) {
        const auto &[name, peer] = entry;
        const bool isOwner = state.owner && state.owner->owner == name;
        return !isOwner && peer.present && peer.linked && peer.record.processorPercent > state.self.processorPercent;
    });
}

/// Returns whether this entry is linked to at least half of the present entries. An entry that can't reach most others would serve fewer
/// callers than the current owner.
bool reachesMostEntries(const OwnershipState &state)
{
    std::size_t present = 0;
    std::size_t linked = 0;
    for (const auto &[name, peer] : state.peers) {
        present += peer.present ? 1 : 0;
        linked += peer.present && peer.linked ? 1 : 0;
    }
    return linked > 0 && linked * 2 >= present;
}

/// Returns why this entry should replace the owner, as a word of the decision log; empty if it should not.
std::string claimReason(const OwnershipState &state)
{
    if (!state.ownerRecordCurrent || !storeReachable(state) || state.mode != Mode::Following) {
        return {};
    }
    if (!state.owner || state.owner->owner.empty()) {
        return "vacant";
    }
    if (state.owner->owner == state.self.name) {
        return "own-former-life";
    }
    const Peer *peer = ownerPeer(state);
    const bool present = peer != nullptr && peer->present && peer->record.incarnation == state.owner->incarnation;
    const Base::Duration silence = state.now - state.ownerSilentSince;
    if (!present && silence > ownerSilenceTimeout) {
        return "absent";
    }
    if (state.ownerRefusesConnections && reachesMostEntries(state)) {
        return "gone";
    }
    if (silence > ownerUnreachableTimeout && reachesMostEntries(state)) {
        return "unreachable";
    }
    // In or after an outage of the store for all entries, it may respond to the owner a moment later than to this entry.
    const bool storeAnsweredSinceCutOff
        = state.ownerCutOffSince != Base::MonoTime{} && state.lastStoreResponseAt > state.ownerCutOffSince + ownerCutOffTimeout / 2;
    if (storeAnsweredSinceCutOff && state.now - std::max(state.ownerCutOffSince, state.storeReachableSince) > ownerCutOffTimeout) {
        return "cut-off";
    }
    return {};
}

std::string_view outcomeName(ClaimEnded::Outcome outcome)
{
    switch (outcome) {
    case ClaimEnded::Outcome::Won:
        return "won";
    case ClaimEnded::Outcome::Lost:
        return "lost";
    case ClaimEnded::Outcome::Refused:
        return "refused";
    case ClaimEnded::Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

void beginLoading(Context &context, std::int64_t revision, Base::MonoTime claimHeldAt)
{
    context.state.mode = Mode::Loading;
    context.state.ownerRevision = revision;
    context.state.claimWonAt = context.state.now;
    // The claim has written both records under one revision.
    adoptConfirmers(context.state, context.state.confirmers.claimed, revision);
    recordEpoch(context.state, context.state.claim.epoch);
    confirmClaim(context.state, claimHeldAt);
    context.effects.push_back(LoadJobs{});
}

} // namespace

void claimIfNeeded(Context &context)
{
    OwnershipState &state = context.state;
    const std::string reason = claimReason(state);
    if (reason.empty() || state.stopping) {
        state.claimableSince.reset();
        return;
    }
    state.claimableSince = state.claimableSince.value_or(state.now);
    if (state.now < state.claimNotBefore) {
        return;
    }
    if (hasLargerPeer(state) && state.now - *state.claimableSince < largerEntryGracePeriod) {
        return;
    }
    const auto stagger = claimDelayMax * (100 - std::min<std::int64_t>(state.self.processorPercent, 100)) / 100;
    const bool silent = reason == "absent" || reason == "unreachable";
    if (silent && state.now - state.ownerSilentSince < ownerSilenceTimeout + stagger) {
        return;
    }
    // A record of the owner that can't be read names no epoch, but workers refuse calls with an epoch below the former one.
    const std::uint64_t formerEpoch = std::max(state.owner ? state.owner->epoch : 0, state.highestEpoch);
    state.claim = {formerEpoch + 1, 0, state.self.name, state.self.incarnation, {}};
    if (state.owner) {
        state.claim.agents = state.owner->agents;
    }
    state.claimableSince.reset();
    state.claimedAt = state.now;
    state.mode = Mode::Claiming;
    logDecision(context, "owner.claim", {{"epoch", std::to_string(state.claim.epoch)}, {"reason", reason}, {"former", state.owner ? state.owner->owner : ""}});
    state.confirmers.claimed = claimedConfirmers(state);
    context.effects.push_back(Claim{state.ownerRevision, state.claim, {state.confirmers.lastReadRevision, state.confirmers.claimed}});
}

void handleClaimEnded(Context &context, const ClaimEnded &event)
{
    OwnershipState &state = context.state;
    if (state.mode != Mode::Claiming) {
        return;
    }
    logDecision(context, "owner.claim-ended", {{"epoch", std::to_string(state.claim.epoch)}, {"outcome", std::string(outcomeName(event.outcome))}});
    switch (event.outcome) {
    case ClaimEnded::Outcome::Won:
        recordStoreResponse(state);
        beginLoading(context, event.revision, state.claimedAt);
        return;
    case ClaimEnded::Outcome::Unknown:
        state.claimNotBefore = state.now + claimRetryDelay;
        state.mode = Mode::Confirming;
        state.readNotBefore = state.now;
        outdateRead(state);
        return;
    case ClaimEnded::Outcome::Refused:
        state.claimNotBefore = state.now + claimRetryDelay;
        resumeFollowing(context);
        return;
    case ClaimEnded::Outcome::Lost:
        resumeFollowing(context);
        return;
    }
}

void resolveUnknownClaim(Context &context)
{
    OwnershipState &state = context.state;
    const bool won = state.owner && isSelf(state, *state.owner) && state.owner->epoch == state.claim.epoch;
    state.mode = Mode::Following;
    const std::optional<Jobs::ConfirmerRecord> &stored = state.confirmers.lastRead;
    if (stored && stored->epoch == state.claim.epoch) {
        // An earlier claim of the same epoch may have been executed late, with other confirmers.
        state.confirmers.claimed = *stored;
    }
    if (won) {
        beginLoading(context, state.ownerRevision, state.readStartedAt);
    }
}

void resumeFollowing(Context &context)
{
    OwnershipState &state = context.state;
    state.mode = Mode::Following;
    // The record may have changed since the last read.
    state.ownerRecordCurrent = false;
    state.readNotBefore = state.now;
    outdateRead(state);
    state.ownerSilentSince = state.now;
}

void updateOwner(Context &context, const ClusterRead::Content &content)
{
    OwnershipState &state = context.state;
    const bool sameOwner = state.owner && content.owner && state.owner->owner == content.owner->owner && state.owner->epoch == content.owner->epoch;
    if (!sameOwner) {
        state.ownerSilentSince = state.now;
        state.ownerRefusesConnections = false;
        state.ownerCutOffSince = {};
    }
    state.owner = content.owner;
    state.ownerReadAt = state.readStartedAt;
    recordEpoch(state, content.owner ? content.owner->epoch : 0);
    state.ownerRevision = content.ownerRevision;
    if (!sameOwner) {
        context.effects.push_back(OwnerChanged{content.owner ? content.owner->owner : std::string()});
    }
}

} // namespace LaburnumFlow::EntryNode::Internal
