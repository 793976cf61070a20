#include "jobshape.h"

#include "jobsconstants.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace LaburnumFlow::Jobs {

namespace {

void appendTasks(Job &job)
{
    for (const StepSpec &step : job.spec.steps) {
        job.firstTask.push_back(job.firstTask.back() + step.count);
        job.steps.emplace_back().blockedTasks = step.count;
    }
    job.tasks.resize(job.firstTask.back());
}

/// Replaces the tasks of an occurrence that is done by those of one that begins.
void resetTasks(Job &job, OccurrencePosition position)
{
    const StepIndex firstStep = firstStepAt(job, position);
    const std::uint32_t first = job.firstTask[firstStep];
    const std::uint32_t end = job.firstTask[firstStepAt(job, position + 1)];
    std::fill(job.tasks.begin() + first, job.tasks.begin() + end, Task{});
    for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
        job.steps[firstStep + step] = StepProgress{};
        job.steps[firstStep + step].blockedTasks = job.spec.steps[step].count;
    }
    job.failedRuns.erase(job.failedRuns.lower_bound({first, 0}), job.failedRuns.lower_bound({end, 0}));
    job.doneTasks -= end - first;
}

} // namespace

Job makeJob(JobId id, QueueRules rules, JobSpec spec, Base::MonoTime arrivedAt)
{
    Job job;
    job.id = id;
    job.rules = std::move(rules);
    job.spec = std::move(spec);
    job.arrivedAt = arrivedAt;
    job.chainMs = longestChainMs(job.spec);
    job.objective = std::chrono::milliseconds(std::llround(job.rules.stretch * job.chainMs + job.rules.targetMs));
    job.longRunning = std::any_of(job.spec.steps.begin(), job.spec.steps.end(), [](const StepSpec &step) { return step.longRunning; });
    job.firstTask.push_back(0);
    if (job.spec.repetition.count == 0) {
        beginOccurrence(job, 0);
    }
    return job;
}

std::uint32_t countTasks(const JobSpec &spec)
{
    return std::accumulate(spec.steps.begin(), spec.steps.end(), 0U, [](std::uint32_t sum, const StepSpec &step) { return sum + step.count; });
}

OccurrencePosition beginOccurrence(Job &job, std::uint32_t occurrence)
{
    const OccurrencePosition position = job.occurrences.begin(occurrence);
    if (firstStepAt(job, position) == job.steps.size()) {
        appendTasks(job);
    } else {
        resetTasks(job, position);
    }
    return position;
}

void restoreOccurrences(Job &job, std::uint32_t next, std::vector<std::uint32_t> occurrences)
{
    const std::size_t count = occurrences.size();
    job.occurrences = OccurrencePositions(next, std::move(occurrences));
    for (std::size_t position = 0; position < count; ++position) {
        appendTasks(job);
    }
}

std::optional<Base::WallTime> nextOccurrenceAt(const Job &job)
{
    const Repetition &repetition = job.spec.repetition;
    const std::uint32_t next = job.occurrences.next();
    const bool hasRoom = job.tasks.empty() || job.occurrences.reusable() || job.tasks.size() + countTasks(job.spec) <= maxTasksOfRepeatedJob;
    if (next >= repetition.count || !hasRoom) {
        return std::nullopt;
    }
    return Base::WallTime(repetition.firstMs + static_cast<std::int64_t>(next) * repetition.intervalMs);
}

bool isOccurrenceDone(const Job &job, OccurrencePosition position)
{
    const StepIndex first = firstStepAt(job, position);
    for (StepIndex step = first; step < firstStepAt(job, position + 1); ++step) {
        if (job.steps[step].doneTasks < stepSpec(job, step).count) {
            return false;
        }
    }
    return true;
}

bool isComplete(const Job &job)
{
    return job.occurrences.next() >= std::max(1U, job.spec.repetition.count) && job.doneTasks == job.tasks.size();
}

const StepSpec &stepSpec(const Job &job, StepIndex step)
{
    const std::size_t steps = job.spec.steps.size();
    return job.spec.steps[step < steps ? step : step % steps];
}

bool hasTask(const Job &job, const TaskRef &task)
{
    return job.occurrences.find(task.occurrence) && task.step < job.spec.steps.size() && task.index < job.spec.steps[task.step].count;
}

bool isForgotten(const Job &job, const TaskRef &task)
{
    return job.occurrences.hasBegun(task.occurrence) && !job.occurrences.find(task.occurrence);
}

bool isOfStep(const Job &job, const TaskRef &task, StepIndex step)
{
    return task.job == job.id && task.step == step % job.spec.steps.size() && task.occurrence == job.occurrences.numbers()[positionOfStep(job, step)];
}

StepIndex firstStepAt(const Job &job, OccurrencePosition position)
{
    return position * static_cast<StepIndex>(job.spec.steps.size());
}

OccurrencePosition positionOfStep(const Job &job, StepIndex step)
{
    const auto steps = static_cast<StepIndex>(job.spec.steps.size());
    return step < steps ? 0 : step / steps;
}

StepIndex findStepIndex(const Job &job, const TaskRef &task)
{
    return firstStepAt(job, *job.occurrences.find(task.occurrence)) + task.step;
}

std::uint32_t flatIndex(const Job &job, const TaskRef &task)
{
    return job.firstTask[findStepIndex(job, task)] + task.index;
}

StepIndex findStepIndex(const Job &job, std::uint32_t flat)
{
    const auto next = std::upper_bound(job.firstTask.begin(), job.firstTask.end(), flat);
    return static_cast<StepIndex>(std::distance(job.firstTask.begin(), next) - 1);
}

StepIndex stepOfTask(const Job &job, const Task &task)
{
    return findStepIndex(job, static_cast<std::uint32_t>(&task - job.tasks.data()));
}

const StepSpec &stepSpecOfTask(const Job &job, std::uint32_t flat)
{
    return stepSpec(job, findStepIndex(job, flat));
}

TaskRef taskRef(const Job &job, std::uint32_t flat)
{
    const StepIndex step = findStepIndex(job, flat);
    const OccurrencePosition position = positionOfStep(job, step);
    return {job.id, static_cast<std::uint16_t>(step - firstStepAt(job, position)), flat - job.firstTask[step], job.occurrences.numbers()[position]};
}

std::uint32_t effectiveEstimateMs(const StepSpec &step)
{
    return step.estimateMs == 0 ? defaultEstimateMs : step.estimateMs;
}

std::uint32_t longestChainMs(const JobSpec &spec)
{
    std::vector<std::uint32_t> endMs(spec.steps.size());
    std::uint32_t longest = 0;
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        std::uint32_t begin = 0;
        for (const std::uint16_t earlier : spec.steps[step].after) {
            begin = std::max(begin, endMs[earlier]);
        }
        endMs[step] = begin + effectiveEstimateMs(spec.steps[step]);
        longest = std::max(longest, endMs[step]);
    }
    return longest;
}

} // namespace LaburnumFlow::Jobs
