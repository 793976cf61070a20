#pragma once

#include "base/types.h"

#include <cereal/types/optional.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Stored jobs: accepted once they are in the platform's store, run by the owner, asked for by their ID later.
namespace LaburnumFlow::Jobs {

/// Chosen by the caller. A submission with the ID of an earlier one is the same job.
using JobId = std::uint64_t;

/// What a task needs, or what a worker has.
struct Resources {
    std::uint32_t cpuMilli = 0; ///< thousandths of a core
    std::uint32_t memoryMb = 0;
    std::uint32_t gpus = 0;
    std::uint32_t backgroundMilli = 0; ///< thousandths of a core that it uses only where other tasks leave them; not counted against a worker's capacity

    bool operator==(const Resources &) const = default;

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

/// Equal tasks that may run side by side.
struct StepSpec {
    std::uint32_t count = 1;
    Resources need;
    std::uint32_t estimateMs = 0; ///< the caller's rough estimate of a task's run time; 0 if not given
    std::vector<std::uint16_t> after; ///< earlier steps whose tasks must all be done first
    std::string requiredLabel; ///< empty: any worker
    std::string dataRack; ///< rack on which the tasks run fastest; empty: none
    std::uint32_t maxPerWorker = 0; ///< 0: no limit
    bool gang = false; ///< the tasks work only while all of them run, and end as done together
    bool sameRack = false; ///< the tasks run fastest when all are on one rack
    bool checkpointing = false; ///< a task can resume from a checkpoint of an earlier run
    bool longRunning = false; ///< the tasks run until their job is cancelled, and start again however they end
    std::uint32_t latencyTargetMs = 0; ///< the tasks serve users of their own, whose tail latency must stay below this; 0: none

    bool operator==(const StepSpec &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(count, need, estimateMs, after, requiredLabel, dataRack, maxPerWorker, gang, sameRack, checkpointing, longRunning, latencyTargetMs);
    }
};

/// A job whose steps run several times, each time at its own time. Occurrences may overlap.
struct Repetition {
    std::uint32_t count = 0; ///< 0: the steps run once, at once
    std::int64_t firstMs = 0; ///< Unix time of the first occurrence
    std::uint32_t intervalMs = 0;

    bool operator==(const Repetition &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(count, firstMs, intervalMs);
    }
};

/// What a caller submits.
struct JobSpec {
    std::string payload; ///< passed to the worker with each task
    std::vector<StepSpec> steps;
    Repetition repetition = {};

    bool operator==(const JobSpec &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(payload, steps, repetition);
    }
};

/// A service outside says which workers may run a step, and gives a ticket for each.
struct AdviceRules {
    std::uint32_t decideMs = 0; ///< the service takes this long for a call
    std::uint32_t eachMs = 0; ///< and this much longer for each worker named in it
    std::uint32_t validMs = 0; ///< workers take a ticket for this long

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
    std::string service; ///< whose workers run the tasks
    std::uint32_t priority = 0; ///< 0 comes first
    std::uint32_t maxAttempts = 1; ///< a task that failed this often fails its job
    double stretch = 1.0; ///< a job is in time up to stretch times its longest chain of work, and targetMs more
    std::uint32_t targetMs = 0;
    std::optional<AdviceRules> advice = {}; ///< nothing: any worker of the service may run the tasks

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
    Completed, ///< all tasks ended as done
    Failed, ///< a task failed as often as its queue allows
    Cancelled,
};

inline bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

/// A task of a job.
struct TaskRef {
    JobId job = 0;
    std::uint16_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t occurrence = 0; ///< of a repeated job

    auto operator<=>(const TaskRef &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job, step, index, occurrence);
    }
};

/// One start of a task. A later start has a higher run.
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

struct RunRefHash {
    std::size_t operator()(const RunRef &ref) const noexcept
    {
        std::uint64_t value = ref.task.job ^ (static_cast<std::uint64_t>(ref.task.step) << 48U);
        value ^= static_cast<std::uint64_t>(ref.task.index) * 0x9E3779B97F4A7C15ULL;
        value ^= static_cast<std::uint64_t>(ref.task.occurrence) << 32U;
        return value ^ (static_cast<std::uint64_t>(ref.run) << 20U);
    }
};

enum class RunOutcome : std::uint8_t {
    Done,
    Failed,
    Stopped, ///< by an order
    Lapsed, ///< its lease ran out, or its worker is gone
    Broken, ///< it ended with another task that it depends on
};

} // namespace LaburnumFlow::Jobs
