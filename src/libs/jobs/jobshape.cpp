#include "jobshape.h"

#include "jobsconstants.h"

#include <algorithm>
#include <cmath>

namespace LaburnumFlow::Jobs {

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
        beginOccurrence(job);
    }
    return job;
}

void beginOccurrence(Job &job)
{
    for (const StepSpec &step : job.spec.steps) {
        job.firstTask.push_back(job.firstTask.back() + step.count);
    }
    job.steps.resize(job.firstTask.size() - 1);
    job.tasks.resize(job.firstTask.back());
}

std::uint32_t occurrencesBegun(const Job &job)
{
    return static_cast<std::uint32_t>(job.steps.size() / job.spec.steps.size());
}

std::optional<Base::WallTime> nextOccurrenceAt(const Job &job)
{
    const Repetition &repetition = job.spec.repetition;
    const std::uint32_t begun = occurrencesBegun(job);
    if (begun >= repetition.count) {
        return std::nullopt;
    }
    return Base::WallTime(repetition.firstMs + static_cast<std::int64_t>(begun) * repetition.intervalMs);
}

bool isComplete(const Job &job)
{
    return occurrencesBegun(job) >= std::max(1U, job.spec.repetition.count) && job.doneTasks == job.tasks.size();
}

const StepSpec &stepSpec(const Job &job, StepIndex step)
{
    const std::size_t steps = job.spec.steps.size();
    return job.spec.steps[step < steps ? step : step % steps];
}

StepIndex findStepIndex(const Job &job, const TaskRef &task)
{
    return task.occurrence * static_cast<StepIndex>(job.spec.steps.size()) + task.step;
}

bool hasTask(const Job &job, const TaskRef &task)
{
    return task.occurrence < occurrencesBegun(job) && task.step < job.spec.steps.size() && task.index < job.spec.steps[task.step].count;
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
    const auto steps = static_cast<StepIndex>(job.spec.steps.size());
    return {job.id, static_cast<std::uint16_t>(step % steps), flat - job.firstTask[step], step / steps};
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
