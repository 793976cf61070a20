#include "ownercounts.h"

#include "jobs/jobshape.h"

#include <algorithm>

namespace LaburnumFlow::Jobs::Testing {

namespace {

std::uint32_t countTasksInPhase(const Job &job, StepIndex step, Task::Phase phase)
{
    const auto first = job.tasks.begin() + job.firstTask[step];
    const auto last = job.tasks.begin() + job.firstTask[step + 1U];
    return static_cast<std::uint32_t>(std::count_if(first, last, [phase](const Task &task) { return task.phase == phase; }));
}

std::uint32_t countTasksInPhase(const Job &job, Task::Phase phase)
{
    return static_cast<std::uint32_t>(std::count_if(job.tasks.begin(), job.tasks.end(), [phase](const Task &task) { return task.phase == phase; }));
}

bool areStepsMiscounted(const Job &job)
{
    for (StepIndex step = 0; step < job.steps.size(); ++step) {
        const StepProgress &progress = job.steps[step];
        if (progress.blockedTasks != countTasksInPhase(job, step, Task::Phase::Blocked)
            || progress.readyTasks != countTasksInPhase(job, step, Task::Phase::Ready)
            || progress.doneTasks != countTasksInPhase(job, step, Task::Phase::Done)) {
            return true;
        }
    }
    return job.readyTasks != countTasksInPhase(job, Task::Phase::Ready) || job.doneTasks != countTasksInPhase(job, Task::Phase::Done);
}

bool areOccurrencesMisplaced(const Job &job)
{
    const std::vector<std::uint32_t> &numbers = job.occurrences.numbers();
    for (OccurrencePosition position = 0; position < numbers.size(); ++position) {
        if (job.occurrences.find(numbers[position]) != position) {
            return true;
        }
    }
    return job.steps.size() != numbers.size() * job.spec.steps.size() || job.occurrences.find(job.occurrences.next());
}

std::size_t countWaitingSteps(const Job &job)
{
    const auto waits = [](const StepProgress &progress) { return progress.readyTasks > 0; };
    return job.queuedAt ? static_cast<std::size_t>(std::count_if(job.steps.begin(), job.steps.end(), waits)) : 0;
}

std::string findMiscountOfRuns(const OwnerState &state)
{
    std::size_t runs = 0;
    for (const Agent &agent : state.agents) {
        Resources used;
        for (const auto &[run, active] : agent.runs) {
            used += active.need;
        }
        runs += agent.runs.size();
        if (used != agent.used) {
            return "the use of " + agent.name + " is miscounted";
        }
    }
    std::size_t counted = 0;
    for (const auto &[task, count] : state.runCounts) {
        counted += count;
    }
    return counted == runs ? std::string() : "the runs of tasks are miscounted";
}

} // namespace

std::string findMiscount(const OwnerState &state)
{
    std::size_t waitingSteps = 0;
    std::size_t tasksInDoubt = 0;
    for (const auto &[id, job] : state.jobs) {
        if (areStepsMiscounted(job)) {
            return "the tasks of a job are miscounted";
        }
        if (areOccurrencesMisplaced(job)) {
            return "the occurrences of a job are misplaced";
        }
        waitingSteps += countWaitingSteps(job);
        tasksInDoubt += countTasksInPhase(job, Task::Phase::InDoubt);
    }
    std::size_t listed = 0;
    for (const auto &[requirements, steps] : state.waitingSteps) {
        listed += steps.size();
    }
    if (listed != waitingSteps) {
        return "the waiting steps are miscounted";
    }
    return tasksInDoubt == state.tasksInDoubt ? findMiscountOfRuns(state) : "the tasks in doubt are miscounted";
}

} // namespace LaburnumFlow::Jobs::Testing
