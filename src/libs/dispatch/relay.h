#pragma once

#include "context.h"

#include <span>

namespace LaburnumFlow::Dispatch::Internal {

// ---- requests of this entry's callers ----

void submitJob(Context &context, const Events::JobSubmitted &event);
void requestStatus(Context &context, const Events::JobStatusRequested &event);
void requestCancel(Context &context, const Events::JobCancelRequested &event);
void abandonRequest(Context &context, Events::RequestId request);

// ---- messages of other entries ----

void handleRelayJob(Context &context, const std::string &peer, const Protocol::RelayJob &job);
void handleRelayAnswer(Context &context, const Protocol::RelayAnswer &answer);
void handleRelayCancel(Context &context, const std::string &peer, const Protocol::RelayCancel &cancel);
void handleRelayStatus(Context &context, const std::string &peer, const Protocol::RelayStatus &status);
void handleRelayStatusAnswer(Context &context, const Protocol::RelayStatusAnswer &answer);

/// Routes the open requests and deferred relays of these partitions again: to the local ledger or to the new owner.
void rerouteRequests(Context &context, std::span<const Protocol::Partition> partitions);

/// Detaches open requests from the local submissions of partitions that were lost, so that they are relayed to the new owner.
void detachRequests(Context &context, std::span<const Protocol::Partition> partitions);

/// Sends the answer to a request at this entry or to the entry that relayed the job.
void answerWaiter(Context &context, const Waiter &waiter, const Base::Uuid &submission, const Protocol::JobAnswer &answer);
void handleRequestDeadline(Context &context, Events::RequestId request);
void handleStatusDeadline(Context &context, std::uint64_t number);

/// Drops refusals of relays whose deadline has passed, and deferred relays past their deadline if there are too many.
void pruneExpiredRelays(DispatchState &state);

} // namespace LaburnumFlow::Dispatch::Internal
