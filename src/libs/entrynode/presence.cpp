#include "ownershipsteps.h"

#include "entrynodeconstants.h"

#include <algorithm>

namespace LaburnumFlow::EntryNode::Internal {

void handleLease(Context &context, const LeaseGranted &event)
{
    OwnershipState &state = context.state;
    state.presenceCallInProgress = false;
    state.presenceWritten = false;
    state.lease = event.lease;
    if (event.lease == 0) {
        state.presenceNotBefore = state.now + presenceRenewalInterval;
    }
}

void handleLease(Context &context, const LeaseRenewed &event)
{
    OwnershipState &state = context.state;
    state.presenceCallInProgress = false;
    // The store may have renewed the lease without an answer in time, or not; the next renewal must not wait for longer than after an answer.
    const bool failed = event.outcome == LeaseRenewed::Outcome::Failed;
    state.presenceNotBefore = failed ? std::max(state.now, state.renewalStartedAt + presenceRenewalInterval) : state.now + presenceRenewalInterval;
    if (event.outcome == LeaseRenewed::Outcome::Renewed) {
        recordStoreResponse(state);
    }
    if (event.outcome == LeaseRenewed::Outcome::Expired) {
        state.lease = 0;
        state.presenceNotBefore = state.now;
    }
}

void handlePresence(Context &context, const PresenceWritten &event)
{
    OwnershipState &state = context.state;
    state.presenceCallInProgress = false;
    state.presenceNotBefore = state.now + presenceRenewalInterval;
    state.presenceWritten = event.outcome == PresenceWritten::Outcome::Written;
    if (event.outcome == PresenceWritten::Outcome::LeaseExpired) {
        state.lease = 0;
    }
}

void checkPresence(Context &context, const std::vector<Jobs::EntryRecord> &entries)
{
    OwnershipState &state = context.state;
    const bool listed = std::any_of(entries.begin(), entries.end(), [&state](const Jobs::EntryRecord &record) {
        return record.name == state.self.name && record.incarnation == state.self.incarnation;
    });
    // The store may lose the key without notice although the lease still seems to be valid.
    if (!listed && state.presenceWritten && !state.presenceCallInProgress) {
        state.presenceWritten = false;
        state.lease = 0;
    }
}

void maintainPresence(Context &context)
{
    OwnershipState &state = context.state;
    if (state.presenceCallInProgress || state.now < state.presenceNotBefore || state.stopping) {
        return;
    }
    state.presenceCallInProgress = true;
    if (state.lease == 0) {
        context.effects.push_back(GrantLease{state.presenceTtl});
    } else if (!state.presenceWritten) {
        context.effects.push_back(WritePresence{state.lease, state.self});
    } else {
        state.renewalStartedAt = state.now;
        context.effects.push_back(RenewLease{state.lease, state.presenceTtl / 2});
    }
}

} // namespace LaburnumFlow::EntryNode::Internal
