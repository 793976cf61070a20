#pragma once

#include "base/types.h"

#include <cereal/types/optional.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Jobs that are accepted once they are in the platform's store, run under one owner entry, and can be queried by their ID. Best-effort jobs aren't stored.
namespace LaburnumFlow::Jobs {

/// Chosen by the caller. Submissions with the same ID are the same job, which makes them idempotent.
using JobId = std::uint64_t;

/// The resources that a task needs or that a worker has.
struct Resources {
    std::uint32_t cpuMilli = 0; ///< Thousandths of a core.
    std::uint32_t memoryMb = 0;
    std::uint32_t gpus = 0;
    std::uint32_t backgroundMilli = 0; ///< Thousandths of a core used only while other tasks leave them idle; not counted against the worker's capacity.

    auto operator<=>(const Resources &) const = default;

    Resources &operator+=(const Resources &other)
    {
        cpuMilli += other.cpuMilli;
        memoryMb += other.memoryMb;
        gpus += other.gpus;
        backgroundMilli += other.backgroundMilli;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        cpuMilli -= other.cpuMilli;
        memoryMb -= other.memoryMb;
        gpus -= other.gpus;
        backgroundMilli -= other.backgroundMilli;
        return *this;
    }

    friend Resources operator+(Resources left, const Resources &right)
    {
        return left += right;
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(cpuMilli, memoryMb, gpus, backgroundMilli);
    }
};

inline bool isWithin(const Resources &need, const Resources &capacity)
{
    return need.cpuMilli <= capacity.cpuMilli && need.memoryMb <= capacity.memoryMb && need.gpus <= capacity.gpus;
}

/// A number of equal tasks that may run in parallel.
struct StepSpec {
    std::uint32_t count = 1;
    Resources need;
    std::uint32_t estimateMs = 0; ///< The caller's rough estimate of a task's run time; 0 if not given.
    std::vector<std::uint16_t> after; ///< Indices of earlier steps whose tasks must all be done first.
    std::string requiredLabel; ///< Label that the worker must have; empty for any worker.
    std::string dataRack; ///< Rack on which the tasks run fastest; empty for none.
    std::uint32_t maxPerWorker = 0; ///< Tasks of the step on one worker at a time; 0 for no limit.
    bool gang = false; ///< The tasks make progress only while all of them run, and complete together.
    bool sameRack = false; ///< The tasks run fastest when all are on one rack.
    bool checkpointing = false; ///< A task can resume from a checkpoint of an earlier run.
    bool longRunning = false; ///< The tasks run until their job is cancelled and are restarted however they end.
    std::uint32_t latencyTargetMs = 0; ///< Tail latency that the users of the tasks must not exceed; 0 for none.

    bool operator==(const StepSpec &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(count, need, estimateMs, after, requiredLabel, dataRack, maxPerWorker, gang, sameRack, checkpointing, longRunning, latencyTargetMs);
    }
};

/// Runs all steps of a job several times at fixed intervals. Occurrences may overlap.
struct Repetition {
    std::uint32_t count = 0; ///< Number of occurrences; 0 runs the steps once and immediately.
    std::int64_t firstMs = 0; ///< Unix time of the first occurrence, in milliseconds.
    std::uint32_t intervalMs = 0;

    bool operator==(const Repetition &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(count, firstMs, intervalMs);
    }
};

/// A job as its caller submits it.
struct JobSpec {
    std::string payload; ///< Passed to the worker with each task.
    std::vector<StepSpec> steps;
    Repetition repetition = {};

    bool operator==(const JobSpec &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(payload, steps, repetition);
    }
};

/// Settings of the external advice service, which decides which workers may run a step and issues a ticket for each of them.
struct AdviceRules {
    std::uint32_t decideMs = 0; ///< Time that the service takes for a call.
    std::uint32_t eachMs = 0; ///< Additional time for each worker in the call.
    std::uint32_t validMs = 0; ///< How long workers accept a ticket.

    bool operator==(const AdviceRules &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(decideMs, eachMs, validMs);
    }
};

/// The operator's rules for a queue of jobs.
struct QueueRules {
    std::string name;
    std::string service; ///< Service whose workers run the tasks.
    std::uint32_t priority = 0; ///< 0 is the highest.
    std::uint32_t maxAttempts = 1; ///< Number of failures of one task that fail its job.
    double stretch = 1.0; ///< A job is in time if it takes no more than stretch times its longest chain of work plus targetMs.
    std::uint32_t targetMs = 0;
    std::optional<AdviceRules> advice = {}; ///< If not set, any worker of the service may run the tasks.

    bool operator==(const QueueRules &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, service, priority, maxAttempts, stretch, targetMs, advice);
    }
};

enum class JobState : std::uint8_t {
    Queued,
    Running,
    Completed, ///< All tasks are done.
    Failed, ///< A task has failed as often as its queue allows.
    Cancelled,
    Withdrawn, ///< Cancelled when no such job was known. Callers see no job, and one that is submitted later never starts.
};

inline bool isFinal(JobState state)
{
    return state != JobState::Queued && state != JobState::Running;
}

/// Identifies a task of a job.
struct TaskRef {
    JobId job = 0;
    std::uint16_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t occurrence = 0; ///< Counts the occurrences of a repeated job from 0.

    auto operator<=>(const TaskRef &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job, step, index, occurrence);
    }
};

/// Identifies one start of a task. Later starts have higher run numbers.
struct RunRef {
    TaskRef task;
    std::uint32_t run = 0;

    auto operator<=>(const RunRef &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(task, run);
    }
};

struct TaskRefHash {
    std::size_t operator()(const TaskRef &ref) const noexcept
    {
        std::uint64_t value = ref.job ^ (static_cast<std::uint64_t>(ref.step) << 48U);
        value ^= static_cast<std::uint64_t>(ref.index) * 0x9E3779B97F4A7C15ULL;
        return value ^ (static_cast<std::uint64_t>(ref.occurrence) << 32U);
    }
};

struct RunRefHash {
    std::size_t operator()(const RunRef &ref) const noexcept
    {
        return TaskRefHash()(ref.task) ^ (static_cast<std::uint64_t>(ref.run) << 20U);
    }
};

enum class RunOutcome : std::uint8_t {
    Done,
    Failed,
    Stopped, ///< By an order of the owner.
    Lapsed, ///< The lease expired or the worker terminated.
    Broken, ///< Another task that it depends on has ended.
};

} // namespace LaburnumFlow::Jobs
