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
    std::string payload; ///< JSON text, passed unchanged to the backend server

    bool operator==(const TaskSpec &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, payload);
    }
};

/// A validated job. It has at least one task and at most maxTasksPerJob.
struct JobBody {
    std::string team;
    std::vector<TaskSpec> tasks;
    std::uint32_t deadlineMs = 0; ///< time allowed from acceptance at the receiving entry; 0 selects the team's default
    std::string orderingKey; ///< empty if none

    bool operator==(const JobBody &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(team, tasks, deadlineMs, orderingKey);
    }
};

/// What a failure tells the caller about the job's tasks.
enum class Outcome : std::uint8_t {
    NotRun, ///< no task has started or can start later
    Failed, ///< the job was started and failed; the end of its tasks is known
    Unknown, ///< it can't be known whether a task ran to its end
};

/// Why a job was refused or failed. toString() returns the name, which also is part of a counter, "refused.NAME" or "failed.NAME".
enum class Reason : std::uint8_t {
    None,
    BadRequest,
    UnknownTeam,
    UnknownKind,
    TooManyTasks,
    BodyTooLarge,
    BodyMismatch, ///< the submission id was used before with another body
    DeadlinePast,
    IdFromFuture,
    SubmissionExpired, ///< the submission id is older than the deduplication window
    Overloaded,
    QuotaExceeded,
    Unplaceable, ///< no agent can run it
    OwnerSuspended, ///< the owner's authority is suspended
    OwnerRecovering, ///< the owner has not finished a takeover or handover
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

/// Returns the name in problem details and counters, such as "owner-lost".
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
    std::uint32_t retryAfterMs = 0; ///< delay after which a retry may succeed; 0 if it can't
    std::uint16_t taskIndex = 0; ///< index of the task that made the job fail, if one did
    std::string detail; ///< message of the backend server, for people

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(outcome, reason, retryAfterMs, taskIndex, detail);
    }
};

/// Result of a job: the results of all tasks, or a failure without any.
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

/// Returns an xxhash64 of a job body. It tells a resubmission from another job with the same submission id.
std::uint64_t computeBodyDigest(const JobBody &body);

} // namespace LaburnumFlow::Protocol
