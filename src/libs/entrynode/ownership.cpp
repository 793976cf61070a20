#include "ownership.h"

#include "entrynodeconstants.h"

#include "base/earliest.h"

#include <algorithm>
#include <utility>

namespace LaburnumFlow::EntryNode {

namespace {

using Mode = OwnershipState::Mode;

struct Context {
    OwnershipState &state;
    OwnershipEffects &effects;
};

void decide(Context &context, std::string event, std::vector<std::pair<std::string, std::string>> fields)
{
    context.effects.push_back(OwnershipDecision{std::move(event), std::move(fields)});
}

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

/// An entry that is cut off from most others would serve fewer callers than the present owner.
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

/// Why the owner should be replaced; empty if it should not.
std::string claimReason(const OwnershipState &state)
{
    if (!state.everRead || !storeReachable(state) || state.mode != Mode::Following) {
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
    const Base::Duration silence = state.now - state.ownerSeenAt;
    if (!present && silence > ownerQuietLimit) {
        return "absent";
    }
    if (state.ownerGone && reachesMostEntries(state)) {
        return "gone";
    }
    if (silence > ownerUnreachableLimit && reachesMostEntries(state)) {
        return "unreachable";
    }
    // The store must have answered since: it may be down for all.
    const bool onlyOwnerCutOff = state.cutOffSince != Base::MonoTime{} && state.storeAnsweredAt > state.cutOffSince + ownerCutOffLimit / 2;
    if (onlyOwnerCutOff && state.now - state.cutOffSince > ownerCutOffLimit) {
        return "cut-off";
    }
    return {};
}

void claimIfNeeded(Context &context)
{
    OwnershipState &state = context.state;
    const std::string reason = claimReason(state);
    if (reason.empty()) {
        return;
    }
    const auto stagger = claimStagger * (100 - std::min<std::int64_t>(state.self.processorPercent, 100)) / 100;
    const bool silent = reason == "absent" || reason == "unreachable";
    if (silent && state.now - state.ownerSeenAt < ownerQuietLimit + stagger) {
        return;
    }
    state.claim = {state.owner ? state.owner->epoch + 1 : 1, 0, state.self.name, state.self.incarnation, {}};
    if (state.owner) {
        state.claim.agents = state.owner->agents;
    }
    state.mode = Mode::Claiming;
    decide(context, "owner.claim", {{"epoch", std::to_string(state.claim.epoch)}, {"reason", reason}, {"former", state.owner ? state.owner->owner : ""}});
    context.effects.push_back(Claim{state.ownerRevision, state.claim});
}

void beginLoading(Context &context, std::int64_t revision)
{
    context.state.mode = Mode::Loading;
    context.state.ownerRevision = revision;
    context.effects.push_back(LoadJobs{});
}

void follow(Context &context)
{
    OwnershipState &state = context.state;
    state.mode = Mode::Following;
    // What was read before is out of date.
    state.everRead = false;
    state.readNotBefore = state.now;
    state.ownerSeenAt = state.now;
}

void handle(Context &context, const ClusterTime &event)
{
    context.state.now = event.now;
}

void noteEntries(Context &context, const std::vector<Jobs::EntryRecord> &entries)
{
    OwnershipState &state = context.state;
    const std::vector<Base::Endpoint> before = entryEndpoints(state);
    for (auto &[name, peer] : state.peers) {
        peer.present = false;
    }
    for (const Jobs::EntryRecord &record : entries) {
        if (record.name == state.self.name) {
            // Written by a former life of this entry, or removed with its lease and written anew.
            state.presenceWritten = state.presenceWritten && record.incarnation == state.self.incarnation;
            continue;
        }
        Peer &peer = state.peers[record.name];
        if (peer.record != record && (peer.linked || peer.dialing)) {
            context.effects.push_back(HangUpPeer{record.name});
            peer.linked = false;
            peer.dialing = false;
        }
        peer.record = record;
        peer.present = true;
    }
    std::erase_if(state.peers, [](const auto &entry) { return !entry.second.present && !entry.second.linked && !entry.second.dialing; });
    const std::vector<Base::Endpoint> after = entryEndpoints(state);
    if (before != after) {
        context.effects.push_back(EntriesKnown{after});
    }
}

void noteOwner(Context &context, const ClusterRead::Content &content)
{
    OwnershipState &state = context.state;
    const bool sameOwner = state.owner && content.owner && state.owner->owner == content.owner->owner && state.owner->epoch == content.owner->epoch;
    if (!sameOwner) {
        state.ownerSeenAt = state.now;
        state.ownerGone = false;
        state.cutOffSince = {};
    }
    state.owner = content.owner;
    state.ownerRevision = content.ownerRevision;
    if (!sameOwner) {
        context.effects.push_back(OwnerKnown{content.owner ? content.owner->owner : std::string()});
    }
}

void handle(Context &context, const ClusterRead &event)
{
    OwnershipState &state = context.state;
    state.readInProgress = false;
    state.readNotBefore = state.now + clusterReadInterval;
    if (!event.content) {
        return;
    }
    state.storeAnsweredAt = state.now;
    const bool presenceListed = std::any_of(event.content->entries.begin(), event.content->entries.end(), [&state](const Jobs::EntryRecord &record) {
        return record.name == state.self.name && record.incarnation == state.self.incarnation;
    });
    // The key may vanish without notice while the lease seems to be alive.
    if (!presenceListed && state.presenceWritten && !state.presenceCallInProgress) {
        state.presenceWritten = false;
        state.lease = 0;
    }
    noteEntries(context, event.content->entries);
    // While claiming or owning, the outcome of the own writes says who owns the jobs.
    if (state.mode == Mode::Following || state.mode == Mode::Confirming || state.mode == Mode::Leaving) {
        const bool confirming = state.mode == Mode::Confirming;
        noteOwner(context, *event.content);
        if (confirming) {
            const bool won = state.owner && isSelf(state, *state.owner) && state.owner->epoch == state.claim.epoch;
            state.mode = Mode::Following;
            if (won) {
                beginLoading(context, state.ownerRevision);
            }
        }
    }
    state.everRead = true;
    const bool ours = state.mode == Mode::Owning || state.mode == Mode::Loading;
    if (ours && event.content->owner && event.content->owner->epoch > state.claim.epoch) {
        context.effects.push_back(Deposed{event.content->owner->epoch});
    }
}

void handle(Context &context, const LeaseGranted &event)
{
    OwnershipState &state = context.state;
    state.presenceCallInProgress = false;
    state.presenceWritten = false;
    state.lease = event.lease;
    if (event.lease == 0) {
        state.presenceNotBefore = state.now + presenceRenewal;
    }
}

void handle(Context &context, const LeaseKept &event)
{
    OwnershipState &state = context.state;
    state.presenceCallInProgress = false;
    state.presenceNotBefore = state.now + presenceRenewal;
    if (event.outcome == LeaseKept::Outcome::Kept) {
        state.storeAnsweredAt = state.now;
    }
    if (event.outcome == LeaseKept::Outcome::Gone) {
        state.lease = 0;
        state.presenceNotBefore = state.now;
    }
}

void handle(Context &context, const PresenceWritten &event)
{
    OwnershipState &state = context.state;
    state.presenceCallInProgress = false;
    state.presenceNotBefore = state.now + presenceRenewal;
    state.presenceWritten = event.outcome == PresenceWritten::Outcome::Written;
    if (event.outcome == PresenceWritten::Outcome::LeaseGone) {
        state.lease = 0;
    }
}

void handle(Context &context, const ClaimEnded &event)
{
    OwnershipState &state = context.state;
    if (state.mode != Mode::Claiming) {
        return;
    }
    decide(context, "owner.claim-ended", {{"epoch", std::to_string(state.claim.epoch)}, {"outcome", std::to_string(static_cast<int>(event.outcome))}});
    switch (event.outcome) {
    case ClaimEnded::Outcome::Won:
        state.storeAnsweredAt = state.now;
        beginLoading(context, event.revision);
        return;
    case ClaimEnded::Outcome::Unknown:
        state.mode = Mode::Confirming;
        state.readNotBefore = state.now;
        return;
    case ClaimEnded::Outcome::Lost:
    case ClaimEnded::Outcome::Refused:
        follow(context);
        return;
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
    state.beatNotBefore = state.now;
    state.owner = state.claim;
    context.effects.push_back(BeginOwning{state.claim, state.ownerRevision});
    context.effects.push_back(OwnerKnown{state.self.name});
}

void handle(Context &context, const PeerLinked &event)
{
    Peer &peer = context.state.peers[event.name];
    peer.linked = true;
    peer.dialing = false;
    context.state.beatNotBefore = context.state.now;
}

void handle(Context &context, const PeerUnlinked &event)
{
    Peer &peer = context.state.peers[event.name];
    peer.dialing = false;
    // The first dial after a loss tells at once whether the process is still there.
    const bool first = std::exchange(peer.linked, false);
    peer.dialNotBefore = first && !event.refused ? context.state.now : context.state.now + dialRetry;
    const bool isOwner = context.state.owner && context.state.owner->owner == event.name;
    context.state.ownerGone = (context.state.ownerGone && !isOwner) || (isOwner && event.refused);
}

/// An entry that the store turns away still learns of a new owner.
void learnOwner(Context &context, const PeerBeat &event)
{
    OwnershipState &state = context.state;
    state.readNotBefore = state.now;
    if (state.mode == Mode::Owning || state.mode == Mode::Loading) {
        context.effects.push_back(Deposed{event.beat.ownedEpoch});
        return;
    }
    state.owner = Jobs::OwnerRecord{event.beat.ownedEpoch, 0, event.name, 0, {}};
    state.ownerSeenAt = state.now;
    state.ownerGone = false;
    state.cutOffSince = {};
    // The revision that a claim needs is not known.
    state.everRead = false;
    context.effects.push_back(OwnerKnown{event.name});
}

void handle(Context &context, const PeerBeat &event)
{
    OwnershipState &state = context.state;
    if (event.beat.resigned) {
        state.readNotBefore = state.now;
        return;
    }
    const bool fromOwner = state.owner && state.owner->owner == event.name;
    if (event.beat.ownedEpoch == 0 || (state.owner && event.beat.ownedEpoch < state.owner->epoch)) {
        return;
    }
    if (!fromOwner || state.owner->epoch != event.beat.ownedEpoch) {
        learnOwner(context, event);
        return;
    }
    state.ownerSeenAt = state.now;
    state.ownerGone = false;
    if (event.beat.storeReachable) {
        state.cutOffSince = {};
    } else if (state.cutOffSince == Base::MonoTime{}) {
        state.cutOffSince = state.now;
    }
}

void handle(Context &context, const SteppedDown & /*event*/)
{
    context.effects.push_back(OwnerKnown{});
    context.state.owner.reset();
    const bool leaving = context.state.mode == Mode::Leaving;
    follow(context);
    context.state.mode = leaving ? Mode::Leaving : Mode::Following;
}

void handle(Context &context, const OwnerProgress & /*event*/)
{
    context.state.storeAnsweredAt = context.state.now;
}

void handle(Context &context, const LeaveRequested & /*event*/)
{
    context.state.mode = Mode::Leaving;
    context.state.readNotBefore = context.state.now;
}

void maintainPresence(Context &context)
{
    OwnershipState &state = context.state;
    if (state.presenceCallInProgress || state.now < state.presenceNotBefore || state.mode == Mode::Leaving) {
        return;
    }
    state.presenceCallInProgress = true;
    if (state.lease == 0) {
        context.effects.push_back(GrantLease{state.presenceTerm});
    } else if (!state.presenceWritten) {
        context.effects.push_back(WritePresence{state.lease, state.self});
    } else {
        context.effects.push_back(KeepLease{state.lease});
    }
}

void dialPeers(Context &context)
{
    OwnershipState &state = context.state;
    for (auto &[name, peer] : state.peers) {
        if (peer.linked || peer.dialing || !peer.present || state.now < peer.dialNotBefore) {
            continue;
        }
        peer.dialing = true;
        context.effects.push_back(DialPeer{name, peer.record.peers});
    }
}

void sendBeats(Context &context)
{
    OwnershipState &state = context.state;
    if (state.mode != Mode::Owning || state.now < state.beatNotBefore) {
        return;
    }
    state.beatNotBefore = state.now + beatInterval;
    const Jobs::EntryBeat beat{state.claim.epoch, storeReachable(state), false};
    for (const auto &[name, peer] : state.peers) {
        if (peer.linked) {
            context.effects.push_back(SendBeat{name, beat});
        }
    }
}

void readCluster(Context &context)
{
    OwnershipState &state = context.state;
    if (state.readInProgress || state.now < state.readNotBefore) {
        return;
    }
    state.readInProgress = true;
    context.effects.push_back(ReadCluster{});
}

} // namespace

OwnershipState makeOwnership(Jobs::EntryRecord self, Base::Duration presenceTerm, Base::MonoTime now)
{
    OwnershipState state;
    state.self = std::move(self);
    state.presenceTerm = presenceTerm;
    state.now = now;
    state.ownerSeenAt = now;
    return state;
}

OwnershipEffects reduce(OwnershipState &state, const OwnershipEvent &event)
{
    OwnershipEffects effects;
    Context context{state, effects};
    std::visit([&context](const auto &what) { handle(context, what); }, event);
    claimIfNeeded(context);
    maintainPresence(context);
    dialPeers(context);
    sendBeats(context);
    readCluster(context);
    return effects;
}

std::optional<Base::MonoTime> nextDue(const OwnershipState &state)
{
    Base::Earliest due;
    if (!state.readInProgress) {
        due.consider(state.readNotBefore);
    }
    if (!state.presenceCallInProgress && state.mode != Mode::Leaving) {
        due.consider(state.presenceNotBefore);
    }
    if (state.mode == Mode::Owning) {
        due.consider(state.beatNotBefore);
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
    return state.storeAnsweredAt != Base::MonoTime{} && state.now - state.storeAnsweredAt < storeFreshLimit;
}

} // namespace LaburnumFlow::EntryNode
