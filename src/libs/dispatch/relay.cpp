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

constexpr Base::Duration relayMargin = 10ms; ///< The owner's deadline is this much earlier, so that its answer arrives in time
constexpr Base::Duration statusTimeout = 2s;
constexpr Base::Duration earlyRelayTimeout = 2s; ///< For a relay that arrives before the map that makes this entry the owner
constexpr std::uint32_t drainingRetryAfterMs = 100;
constexpr std::uint32_t busyRetryAfterMs = 500;

void refuseRequest(Context &context, Events::RequestId request, const Base::Uuid &submission, const JobFailed &failed)
{
    countFailure(context, failed);
    context.effects.emplace_back(Events::AnswerJob{request, submission, failed});
}

bool isIdKnownOnlyHere(const OpenRequest &request)
{
    return request.idGenerated && !request.wasSubmitted;
}

void closeRequest(DispatchState &state, OpenRequest &request)
{
    state.requestsByRelay.erase(request.relayId);
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

void sendRelay(Context &context, OpenRequest &request, const std::string &owner)
{
    DispatchState &state = context.state;
    state.requestsByRelay.erase(request.relayId);
    request.relayId = ++state.lastRelayId;
    request.owner = owner;
    state.requestsByRelay.emplace(request.relayId, request.id);
    const Base::Duration left = request.deadline - state.now;
    Protocol::RelayJob job;
    job.request = request.relayId;
    job.submission = request.submission;
    job.body = *request.body;
    job.remainingMs = remainingMs(request.deadline - std::min<Base::Duration>(relayMargin, left / 10), state.now);
    job.resubmitted = request.wasSubmitted;
    context.count(request.wasSubmitted ? "relay.again" : "relay.sent");
    request.wasSubmitted = true;
    context.effects.emplace_back(Events::SendToPeer{owner, std::move(job)});
}

void acceptLocally(Context &context, OpenRequest &request)
{
    const Events::RequestId id = request.id;
    const bool idKnownOnlyHere = isIdKnownOnlyHere(request);
    request.awaitsLocalJob = true;
    const IncomingJob incoming{{{}, id}, request.submission, request.body, request.partition, request.deadline, idKnownOnlyHere};
    const Acceptance acceptance = acceptJob(context, incoming);
    // acceptJob() may have answered the job already, which closes the request.
    const auto found = context.state.requests.find(id);
    if (found == context.state.requests.end() || std::holds_alternative<Attached>(acceptance)) {
        return;
    }
    found->second.awaitsLocalJob = false;
    if (const auto *answer = std::get_if<JobAnswer>(&acceptance)) {
        answerRequest(context, found->second, *answer);
    }
}

void routeRequest(Context &context, OpenRequest &request)
{
    const auto owner = Cluster::ownerName(context.cluster, request.partition);
    if (!owner) {
        return;
    }
    if (*owner == context.state.self) {
        acceptLocally(context, request);
    } else if (context.state.draining && !request.wasSubmitted) {
        const JobFailed failed = makeRefusal(request.idGenerated ? Outcome::NotRun : Outcome::Unknown, Reason::Draining, drainingRetryAfterMs);
        countFailure(context, failed);
        answerRequest(context, request, failed);
    } else {
        sendRelay(context, request, *owner);
    }
}

/// Returns a new id, if possible of a partition that this entry serves. With an ordering key the partition does not depend on the id.
Base::Uuid generateSubmissionId(Context &context, const Protocol::JobBody &body)
{
    DispatchState &state = context.state;
    Base::Uuid id;
    for (std::size_t i = 0; i < maxIdGenerationTries; ++i) {
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

/// Refuses a request for reasons that need no ledger. If the caller chose the id, only the owner checks the team's rules: it
/// may know the submission, and one that ran must not be reported as not run after a change of the rules.
std::optional<JobFailed> checkOnArrival(Context &context, const Events::JobSubmitted &event)
{
    const DispatchState &state = context.state;
    if (auto failed = checkBodyLimits(event.body)) {
        return failed;
    }
    if (event.submission) {
        const Base::WallTime time = Base::timeOf(*event.submission);
        if (time > state.wall + Protocol::maxClockSkew) {
            return makeRefusal(Outcome::NotRun, Reason::IdFromFuture);
        }
        if (time + Protocol::deduplicationWindow < state.wall) {
            return makeRefusal(Outcome::Unknown, Reason::SubmissionExpired);
        }
    } else if (state.draining) {
        return makeRefusal(Outcome::NotRun, Reason::Draining, drainingRetryAfterMs);
    } else if (auto failed = checkTeamRules(context, event.body)) {
        return failed;
    }
    if (state.requests.size() >= maxOpenRequests) {
        return makeRefusal(event.submission ? Outcome::Unknown : Outcome::NotRun, Reason::Overloaded, busyRetryAfterMs);
    }
    return std::nullopt;
}

void deferRelay(Context &context, const std::string &peer, const Protocol::RelayJob &job, Base::MonoTime deadline)
{
    DispatchState &state = context.state;
    if (state.deferredRelayCount >= maxDeferredRelays) {
        const JobFailed failed = makeRefusal(Outcome::Unknown, Reason::OwnerRecovering, busyRetryAfterMs);
        countFailure(context, failed);
        context.effects.emplace_back(Events::SendToPeer{peer, Protocol::RelayAnswer{job.request, job.submission, failed}});
        return;
    }
    ++state.deferredRelayCount;
    state.deferredRelays[Protocol::partitionForSubmission(job.submission, job.body.team, job.body.orderingKey)].push_back({peer, job, deadline});
}

void acceptRelay(Context &context, const std::string &peer, const Protocol::RelayJob &job, Base::MonoTime deadline)
{
    DispatchState &state = context.state;
    const Protocol::Partition partition = Protocol::partitionForSubmission(job.submission, job.body.team, job.body.orderingKey);
    const IncomingJob incoming{{peer, job.request}, job.submission, std::make_shared<const Protocol::JobBody>(job.body), partition, deadline, false};
    const Acceptance acceptance = acceptJob(context, incoming);
    if (std::holds_alternative<Deferred>(acceptance)) {
        const bool owned = Cluster::authority(context.cluster, partition) != Cluster::Authority::NotOwner;
        deferRelay(context, peer, job, owned ? deadline : std::min(deadline, state.now + earlyRelayTimeout));
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

/// Sends a status request or a cancellation to the owner. Answers with the phase Unknown if there is no owner.
template<typename Message, typename Event>
void relayStatus(Context &context, const Event &event, const std::optional<std::string> &owner)
{
    DispatchState &state = context.state;
    if (!owner) {
        answerStatus(context, event.request, event.submission, {});
        return;
    }
    const std::uint64_t number = ++state.lastRelayId;
    state.statusRelays.emplace(number, StatusRelay{event.request, event.submission});
    context.armTimer(state.now + statusTimeout, TimerKind::StatusDeadline, {}, number);
    context.effects.emplace_back(Events::SendToPeer{*owner, Message{number, event.team, event.submission, event.orderingKey}});
}

} // namespace

void submitJob(Context &context, const Events::JobSubmitted &event)
{
    DispatchState &state = context.state;
    if (const auto failed = checkOnArrival(context, event)) {
        refuseRequest(context, event.request, event.submission.value_or(Base::Uuid{}), *failed);
        return;
    }
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, event.body.team);
    auto body = std::make_shared<Protocol::JobBody>(event.body);
    body->deadlineMs = effectiveDeadlineMs(rules, body->deadlineMs);
    OpenRequest request;
    request.id = event.request;
    request.idGenerated = !event.submission;
    request.submission = event.submission ? *event.submission : generateSubmissionId(context, *body);
    request.partition = Protocol::partitionForSubmission(request.submission, body->team, body->orderingKey);
    request.deadline = state.now + std::chrono::milliseconds(body->deadlineMs);
    request.body = std::move(body);
    state.requestsByPartition[request.partition].insert(request.id);
    context.armTimer(request.deadline, TimerKind::RequestDeadline, {}, request.id);
    routeRequest(context, state.requests.insert_or_assign(event.request, std::move(request)).first->second);
}

void requestStatus(Context &context, const Events::JobStatusRequested &event)
{
    const auto owner = Cluster::ownerName(context.cluster, Protocol::partitionForSubmission(event.submission, event.team, event.orderingKey));
    if (owner == context.state.self) {
        answerStatus(context, event.request, event.submission, jobStatus(context.state, event.submission, event.team));
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
    // A newer relay of this job was answered with a refusal, so this older one must not start it.
    const bool stale = refused != state.refusedRelays.end() && job.request <= refused->second.first;
    if (stale || job.remainingMs == 0 || checkBodyLimits(job.body)) {
        context.count("relay.dropped");
        return;
    }
    acceptRelay(context, peer, job, state.now + std::chrono::milliseconds(job.remainingMs));
}

void handleRelayAnswer(Context &context, const Protocol::RelayAnswer &answer)
{
    DispatchState &state = context.state;
    const auto number = state.requestsByRelay.find(answer.request);
    const auto found = number == state.requestsByRelay.end() ? state.requests.end() : state.requests.find(number->second);
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
        Events::SendToPeer{peer, Protocol::RelayStatusAnswer{status.request, jobStatus(context.state, status.submission, status.team)}});
}

void handleRelayStatusAnswer(Context &context, const Protocol::RelayStatusAnswer &answer)
{
    const auto found = context.state.statusRelays.find(answer.request);
    if (found != context.state.statusRelays.end()) {
        answerStatus(context, found->second.request, found->second.submission, answer.status);
        context.state.statusRelays.erase(found);
    }
}

void rerouteRequests(Context &context, std::span<const Protocol::Partition> partitions)
{
    DispatchState &state = context.state;
    for (const Protocol::Partition partition : partitions) {
        const auto open = state.requestsByPartition.find(partition);
        const std::set<Events::RequestId> ids = open == state.requestsByPartition.end() ? std::set<Events::RequestId>{} : open->second;
        for (const Events::RequestId id : ids) {
            const auto found = state.requests.find(id);
            if (found != state.requests.end() && !found->second.awaitsLocalJob && found->second.deadline > state.now) {
                routeRequest(context, found->second);
            }
        }
        const auto deferred = state.deferredRelays.find(partition);
        if (deferred == state.deferredRelays.end()) {
            continue;
        }
        const std::vector<DeferredRelay> relays = std::move(deferred->second);
        state.deferredRelays.erase(deferred);
        state.deferredRelayCount -= relays.size();
        for (const DeferredRelay &relay : relays) {
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
            request.wasSubmitted = request.wasSubmitted || request.awaitsLocalJob;
            request.awaitsLocalJob = false;
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
    if (found != context.state.requests.end() && found->second.submission == submission && found->second.awaitsLocalJob) {
        answerRequest(context, found->second, answer);
    }
}

void handleRequestDeadline(Context &context, Events::RequestId request)
{
    DispatchState &state = context.state;
    auto found = state.requests.find(request);
    if (found == state.requests.end() || found->second.deadline > state.now) {
        return;
    }
    if (found->second.awaitsLocalJob) {
        handleJobDeadline(context, found->second.submission);
        found = state.requests.find(request);
        if (found == state.requests.end()) {
            return;
        }
    }
    const bool certain = isIdKnownOnlyHere(found->second) && !found->second.awaitsLocalJob;
    const bool routed = found->second.awaitsLocalJob || found->second.relayId != 0;
    const JobFailed failed = makeRefusal(certain ? Outcome::NotRun : Outcome::Unknown, routed ? Reason::DeadlineExceeded : Reason::OwnerUnreachable);
    countFailure(context, failed);
    answerRequest(context, found->second, failed);
}

void handleStatusDeadline(Context &context, std::uint64_t number)
{
    handleRelayStatusAnswer(context, {number, {}});
}

void pruneExpiredRelays(DispatchState &state)
{
    std::erase_if(state.refusedRelays, [&](const auto &entry) { return entry.second.second < state.now; });
    if (state.deferredRelayCount < maxDeferredRelays) {
        return;
    }
    for (auto &[partition, relays] : state.deferredRelays) {
        state.deferredRelayCount -= std::erase_if(relays, [&](const DeferredRelay &relay) { return relay.deadline < state.now; });
    }
}

} // namespace LaburnumFlow::Dispatch::Internal
