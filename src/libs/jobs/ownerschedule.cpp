#include "ownersteps.h"

#include "jobsconstants.h"
#include "placement.h"

#include <algorithm>

namespace LaburnumFlow::Jobs::Internal {

namespace {

/// Jobs of a service that need more processor than any worker has free are passed over without a look at each worker.
std::uint32_t largestFree(const OwnerState &state)
{
    std::uint32_t largest = 0;
    for (const Agent &agent : state.agents) {
        if (takesWork(agent, state.now) && agent.worker->capacity.cpuMilli > agent.used.cpuMilli) {
            largest = std::max(largest, agent.worker->capacity.cpuMilli - agent.used.cpuMilli);
        }
    }
    return largest;
}

void addToOrders(Agent &agent, const Job &job, const RunRef &run)
{
    auto &starts = agent.outbox.starts;
    const bool sameStep = !starts.empty() && starts.back().runs.front().task.job == job.id && starts.back().runs.front().task.step == run.task.step;
    if (!sameStep) {
        starts.push_back({{}, job.spec.steps[run.task.step].need, job.spec.payload});
    }
    starts.back().runs.push_back(run);
}

void start(Context &context, Job &job, std::uint32_t flat, AgentIndex index)
{
    OwnerState &state = context.state;
    Agent &agent = state.agents[index];
    Task &task = job.tasks[flat];
    task.phase = Task::Phase::Active;
    task.agent = index;
    ++task.starts;
    task.run = static_cast<std::uint32_t>((state.epoch - 1) * runsPerEpoch) + task.starts;
    --job.readyTasks;
    const RunRef run{refOf(job, flat), task.run};
    addRun(agent, run, stepOf(job, flat).need, agent.ordersSent + 1);
    addToOrders(agent, job, run);
    markStarted(state, job);
    decide(context,
           "task.placed",
           {{"run", runText(run)}, {"agent", agent.name}, {"used", std::to_string(agent.used.cpuMilli)}, {"speed", std::to_string(agent.health.logSpeed)}});
}

/// Returns whether all ready tasks of the job were placed.
bool placeTasks(Context &context, Job &job, std::uint32_t &free)
{
    for (std::uint32_t flat = 0; flat < job.tasks.size() && job.readyTasks > 0; ++flat) {
        if (job.tasks[flat].phase != Task::Phase::Ready) {
            continue;
        }
        if (stepOf(job, flat).need.cpuMilli > free) {
            continue;
        }
        const AgentIndex index = place(context.state, job, flat);
        if (index == noAgent) {
            continue;
        }
        start(context, job, flat, index);
        free = largestFree(context.state);
    }
    return job.readyTasks == 0;
}

} // namespace

void schedule(Context &context)
{
    OwnerState &state = context.state;
    if (!state.schedulingDue) {
        return;
    }
    state.schedulingDue = false;
    std::uint32_t free = largestFree(state);
    std::size_t passedOver = 0;
    // Jobs that are past all use come last, as every job in time would otherwise become late behind them.
    std::vector<JobId> outdated;
    auto next = state.ready.begin();
    while (next != state.ready.end() && free > 0 && passedOver < maxUnplacedScanned) {
        Job &job = state.jobs.at(next->job);
        ++next;
        if (state.now > job.arrivedAt + std::chrono::duration_cast<Base::Duration>(job.objective * lateFactor)) {
            outdated.push_back(job.id);
            continue;
        }
        if (!placeTasks(context, job, free)) {
            ++passedOver;
        }
        requeue(context, job);
    }
    for (const JobId id : outdated) {
        if (free == 0 || passedOver >= maxUnplacedScanned) {
            break;
        }
        Job &job = state.jobs.at(id);
        if (!placeTasks(context, job, free)) {
            ++passedOver;
        }
        requeue(context, job);
    }
    state.schedulingDue = false;
}

} // namespace LaburnumFlow::Jobs::Internal
