#include "relay.h"

#include "acceptance.h"
#include "admission.h"
#include "dispatchconstants.h"
#include "jobs.h"
#include "ledger.h"

#include "base/uuid.h"
#include "protocol/protocolconstants.h"

#include <algorithm>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

using Protocol::JobAnswer;
using Protocol::JobFailed;
using Protocol::Outcome;
using Protocol::Reason;

constexpr Base::Duration relayMargin = 10ms; ///< the owner's deadline lies before the caller's, so that its answer arrives in time
constexpr Base::Duration statusLimit = 2s;
constexpr Base::Duration strayRelayLimit = 2s; ///< a relay that came before the map that makes this entry the owner
constexpr std::uint32_t drainingRetryMs = 100;
constexpr std::uint32_t busyRetryMs = 500;

void refuseNow(Context &context, Events::RequestId request, const Base::Uuid &submission, const JobFailed &failed)
{
    countFailure(context, failed);
    context.effects.emplace_back(Events::AnswerJob{request, submission, failed});
}

bool neverSent(const OpenRequest &request)
{
    return request.minted && !request.relayedBefore;
}

void closeRequest(DispatchState &state, OpenRequest &request)
{
    state.relays.erase(request.relayNumber);
    auto &numbers = state.requestsByPartition[request.partition];
    numbers.erase(request.id);
    if (numbers.empty()) {
        state.requestsByPartition.erase(request.partition);
    }
    state.requests.erase(request.id);
}

void answerRequest(Context &context, OpenRequest &request, const JobAnswer &answer)
{
    context.effects.emplace_back(Events::AnswerJob{request.id, request.submission, answer});
    closeRequest(context.state, request);
}

void relay(Context &context, OpenRequest &request, const std::string &owner)
{
    DispatchState &state = context.state;
    state.relays.erase(request.relayNumber);
    request.relayNumber = ++state.lastRelay;
    request.owner = owner;
    state.relays.emplace(request.relayNumber, request.id);
    const Base::Duration left = request.deadline - state.now;
    Protocol::RelayJob job;
    job.request = request.relayNumber;
    job.submission = request.submission;
    job.body = *request.body;
    job.remainingMs = remainingMs(request.deadline - std::min<Base::Duration>(relayMargin, left / 10), state.now);
    job.resubmitted = request.relayedBefore;
    context.count(request.relayedBefore ? "relay.again" : "relay.sent");
    request.relayedBefore = true;
    context.effects.emplace_back(Events::SendToPeer{owner, std::move(job)});
}

void acceptOwn(Context &context, OpenRequest &request)
{
    const Events::RequestId id = request.id;
    const bool fresh = neverSent(request);
    request.joined = true;
    const Arrival arrival{{{}, id}, request.submission, request.body, request.partition, request.deadline, fresh};
    const Acceptance acceptance = acceptJob(context, arrival);
    // The job may have been answered already, which closes the request.
    const auto found = context.state.requests.find(id);
    if (found == context.state.requests.end() || std::holds_alternative<Joined>(acceptance)) {
        return;
    }
    found->second.joined = false;
    if (const auto *answer = std::get_if<JobAnswer>(&acceptance)) {
        answerRequest(context, found->second, *answer);
    }
}

void route(Context &context, OpenRequest &request)
{
    const auto owner = Cluster::ownerName(context.cluster, request.partition);
    if (!owner) {
        return;
    }
    if (*owner == context.state.self) {
        acceptOwn(context, request);
    } else if (context.state.draining && !request.relayedBefore) {
        const JobFailed failed = refusal(request.minted ? Outcome::NotRun : Outcome::Unknown, Reason::Draining, drainingRetryMs);
        countFailure(context, failed);
        answerRequest(context, request, failed);
    } else {
        relay(context, request, *owner);
    }
}

/// An id that falls into a partition that this entry serves, if there is one; an ordering key decides the partition.
Base::Uuid mint(Context &context, const Protocol::JobBody &body)
{
    DispatchState &state = context.state;
    Base::Uuid id;
    for (std::size_t i = 0; i < mintTries; ++i) {
        const std::uint64_t high = state.random();
        id = Base::makeUuidV7(state.wall, high, state.random());
        const Protocol::Partition partition = Protocol::partitionForSubmission(id, body.team, body.orderingKey);
        const bool serving = Cluster::authority(context.cluster, partition) == Cluster::Authority::Serving;
        if (serving || !body.orderingKey.empty()) {
            break;
        }
    }
    return id;
}

/// Checks that need nothing of the ledger. The rules are checked by the owner if the id may be known there already,
/// since a submission that ran must not be called not run after a change of the rules.
std::optional<JobFailed> checkEarly(Context &context, const Events::JobSubmitted &event)
{
    const DispatchState &state = context.state;
    if (auto failed = checkBody(event.body)) {
        return failed;
    }
    if (event.submission) {
        const Base::WallTime time = Base::timeOf(*event.submission);
        if (time > state.wall + Protocol::maxClockSkew) {
            return refusal(Outcome::NotRun, Reason::IdFromFuture);
        }
        if (time + Protocol::deduplicationWindow < state.wall) {
            return refusal(Outcome::Unknown, Reason::SubmissionExpired);
        }
    } else if (state.draining) {
        return refusal(Outcome::NotRun, Reason::Draining, drainingRetryMs);
    } else if (auto failed = checkRules(context, event.body)) {
        return failed;
    }
    if (state.requests.size() >= maxOpenRequests) {
        return refusal(event.submission ? Outcome::Unknown : Outcome::NotRun, Reason::Overloaded, busyRetryMs);
    }
    return std::nullopt;
}

void holdRelay(Context &context, const std::string &peer, const Protocol::RelayJob &job, Base::MonoTime deadline)
{
    DispatchState &state = context.state;
    if (state.heldCount >= maxHeldRelays) {
        const JobFailed failed = refusal(Outcome::Unknown, Reason::OwnerRecovering, busyRetryMs);
        countFailure(context, failed);
        context.effects.emplace_back(Events::SendToPeer{peer, Protocol::RelayAnswer{job.request, job.submission, failed}});
        return;
    }
    ++state.heldCount;
    state.heldRelays[Protocol::partitionForSubmission(job.submission, job.body.team, job.body.orderingKey)].push_back({peer, job, deadline});
}

void acceptRelay(Context &context, const std::string &peer, const Protocol::RelayJob &job, Base::MonoTime deadline)
{
    DispatchState &state = context.state;
    const Protocol::Partition partition = Protocol::partitionForSubmission(job.submission, job.body.team, job.body.orderingKey);
    const Arrival arrival{{peer, job.request}, job.submission, std::make_shared<const Protocol::JobBody>(job.body), partition, deadline, false};
    const Acceptance acceptance = acceptJob(context, arrival);
    if (std::holds_alternative<Hold>(acceptance)) {
        const bool owned = Cluster::authority(context.cluster, partition) != Cluster::Authority::NotOwner;
        holdRelay(context, peer, job, owned ? deadline : std::min(deadline, state.now + strayRelayLimit));
    } else if (const auto *answer = std::get_if<JobAnswer>(&acceptance)) {
        if (job.resubmitted) {
            state.refusedRelays[{peer, job.submission}] = {job.request, deadline};
        }
        context.effects.emplace_back(Events::SendToPeer{peer, Protocol::RelayAnswer{job.request, job.submission, *answer}});
    }
}

void answerStatus(Context &context, Events::RequestId request, const Base::Uuid &submission, Protocol::JobStatus status)
{
    context.effects.emplace_back(Events::AnswerStatus{request, submission, std::move(status)});
}

/// Sends a status request or a cancellation to the owner; answers at once if there is none.
template<typename Message, typename Event>
void relayStatus(Context &context, const Event &event, const std::optional<std::string> &owner)
{
    DispatchState &state = context.state;
    if (!owner) {
        answerStatus(context, event.request, event.submission, {});
        return;
    }
    const std::uint64_t number = ++state.lastRelay;
    state.statusRelays.emplace(number, StatusRelay{event.request, event.submission});
    context.arm(state.now + statusLimit, TimerKind::StatusDeadline, {}, number);
    context.effects.emplace_back(Events::SendToPeer{*owner, Message{number, event.team, event.submission, event.orderingKey}});
}

} // namespace

void submitJob(Context &context, const Events::JobSubmitted &event)
{
    DispatchState &state = context.state;
    if (const auto failed = checkEarly(context, event)) {
        refuseNow(context, event.request, event.submission.value_or(Base::Uuid{}), *failed);
        return;
    }
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, event.body.team);
    auto body = std::make_shared<Protocol::JobBody>(event.body);
    body->deadlineMs = effectiveDeadlineMs(rules, body->deadlineMs);
    OpenRequest request;
    request.id = event.request;
    request.minted = !event.submission;
    request.submission = event.submission ? *event.submission : mint(context, *body);
    request.partition = Protocol::partitionForSubmission(request.submission, body->team, body->orderingKey);
    request.deadline = state.now + std::chrono::milliseconds(body->deadlineMs);
    request.body = std::move(body);
    state.requestsByPartition[request.partition].insert(request.id);
    context.arm(request.deadline, TimerKind::RequestDeadline, {}, request.id);
    route(context, state.requests.insert_or_assign(event.request, std::move(request)).first->second);
}

void requestStatus(Context &context, const Events::JobStatusRequested &event)
{
    const auto owner = Cluster::ownerName(context.cluster, Protocol::partitionForSubmission(event.submission, event.team, event.orderingKey));
    if (owner == context.state.self) {
        answerStatus(context, event.request, event.submission, statusOf(context.state, event.submission, event.team));
        return;
    }
    relayStatus<Protocol::RelayStatus>(context, event, owner);
}

void requestCancel(Context &context, const Events::JobCancelRequested &event)
{
    const auto owner = Cluster::ownerName(context.cluster, Protocol::partitionForSubmission(event.submission, event.team, event.orderingKey));
    if (owner == context.state.self) {
        answerStatus(context, event.request, event.submission, cancelJob(context, event.submission, event.team));
        return;
    }
    relayStatus<Protocol::RelayCancel>(context, event, owner);
}

void abandonRequest(Context &context, Events::RequestId request)
{
    const auto found = context.state.requests.find(request);
    if (found != context.state.requests.end()) {
        closeRequest(context.state, found->second);
        context.count("requests.abandoned");
    }
}

void handleRelayJob(Context &context, const std::string &peer, const Protocol::RelayJob &job)
{
    DispatchState &state = context.state;
    const auto refused = state.refusedRelays.find({peer, job.submission});
    // An older relay of a job that was refused since; it must not start after that answer.
    const bool stale = refused != state.refusedRelays.end() && job.request <= refused->second.first;
    if (stale || job.remainingMs == 0 || checkBody(job.body)) {
        context.count("relay.dropped");
        return;
    }
    acceptRelay(context, peer, job, state.now + std::chrono::milliseconds(job.remainingMs));
}

void handleRelayAnswer(Context &context, const Protocol::RelayAnswer &answer)
{
    DispatchState &state = context.state;
    const auto number = state.relays.find(answer.request);
    const auto found = number == state.relays.end() ? state.requests.end() : state.requests.find(number->second);
    if (found == state.requests.end() || found->second.submission != answer.submission) {
        context.count("relay.answer-unmatched");
        return;
    }
    answerRequest(context, found->second, answer.answer);
}

void handleRelayCancel(Context &context, const std::string &peer, const Protocol::RelayCancel &cancel)
{
    Protocol::JobStatus status = cancelJob(context, cancel.submission, cancel.team);
    context.effects.emplace_back(Events::SendToPeer{peer, Protocol::RelayStatusAnswer{cancel.request, std::move(status)}});
}

void handleRelayStatus(Context &context, const std::string &peer, const Protocol::RelayStatus &status)
{
    context.effects.emplace_back(
        Events::SendToPeer{peer, Protocol::RelayStatusAnswer{status.request, statusOf(context.state, status.submission, status.team)}});
}

void handleRelayStatusAnswer(Context &context, const Protocol::RelayStatusAnswer &answer)
{
    const auto found = context.state.statusRelays.find(answer.request);
    if (found != context.state.statusRelays.end()) {
        answerStatus(context, found->second.request, found->second.submission, answer.status);
        context.state.statusRelays.erase(found);
    }
}

void reroute(Context &context, std::span<const Protocol::Partition> partitions)
{
    DispatchState &state = context.state;
    for (const Protocol::Partition partition : partitions) {
        const auto open = state.requestsByPartition.find(partition);
        const std::set<Events::RequestId> ids = open == state.requestsByPartition.end() ? std::set<Events::RequestId>{} : open->second;
        for (const Events::RequestId id : ids) {
            const auto found = state.requests.find(id);
            if (found != state.requests.end() && !found->second.joined && found->second.deadline > state.now) {
                route(context, found->second);
            }
        }
        const auto held = state.heldRelays.find(partition);
        if (held == state.heldRelays.end()) {
            continue;
        }
        const std::vector<HeldRelay> relays = std::move(held->second);
        state.heldRelays.erase(held);
        state.heldCount -= relays.size();
        for (const HeldRelay &relay : relays) {
            if (relay.deadline > state.now) {
                acceptRelay(context, relay.peer, relay.job, relay.deadline);
            }
        }
    }
}

void detachRequests(Context &context, std::span<const Protocol::Partition> partitions)
{
    for (const Protocol::Partition partition : partitions) {
        const auto open = context.state.requestsByPartition.find(partition);
        if (open == context.state.requestsByPartition.end()) {
            continue;
        }
        for (const Events::RequestId id : open->second) {
            OpenRequest &request = context.state.requests.at(id);
            request.relayedBefore = request.relayedBefore || request.joined;
            request.joined = false;
        }
    }
}

void answerWaiter(Context &context, const Waiter &waiter, const Base::Uuid &submission, const JobAnswer &answer)
{
    if (!waiter.peer.empty()) {
        context.effects.emplace_back(Events::SendToPeer{waiter.peer, Protocol::RelayAnswer{waiter.request, submission, answer}});
        return;
    }
    const auto found = context.state.requests.find(waiter.request);
    if (found != context.state.requests.end() && found->second.submission == submission && found->second.joined) {
        answerRequest(context, found->second, answer);
    }
}

void requestDeadlineDue(Context &context, Events::RequestId request)
{
    DispatchState &state = context.state;
    auto found = state.requests.find(request);
    if (found == state.requests.end() || found->second.deadline > state.now) {
        return;
    }
    if (found->second.joined) {
        deadlineDue(context, found->second.submission);
        found = state.requests.find(request);
        if (found == state.requests.end()) {
            return;
        }
    }
    const bool certain = neverSent(found->second) && !found->second.joined;
    const bool routed = found->second.joined || found->second.relayNumber != 0;
    const JobFailed failed = refusal(certain ? Outcome::NotRun : Outcome::Unknown, routed ? Reason::DeadlineExceeded : Reason::OwnerUnreachable);
    countFailure(context, failed);
    answerRequest(context, found->second, failed);
}

void statusDeadlineDue(Context &context, std::uint64_t number)
{
    handleRelayStatusAnswer(context, {number, {}});
}

void pruneRelays(DispatchState &state)
{
    std::erase_if(state.refusedRelays, [&](const auto &entry) { return entry.second.second < state.now; });
    if (state.heldCount < maxHeldRelays) {
        return;
    }
    for (auto &[partition, relays] : state.heldRelays) {
        state.heldCount -= std::erase_if(relays, [&](const HeldRelay &relay) { return relay.deadline < state.now; });
    }
}

} // namespace LaburnumFlow::Dispatch::Internal
