#pragma once

#include "base/types.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace LaburnumFlow::Protocol {

/// One task of a job as the caller gave it.
struct TaskSpec {
    std::string kind;
    std::string payload; ///< JSON text, passed to the backend server unread

    bool operator==(const TaskSpec &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, payload);
    }
};

/// A checked job: at least one task, at most maxTasksPerJob.
struct JobBody {
    std::string team;
    std::vector<TaskSpec> tasks;
    std::uint32_t deadlineMs = 0; ///< from acceptance at the receiving entry; 0 takes the team's default
    std::string orderingKey; ///< empty if none

    bool operator==(const JobBody &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(team, tasks, deadlineMs, orderingKey);
    }
};

/// What a failure means for the caller.
enum class Outcome : std::uint8_t {
    NotRun, ///< no task of the job started and none can start later
    Failed, ///< the job was started and failed; its end is known
    Unknown, ///< whether a task ran to its end can't be known
};

/// Why a job was refused or failed. Each has a counter "refused.NAME" or "failed.NAME" and a text by toString().
enum class Reason : std::uint8_t {
    None,
    BadRequest,
    UnknownTeam,
    UnknownKind,
    TooManyTasks,
    BodyTooLarge,
    BodyMismatch, ///< the same submission id with another body
    DeadlinePast,
    IdFromFuture,
    SubmissionExpired, ///< the id is older than the ledger's horizon
    Overloaded,
    QuotaExceeded,
    Unplaceable, ///< no agent can ever run it
    OwnerSuspended, ///< the owner has no authority at the moment
    OwnerRecovering,
    OwnerUnreachable,
    OwnerLost, ///< the former owner's record of the submission is lost
    SettingsStale,
    Draining,
    DeadlineExceeded,
    AttemptLost, ///< an attempt that must not be repeated was lost
    RetriesExhausted,
    TaskFailed, ///< the backend server reported a failure
    RunTimeLimit,
    Cancelled,
    NotFound,
};

/// The names used in problem details and counters, such as "owner-lost".
std::string_view toString(Reason reason);
std::string_view toString(Outcome outcome);

struct JobSucceeded {
    std::vector<std::string> results; ///< JSON texts in the order of the job's tasks

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(results);
    }
};

struct JobFailed {
    Outcome outcome = Outcome::Failed;
    Reason reason = Reason::None;
    std::uint32_t retryAfterMs = 0; ///< 0 if a retry does not help
    std::uint16_t taskIndex = 0; ///< the task that decided the failure, where one did
    std::string detail; ///< for people: what the backend server reported

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(outcome, reason, retryAfterMs, taskIndex, detail);
    }
};

/// Complete or failed, never partial.
using JobAnswer = std::variant<JobSucceeded, JobFailed>;

enum class JobPhase : std::uint8_t {
    Unknown,
    Queued,
    Running,
    Succeeded,
    Failed,
};

std::string_view toString(JobPhase phase);

struct JobStatus {
    JobPhase phase = JobPhase::Unknown;
    std::uint16_t tasks = 0;
    std::uint16_t tasksStarted = 0;
    std::uint16_t tasksEnded = 0;
    std::optional<JobAnswer> answer;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(phase, tasks, tasksStarted, tasksEnded, answer);
    }
};

/// Digest of a job body (xxhash64), used to tell a resubmission from another job under the same id.
std::uint64_t computeBodyDigest(const JobBody &body);

} // namespace LaburnumFlow::Protocol
