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

constexpr std::uint32_t suspendedRetryAfterMs = 1000;
constexpr std::uint32_t drainingRetryAfterMs = 100; ///< Short, as another entry can serve the job at once

JobFailed refuse(Context &context, JobFailed failed)
{
    countFailure(context, failed);
    return failed;
}

bool isKnownUnstarted(const Context &context, const IncomingJob &job)
{
    return job.idKnownOnlyHere || Cluster::isKnownUnstarted(context.cluster, job.partition, Base::timeOf(job.submission));
}

/// True if every task succeeded or is live, so that no report of a missing agent could change what is to be started.
bool allTasksReported(const Submission &submission, std::size_t tasks)
{
    return submission.tasks.size() == tasks && std::all_of(submission.tasks.begin(), submission.tasks.end(), [](const Task &task) {
               return task.phase == TaskPhase::Succeeded || task.phase == TaskPhase::Active;
           });
}

Acceptance attachToRecord(Context &context, Submission &submission, const IncomingJob &job, Authority authority)
{
    if (submission.bodyDigest != Protocol::computeBodyDigest(*job.body)) {
        return refuse(context, makeRefusal(Outcome::NotRun, Reason::BodyMismatch));
    }
    if (submission.answer) {
        context.count("ledger.answered-again");
        return *submission.answer;
    }
    if (submission.body != nullptr) {
        context.count("ledger.joined");
        submission.waiters.push_back(job.waiter);
        return Attached{};
    }
    if (authority != Authority::Serving) {
        return Deferred{};
    }
    submission.mayRunUnreported = !isKnownUnstarted(context, job);
    if (submission.mayRunUnreported && !allTasksReported(submission, job.body->tasks.size())) {
        return refuse(context, makeRefusal(Outcome::Unknown, Reason::OwnerLost));
    }
    context.count("ledger.adopted");
    submission.waiters.push_back(job.waiter);
    beginJob(context, submission, job.body, job.deadline);
    return Attached{};
}

/// Defers the job until the takeover or handover ends if its deadline allows that. After a refusal the caller may resubmit the id.
Acceptance deferOrRefuse(Context &context, const IncomingJob &job)
{
    const auto &takeover = context.cluster.takeover;
    const bool takingOver = takeover && takeover->partitions.contains(job.partition);
    const Base::MonoTime end = takingOver ? takeover->mapSeenAt + expectedTakeoverDuration : context.state.now + expectedHandoverDuration;
    if (end < job.deadline) {
        return Deferred{};
    }
    const Outcome outcome = isKnownUnstarted(context, job) ? Outcome::NotRun : Outcome::Unknown;
    return refuse(context, makeRefusal(outcome, Reason::OwnerRecovering, std::max(suspendedRetryAfterMs, remainingMs(end, context.state.now))));
}

/// While this entry is suspended, another one may already serve the partition, but not within minAuthorityGap after the end of
/// the authority of this entry.
JobFailed suspendedRefusal(const Context &context, const IncomingJob &job)
{
    const auto &seen = context.state.lastServingAt;
    const bool recent = seen && context.state.now - *seen < minAuthorityGap;
    const bool certain = job.idKnownOnlyHere || (recent && isKnownUnstarted(context, job));
    return makeRefusal(certain ? Outcome::NotRun : Outcome::Unknown, Reason::OwnerSuspended, suspendedRetryAfterMs);
}

std::optional<JobFailed> checkNewSubmission(Context &context, const IncomingJob &job, Authority authority)
{
    if (Base::timeOf(job.submission) + Protocol::deduplicationWindow < context.state.wall) {
        return makeRefusal(Outcome::Unknown, Reason::SubmissionExpired);
    }
    if (authority == Authority::Suspended) {
        return suspendedRefusal(context, job);
    }
    if (!isKnownUnstarted(context, job)) {
        return makeRefusal(Outcome::Unknown, Reason::OwnerLost);
    }
    if (context.state.draining) {
        return makeRefusal(Outcome::NotRun, Reason::Draining, drainingRetryAfterMs);
    }
    if (auto failed = checkTeamRules(context, *job.body)) {
        return failed;
    }
    return checkLoad(context, *job.body, job.deadline);
}

} // namespace

Acceptance acceptJob(Context &context, const IncomingJob &job)
{
    DispatchState &state = context.state;
    const Authority authority = Cluster::authority(context.cluster, job.partition);
    if (authority == Authority::NotOwner) {
        return Deferred{};
    }
    if (authority == Authority::Serving) {
        state.lastServingAt = state.now;
    }
    if (Submission *submission = findSubmission(state, job.submission)) {
        return attachToRecord(context, *submission, job, authority);
    }
    if (authority == Authority::Recovering) {
        return deferOrRefuse(context, job);
    }
    if (const auto failed = checkNewSubmission(context, job, authority)) {
        return refuse(context, *failed);
    }
    Submission &submission = addRecord(context, job.submission, job.partition, job.body->team, Protocol::computeBodyDigest(*job.body));
    submission.waiters.push_back(job.waiter);
    context.count("jobs.accepted");
    beginJob(context, submission, job.body, job.deadline);
    return Attached{};
}

Protocol::JobStatus cancelJob(Context &context, const Base::Uuid &id, std::string_view team)
{
    Submission *submission = findSubmission(context.state, id);
    if (submission != nullptr && submission->team == team) {
        stopJob(context, *submission, {Reason::Cancelled, 0, 0, {}});
    }
    return jobStatus(context.state, id, team);
}

} // namespace LaburnumFlow::Dispatch::Internal
