#include "ownershipsteps.h"

#include "entrynodeconstants.h"

#include "jobs/jobsconstants.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace LaburnumFlow::EntryNode::Internal {

namespace {

using Mode = OwnershipState::Mode;

bool names(const Jobs::ConfirmerSet &set, const std::string &name)
{
    return std::any_of(set.begin(), set.end(), [&name](const Jobs::Confirmer &confirmer) { return confirmer.name == name; });
}

/// Returns the entries that may be up, this one included.
Jobs::ConfirmerSet presentConfirmers(const OwnershipState &state)
{
    Jobs::ConfirmerSet set{{state.self.name, state.self.peers}};
    for (const auto &[name, peer] : state.peers) {
        if (peer.present || peer.linked) {
            set.push_back({name, peer.record.peers});
        }
    }
    std::sort(set.begin(), set.end(), [](const Jobs::Confirmer &left, const Jobs::Confirmer &right) { return left.name < right.name; });
    return set;
}

/// Returns until when the confirmations, one of each other entry, are those of most entries.
Base::MonoTime majorityUntil(std::vector<Base::MonoTime> confirmations)
{
    const std::size_t required = (confirmations.size() + 1) / 2;
    if (required == 0) {
        return Base::MonoTime::max();
    }
    std::sort(confirmations.begin(), confirmations.end(), std::greater<>());
    return confirmations[required - 1] + Jobs::ownerAuthorityTimeout;
}

Base::MonoTime setConfirmedUntil(const OwnershipState &state, const Jobs::ConfirmerSet &set)
{
    std::vector<Confirmation> confirmations;
    for (const Jobs::Confirmer &confirmer : set) {
        if (confirmer.name != state.self.name) {
            const auto peer = state.peers.find(confirmer.name);
            confirmations.push_back(peer == state.peers.end() ? Confirmation{} : confirmationBy(state, peer->second));
        }
    }
    return confirmedUntil(confirmations);
}

/// Returns whether the entry can't confirm a former owner any more: no process listens at its address, and a new one would read of the claim
/// first. Only a dial that began when the store held the claim tells, as a process that started earlier may have read of the former owner.
bool hasEndedSinceClaim(const OwnershipState &state, const std::string &name)
{
    const auto peer = state.peers.find(name);
    return peer != state.peers.end() && peer->second.refusedAt && *peer->second.refusedAt >= state.claimWonAt;
}

/// Returns whether the entries of the set that may not know of the claim are too few to confirm a former owner.
bool isFenced(const OwnershipState &state, const Jobs::ConfirmerSet &set)
{
    std::size_t informed = 0;
    std::size_t uninformed = 0;
    for (const Jobs::Confirmer &confirmer : set) {
        if (confirmer.name == state.self.name || state.confirmers.acknowledged.contains(confirmer.name)) {
            ++informed;
        } else if (!hasEndedSinceClaim(state, confirmer.name)) {
            ++uninformed;
        }
    }
    // It isn't known who may confirm the owner of an empty set.
    return !set.empty() && informed >= uninformed;
}

/// Returns whether this owner waits for entries to learn of its claim. Those that don't within the timeout may be down for good.
bool awaitsConfirmers(const OwnershipState &state)
{
    return !state.confirmers.formerFenced && state.now - state.claimedAt < Jobs::unfencedRunExpiryTimeout;
}

void checkFormerOwners(Context &context)
{
    OwnershipState &state = context.state;
    const std::vector<Jobs::ConfirmerSet> &former = state.confirmers.former;
    const bool fenced = std::all_of(former.begin(), former.end(), [&state](const Jobs::ConfirmerSet &set) { return isFenced(state, set); });
    if (!fenced || state.confirmers.formerFenced) {
        return;
    }
    state.confirmers.formerFenced = true;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(state.now - state.claimedAt);
    logDecision(context,
                "owner.fenced",
                {{"epoch", std::to_string(state.claim.epoch)},
                 {"ms", std::to_string(age.count())},
                 {"acknowledged", std::to_string(state.confirmers.acknowledged.size())}});
    context.effects.push_back(FormerOwnersFenced{});
}

void writeConfirmers(Context &context)
{
    OwnershipState &state = context.state;
    ConfirmerState &confirmers = state.confirmers;
    if (confirmers.writeInProgress || state.now < confirmers.writeNotBefore || !state.lastReadSucceeded) {
        return;
    }
    if (!confirmers.pending) {
        Jobs::ConfirmerRecord record{state.claim.epoch, presentConfirmers(state), {}};
        if (!confirmers.formerFenced && state.now - state.claimedAt < Jobs::formerOwnerRetention) {
            record.former = confirmers.former;
        }
        if (record == confirmers.recorded) {
            return;
        }
        confirmers.pending = std::move(record);
    }
    confirmers.writeInProgress = true;
    context.effects.push_back(WriteConfirmers{confirmers.recordedRevision, *confirmers.pending});
}

} // namespace

bool isDown(const OwnershipState &state, const Peer &peer)
{
    return peer.refusedAt && state.now - *peer.refusedAt < Jobs::ownerAuthorityTimeout;
}

Confirmation confirmationBy(const OwnershipState &state, const Peer &peer)
{
    return {peer.confirmedOwnerAt, isDown(state, peer) ? peer.refusedAt : std::nullopt};
}

Base::MonoTime confirmedUntil(const std::vector<Confirmation> &confirmations)
{
    std::vector<Base::MonoTime> ofAll;
    std::vector<Base::MonoTime> ofThoseUp;
    Base::MonoTime refusalsCountUntil = Base::MonoTime::max();
    for (const Confirmation &confirmation : confirmations) {
        ofAll.push_back(confirmation.sentAt);
        if (confirmation.refusedAt) {
            refusalsCountUntil = std::min(refusalsCountUntil, *confirmation.refusedAt + Jobs::ownerAuthorityTimeout);
        } else {
            ofThoseUp.push_back(confirmation.sentAt);
        }
    }
    return std::max(majorityUntil(std::move(ofAll)), std::min(majorityUntil(std::move(ofThoseUp)), refusalsCountUntil));
}

Jobs::ConfirmerRecord claimedConfirmers(const OwnershipState &state)
{
    Jobs::ConfirmerRecord record{state.claim.epoch, presentConfirmers(state), {}};
    const std::optional<Jobs::ConfirmerRecord> &former = state.confirmers.lastRead;
    if (former) {
        record.former = former->former;
    }
    const std::uint64_t formerEpoch = state.claim.epoch - 1;
    const Jobs::ConfirmerSet latest = former && former->epoch == formerEpoch ? former->confirmers : Jobs::ConfirmerSet{};
    const bool known = std::find(record.former.begin(), record.former.end(), latest) != record.former.end();
    if (formerEpoch > 0 && !known) {
        record.former.push_back(latest);
    }
    return record;
}

void adoptConfirmers(OwnershipState &state, Jobs::ConfirmerRecord record, std::int64_t revision)
{
    state.confirmers.former = record.former;
    state.confirmers.recorded = std::move(record);
    state.confirmers.recordedRevision = revision;
    state.confirmers.pending.reset();
    state.confirmers.writeInProgress = false;
    state.confirmers.acknowledged.clear();
    state.confirmers.formerFenced = false;
    for (const Jobs::ConfirmerSet &set : state.confirmers.former) {
        for (const Jobs::Confirmer &confirmer : set) {
            if (confirmer.name != state.self.name && !state.peers.contains(confirmer.name)) {
                state.peers[confirmer.name].record = {confirmer.name, 0, confirmer.peers, 0};
            }
        }
    }
}

void readConfirmers(OwnershipState &state, const ClusterRead::Content &content)
{
    ConfirmerState &confirmers = state.confirmers;
    if (state.mode == Mode::Following || state.mode == Mode::Confirming) {
        confirmers.lastRead = content.confirmers;
        confirmers.lastReadRevision = content.confirmersRevision;
        return;
    }
    const bool ownWrite = content.confirmers && content.confirmers->epoch == state.claim.epoch && content.confirmersRevision > confirmers.recordedRevision;
    if ((state.mode == Mode::Owning || state.mode == Mode::Loading) && ownWrite) {
        confirmers.recorded = *content.confirmers;
        confirmers.recordedRevision = content.confirmersRevision;
        // Earlier writes expect an older revision and can't be executed any more.
        confirmers.pending.reset();
    }
}

void handleConfirmersWritten(Context &context, const ConfirmersWritten &event)
{
    ConfirmerState &confirmers = context.state.confirmers;
    confirmers.writeInProgress = false;
    confirmers.writeNotBefore = context.state.now + clusterReadInterval;
    // A refused write stays pending, as an earlier try may still be executed.
    if (event.outcome != ConfirmersWritten::Outcome::Written || !confirmers.pending || event.revision <= confirmers.recordedRevision) {
        return;
    }
    recordStoreResponse(context.state);
    confirmers.recorded = *std::exchange(confirmers.pending, std::nullopt);
    confirmers.recordedRevision = event.revision;
}

Base::MonoTime confirmersConfirmedUntil(const OwnershipState &state)
{
    const Base::MonoTime recorded = setConfirmedUntil(state, state.confirmers.recorded.confirmers);
    return state.confirmers.pending ? std::min(recorded, setConfirmedUntil(state, state.confirmers.pending->confirmers)) : recorded;
}

bool isAwaitedConfirmer(const OwnershipState &state, const std::string &name)
{
    const bool owns = state.mode == Mode::Owning || state.mode == Mode::Loading;
    const std::vector<Jobs::ConfirmerSet> &former = state.confirmers.former;
    return owns && awaitsConfirmers(state) && std::any_of(former.begin(), former.end(), [&name](const Jobs::ConfirmerSet &set) { return names(set, name); });
}

void updateConfirmers(Context &context)
{
    if (context.state.mode != Mode::Owning) {
        return;
    }
    checkFormerOwners(context);
    writeConfirmers(context);
}

} // namespace LaburnumFlow::EntryNode::Internal
