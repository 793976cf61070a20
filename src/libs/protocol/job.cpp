#include "job.h"

#include <xxhash.h>

#include <string_view>

namespace LaburnumFlow::Protocol {

namespace {

/// Computes an xxhash64 of a sequence of texts.
class Digest
{
public:
    Digest() : state_(XXH64_createState())
    {
        XXH64_reset(state_, 0);
    }

    ~Digest()
    {
        XXH64_freeState(state_);
    }

    Digest(const Digest &) = delete;
    Digest &operator=(const Digest &) = delete;

    /// Adds a text and its length. Without the length, moving a byte to the neighbouring text would not change the digest.
    void add(std::string_view text)
    {
        const std::uint64_t size = text.size();
        XXH64_update(state_, &size, sizeof size);
        XXH64_update(state_, text.data(), text.size());
    }

    std::uint64_t value() const
    {
        return XXH64_digest(state_);
    }

private:
    XXH64_state_t *state_;
};

} // namespace

std::string_view toString(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::BadRequest:
        return "bad-request";
    case Reason::UnknownTeam:
        return "unknown-team";
    case Reason::UnknownKind:
        return "unknown-kind";
    case Reason::TooManyTasks:
        return "too-many-tasks";
    case Reason::BodyTooLarge:
        return "body-too-large";
    case Reason::BodyMismatch:
        return "body-mismatch";
    case Reason::DeadlinePast:
        return "deadline-past";
    case Reason::IdFromFuture:
        return "id-from-future";
    case Reason::SubmissionExpired:
        return "submission-expired";
    case Reason::Overloaded:
        return "overloaded";
    case Reason::QuotaExceeded:
        return "quota-exceeded";
    case Reason::Unplaceable:
        return "unplaceable";
    case Reason::OwnerSuspended:
        return "owner-suspended";
    case Reason::OwnerRecovering:
        return "owner-recovering";
    case Reason::OwnerUnreachable:
        return "owner-unreachable";
    case Reason::OwnerLost:
        return "owner-lost";
    case Reason::SettingsStale:
        return "settings-stale";
    case Reason::Draining:
        return "draining";
    case Reason::DeadlineExceeded:
        return "deadline-exceeded";
    case Reason::AttemptLost:
        return "attempt-lost";
    case Reason::RetriesExhausted:
        return "retries-exhausted";
    case Reason::TaskFailed:
        return "task-failed";
    case Reason::RunTimeLimit:
        return "run-time-limit";
    case Reason::Cancelled:
        return "cancelled";
    case Reason::NotFound:
        return "not-found";
    }
    return "none";
}

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Failed:
        return "failed";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Unknown:
        return "unknown";
    case JobPhase::Queued:
        return "queued";
    case JobPhase::Running:
        return "running";
    case JobPhase::Succeeded:
        return "succeeded";
    case JobPhase::Failed:
        return "failed";
    }
    return "unknown";
}

std::uint64_t computeBodyDigest(const JobBody &body)
{
    Digest digest;
    digest.add(body.team);
    digest.add(body.orderingKey);
    for (const TaskSpec &task : body.tasks) {
        digest.add(task.kind);
        digest.add(task.payload);
    }
    return digest.value();
}

} // namespace LaburnumFlow::Protocol
