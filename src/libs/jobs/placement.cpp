#include "placement.h"

#include "jobsconstants.h"
#include "ownersteps.h"

#include <algorithm>

namespace LaburnumFlow::Jobs {

namespace {

constexpr double remoteRackFactor = 1.5; ///< run time on another rack than the data's
constexpr double crowdingWeight = 0.1; ///< spreads tasks over workers that are equally fast

std::uint32_t runsOfStep(const Agent &agent, JobId job, std::uint16_t step)
{
    return static_cast<std::uint32_t>(
        std::count_if(agent.runs.begin(), agent.runs.end(), [&](const auto &run) { return run.first.task.job == job && run.first.task.step == step; }));
}

bool allowed(const Agent &agent, const Job &job, std::uint16_t stepIndex)
{
    const StepSpec &step = job.spec.steps[stepIndex];
    const WorkerInfo &worker = *agent.worker;
    if (worker.service != job.rules.service || !fits(agent, step.need)) {
        return false;
    }
    if (!step.requiredLabel.empty() && std::find(worker.labels.begin(), worker.labels.end(), step.requiredLabel) == worker.labels.end()) {
        return false;
    }
    return step.maxPerWorker == 0 || runsOfStep(agent, job.id, stepIndex) < step.maxPerWorker;
}

bool couldRun(const Agent &agent, const Job &job, const StepSpec &step, Base::MonoTime now)
{
    const Resources &capacity = agent.worker ? agent.worker->capacity : Resources{};
    return takesWork(agent, now) && agent.worker->service == job.rules.service && step.need.cpuMilli <= capacity.cpuMilli
           && step.need.memoryMb <= capacity.memoryMb && step.need.gpus <= capacity.gpus;
}

/// A task that failed on a worker waits for another one, as attempts are few; unless there is no other.
bool mustAvoid(const OwnerState &state, const Job &job, std::uint32_t flat, AgentIndex index)
{
    if (job.tasks[flat].avoid != index) {
        return false;
    }
    const StepSpec &step = Internal::stepOf(job, flat);
    for (AgentIndex other = 0; other < state.agents.size(); ++other) {
        if (other != index && couldRun(state.agents[other], job, step, state.now)) {
            return true;
        }
    }
    return false;
}

double crowding(const Agent &agent)
{
    return static_cast<double>(agent.used.cpuMilli) / std::max(1U, agent.worker->capacity.cpuMilli);
}

} // namespace

AgentIndex place(const OwnerState &state, const Job &job, std::uint32_t flat)
{
    const std::uint16_t stepIndex = Internal::refOf(job, flat).step;
    const StepSpec &step = job.spec.steps[stepIndex];
    AgentIndex best = noAgent;
    double bestCost = 0.0;
    for (AgentIndex index = 0; index < state.agents.size(); ++index) {
        const Agent &agent = state.agents[index];
        if (!takesWork(agent, state.now) || !allowed(agent, job, stepIndex) || mustAvoid(state, job, flat, index)) {
            continue;
        }
        double cost = 1.0 / expectedSpeed(agent, state.kindSpeeds, state.now);
        cost *= step.dataRack.empty() || step.dataRack == agent.worker->rack ? 1.0 : remoteRackFactor;
        cost *= 1.0 + crowdingWeight * crowding(agent);
        if (best == noAgent || cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace LaburnumFlow::Jobs
