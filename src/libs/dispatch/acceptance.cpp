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

using Cluster::Authority;
using Protocol::JobFailed;
using Protocol::Outcome;
using Protocol::Reason;

constexpr std::uint32_t suspendedRetryMs = 1000;
constexpr std::uint32_t drainingRetryMs = 100; ///< another entry serves at once

JobFailed refuse(Context &context, JobFailed failed)
{
    countFailure(context, failed);
    return failed;
}

bool isKnownUnstarted(const Context &context, const Arrival &arrival)
{
    return arrival.fresh || Cluster::isKnownUnstarted(context.cluster, arrival.partition, Base::timeOf(arrival.submission));
}

/// Every task succeeded or is live, so nothing that a missing agent may know can matter.
bool fullyReported(const Submission &submission, std::size_t tasks)
{
    return submission.tasks.size() == tasks && std::all_of(submission.tasks.begin(), submission.tasks.end(), [](const Task &task) {
               return task.phase == TaskPhase::Succeeded || task.phase == TaskPhase::Active;
           });
}

Acceptance joinRecord(Context &context, Submission &submission, const Arrival &arrival, Authority authority)
{
    if (submission.digest != Protocol::computeBodyDigest(*arrival.body)) {
        return refuse(context, refusal(Outcome::NotRun, Reason::BodyMismatch));
    }
    if (submission.answer) {
        context.count("ledger.answered-again");
        return *submission.answer;
    }
    if (submission.body != nullptr) {
        context.count("ledger.joined");
        submission.waiters.push_back(arrival.waiter);
        return Joined{};
    }
    if (authority != Authority::Serving) {
        return Hold{};
    }
    if (!fullyReported(submission, arrival.body->tasks.size()) && !isKnownUnstarted(context, arrival)) {
        return refuse(context, refusal(Outcome::Unknown, Reason::OwnerLost));
    }
    context.count("ledger.adopted");
    submission.waiters.push_back(arrival.waiter);
    beginJob(context, submission, arrival.body, arrival.deadline);
    return Joined{};
}

/// Waits for the end of a takeover if the deadline allows it. After the refusal the caller may submit the id again.
Acceptance holdOrRefuse(Context &context, const Arrival &arrival)
{
    const auto &takeover = context.cluster.takeover;
    const bool takingOver = takeover && takeover->partitions.contains(arrival.partition);
    const Base::MonoTime end = takingOver ? takeover->mapSeenAt + recoveryEstimate : context.state.now + handoverEstimate;
    if (end < arrival.deadline) {
        return Hold{};
    }
    const Outcome outcome = isKnownUnstarted(context, arrival) ? Outcome::NotRun : Outcome::Unknown;
    return refuse(context, refusal(outcome, Reason::OwnerRecovering, std::max(suspendedRetryMs, remainingMs(end, context.state.now))));
}

/// While suspended, another entry may serve the partition already, but not within authorityGap of the own authority.
JobFailed suspendedRefusal(const Context &context, const Arrival &arrival)
{
    const auto &seen = context.state.servingSeen;
    const bool recent = seen && context.state.now - *seen < authorityGap;
    const bool certain = arrival.fresh || (recent && isKnownUnstarted(context, arrival));
    return refusal(certain ? Outcome::NotRun : Outcome::Unknown, Reason::OwnerSuspended, suspendedRetryMs);
}

std::optional<JobFailed> checkNew(Context &context, const Arrival &arrival, Authority authority)
{
    if (Base::timeOf(arrival.submission) + Protocol::deduplicationWindow < context.state.wall) {
        return refusal(Outcome::Unknown, Reason::SubmissionExpired);
    }
    if (authority == Authority::Suspended) {
        return suspendedRefusal(context, arrival);
    }
    if (!isKnownUnstarted(context, arrival)) {
        return refusal(Outcome::Unknown, Reason::OwnerLost);
    }
    if (context.state.draining) {
        return refusal(Outcome::NotRun, Reason::Draining, drainingRetryMs);
    }
    if (auto failed = checkRules(context, *arrival.body)) {
        return failed;
    }
    return checkLoad(context, *arrival.body, arrival.deadline);
}

} // namespace

Acceptance acceptJob(Context &context, const Arrival &arrival)
{
    DispatchState &state = context.state;
    const Authority authority = Cluster::authority(context.cluster, arrival.partition);
    if (authority == Authority::NotOwner) {
        return Hold{};
    }
    if (authority == Authority::Serving) {
        state.servingSeen = state.now;
    }
    if (Submission *submission = find(state, arrival.submission)) {
        return joinRecord(context, *submission, arrival, authority);
    }
    if (authority == Authority::Recovering) {
        return holdOrRefuse(context, arrival);
    }
    if (const auto failed = checkNew(context, arrival, authority)) {
        return refuse(context, *failed);
    }
    Submission &submission = addRecord(context, arrival.submission, arrival.partition, arrival.body->team, Protocol::computeBodyDigest(*arrival.body));
    submission.waiters.push_back(arrival.waiter);
    context.count("jobs.accepted");
    beginJob(context, submission, arrival.body, arrival.deadline);
    return Joined{};
}

Protocol::JobStatus cancelJob(Context &context, const Base::Uuid &id, std::string_view team)
{
    Submission *submission = find(context.state, id);
    if (submission != nullptr && submission->team == team) {
        closeJob(context, *submission, {Reason::Cancelled, 0, 0, {}});
    }
    return statusOf(context.state, id, team);
}

} // namespace LaburnumFlow::Dispatch::Internal
