#include "placement.h"

#include "jobsconstants.h"
#include "jobshape.h"
#include "ownersteps.h"

#include <algorithm>
#include <limits>
#include <set>
#include <string_view>

namespace LaburnumFlow::Jobs {

namespace {

constexpr double loadWeight = 0.1; ///< Spreads tasks over equally fast workers.
constexpr double fullWorkerCost = 100.0; ///< Sorts workers without free capacity last.
constexpr double minLeftoverShare = 0.02; ///< Share of a full worker's processor that background tasks are expected to get.

std::uint32_t countRunsOfStep(const Agent &agent, const Job &job, StepIndex step)
{
    return static_cast<std::uint32_t>(
        std::count_if(agent.runs.begin(), agent.runs.end(), [&](const auto &run) { return isOfStep(job, run.first.task, step); }));
}

/// What a placement in progress counts on the workers: the load there and the tasks that it has assigned to them.
struct PlannedLoad {
    std::vector<Resources> used; ///< By agent, with what is assigned.
    std::vector<Resources> assigned; ///< By agent.
    std::vector<std::uint32_t> tasks; ///< Number of tasks of the step, by agent.
    bool forReservation = false; ///< Only counts runs that don't end by themselves.

    void add(AgentIndex index, const Resources &need)
    {
        used[index] += need;
        assigned[index] += need;
        ++tasks[index];
    }
};

PlannedLoad currentLoad(const OwnerState &state, const Job &job, StepIndex step)
{
    PlannedLoad load;
    load.assigned.resize(state.agents.size());
    for (const Agent &agent : state.agents) {
        load.used.push_back(agent.used);
        load.tasks.push_back(stepSpec(job, step).maxPerWorker > 0 ? countRunsOfStep(agent, job, step) : 0);
    }
    return load;
}

/// Returns the load that is left once all runs have ended that end by themselves or are being stopped, and reserved room is taken.
PlannedLoad lastingLoad(const OwnerState &state, const Job &job, StepIndex step, const Reservations &reservations)
{
    PlannedLoad load;
    load.forReservation = true;
    load.used.resize(state.agents.size());
    load.assigned.resize(state.agents.size());
    load.tasks.resize(state.agents.size());
    for (AgentIndex index = 0; index < state.agents.size(); ++index) {
        load.used[index] += reservations.room(index);
        for (const auto &[run, active] : state.agents[index].runs) {
            if (!isLongRunning(state, run, active)) {
                continue;
            }
            load.used[index] += active.need;
            load.tasks[index] += isOfStep(job, run.task, step) ? 1 : 0;
        }
    }
    return load;
}

bool hasLabel(const WorkerInfo &worker, const std::string &label)
{
    return label.empty() || std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

bool meetsRequirements(const WorkerInfo &worker, const Job &job, const StepSpec &step)
{
    return worker.service == job.rules.service && hasLabel(worker, step.requiredLabel);
}

/// Returns the advice service's decision on the agent's current worker incarnation; null if there is none.
const WorkerAdvice *findAdvice(const OwnerState &state, const Job &job, StepIndex step, AgentIndex index)
{
    const auto known = state.advice.find({job.id, step});
    if (known == state.advice.end()) {
        return nullptr;
    }
    const auto found = known->second.find(index);
    const bool same = found != known->second.end() && state.agents[index].worker && state.agents[index].worker->startTimeMs == found->second.workerStartTimeMs;
    return same ? &found->second : nullptr;
}

bool isAdvised(const OwnerState &state, const Job &job, StepIndex step, AgentIndex index)
{
    return !job.rules.advice || !validTicket(state, job, step, index).empty();
}

bool canPlace(const OwnerState &state, const Job &job, StepIndex stepIndex, AgentIndex index)
{
    const StepSpec &step = stepSpec(job, stepIndex);
    const Agent &agent = state.agents[index];
    if (!meetsRequirements(*agent.worker, job, step) || !hasCapacityFor(agent, step.need) || !isAdvised(state, job, stepIndex, index)) {
        return false;
    }
    return step.maxPerWorker == 0 || countRunsOfStep(agent, job, stepIndex) < step.maxPerWorker;
}

bool canPlace(const OwnerState &state, const Job &job, StepIndex stepIndex, AgentIndex index, const PlannedLoad &planned)
{
    const StepSpec &step = stepSpec(job, stepIndex);
    const Agent &agent = state.agents[index];
    if (!meetsRequirements(*agent.worker, job, step) || !isAdvised(state, job, stepIndex, index)) {
        return false;
    }
    if (!isWithin(planned.used[index] + step.need, agent.worker->capacity)) {
        return false;
    }
    return step.maxPerWorker == 0 || planned.tasks[index] < step.maxPerWorker;
}

/// Returns whether the worker may run the step once it has room for it.
bool couldRun(const OwnerState &state, const Job &job, StepIndex stepIndex, AgentIndex index)
{
    const StepSpec &step = stepSpec(job, stepIndex);
    const Agent &agent = state.agents[index];
    if (!acceptsWork(agent, state.now) || !meetsRequirements(*agent.worker, job, step) || !isWithin(step.need, agent.worker->capacity)) {
        return false;
    }
    const WorkerAdvice *advice = job.rules.advice ? findAdvice(state, job, stepIndex, index) : nullptr;
    const bool denied = advice != nullptr && advice->ticket.empty();
    return !denied;
}

/// Returns whether the task must not go to the worker because it failed there. As attempts are few, it waits for another worker if there is one, but not for
/// long: that one may be full for good, or have as many tasks of the step as it may have.
bool mustAvoid(const OwnerState &state, const Job &job, std::uint32_t flat, AgentIndex index)
{
    const Task &task = job.tasks[flat];
    if (task.avoidedAgent != index || state.now >= task.avoidedUntil) {
        return false;
    }
    const StepIndex step = findStepIndex(job, flat);
    for (AgentIndex other = 0; other < state.agents.size(); ++other) {
        if (other != index && couldRun(state, job, step, other)) {
            return true;
        }
    }
    return false;
}

double relativeLoad(const Agent &agent)
{
    return (static_cast<double>(agent.used.cpuMilli) + agent.used.backgroundMilli) / std::max(1U, agent.worker->capacity.cpuMilli);
}

/// Returns whether tasks of the step run on another rack.
bool hasTasksOnOtherRack(const OwnerState &state, const Job &job, StepIndex step, const std::string &rack)
{
    for (std::uint32_t flat = job.firstTask[step]; flat < job.firstTask[step + 1U]; ++flat) {
        const Task &task = job.tasks[flat];
        if (task.phase != Task::Phase::Active) {
            continue;
        }
        const auto &worker = state.agents[task.agent].worker;
        if (worker && worker->rack != rack) {
            return true;
        }
    }
    return false;
}

/// Returns the factor by which a background task runs longer because it only gets what others leave idle.
double backgroundSlowdown(const Agent &agent, const Resources &need)
{
    const double capacity = agent.worker->capacity.cpuMilli;
    const double left = std::max(capacity - agent.used.cpuMilli - agent.used.backgroundMilli, minLeftoverShare * capacity);
    return std::max(1.0, need.backgroundMilli / std::max(left, 1.0));
}

/// Returns the expected run time on the worker, relative to an idle worker of speed 1 on the rack of the data.
double placementCost(const OwnerState &state, const StepSpec &step, const Agent &agent)
{
    double cost = backgroundSlowdown(agent, step.need) / expectedSpeed(agent, state.kindSpeeds, state.now);
    cost *= step.dataRack.empty() || step.dataRack == agent.worker->rack ? 1.0 : state.settings.remoteFactor;
    return cost * (1.0 + loadWeight * relativeLoad(agent));
}

struct GangPlacement {
    std::vector<AgentIndex> agents; ///< Empty if the workers can't take all tasks.
    double slowest = 0.0; ///< Cost of the slowest member, which decides when all end.
};

/// Returns the worker with the lowest cost for the task on one rack, or on any if \a rack is empty; noAgent if there is none.
std::pair<AgentIndex, double>
cheapestWorker(const OwnerState &state, const Job &job, std::uint32_t flat, std::string_view rack, const PlannedLoad &planned, const Reservations &reservations)
{
    const StepIndex stepIndex = findStepIndex(job, flat);
    AgentIndex best = noAgent;
    double bestCost = 0.0;
    for (AgentIndex index = 0; index < state.agents.size(); ++index) {
        const Agent &agent = state.agents[index];
        if (!acceptsWork(agent, state.now) || (!rack.empty() && agent.worker->rack != rack)) {
            continue;
        }
        if (!canPlace(state, job, stepIndex, index, planned) || mustAvoid(state, job, flat, index)) {
            continue;
        }
        if (!planned.forReservation && !reservations.allow(state, stepSpec(job, stepIndex), index, planned.assigned[index])) {
            continue;
        }
        // When workers are chosen for a reservation, those with the lowest load become free first.
        const double cost = planned.forReservation ? relativeLoad(agent) : placementCost(state, stepSpec(job, stepIndex), agent);
        if (best == noAgent || cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return {best, bestCost};
}

/// Finds workers for all ready tasks of the step on one rack, or on any if \a rack is empty.
GangPlacement
findGangPlacement(const OwnerState &state, const Job &job, StepIndex step, std::string_view rack, PlannedLoad planned, const Reservations &reservations)
{
    GangPlacement choice;
    for (std::uint32_t flat = job.firstTask[step]; flat < job.firstTask[step + 1U]; ++flat) {
        if (job.tasks[flat].phase != Task::Phase::Ready) {
            continue;
        }
        const auto [agent, cost] = cheapestWorker(state, job, flat, rack, planned, reservations);
        // Long-running tasks don't wait for each other unless they are a gang.
        if (agent == noAgent && planned.forReservation && !stepSpec(job, step).gang) {
            continue;
        }
        if (agent == noAgent) {
            return {};
        }
        planned.add(agent, stepSpec(job, step).need);
        choice.agents.push_back(agent);
        choice.slowest = std::max(choice.slowest, cost);
    }
    return choice;
}

std::set<std::string> racksOfService(const OwnerState &state, const std::string &service)
{
    std::set<std::string> racks;
    for (const Agent &agent : state.agents) {
        if (acceptsWork(agent, state.now) && agent.worker->service == service && !agent.worker->rack.empty()) {
            racks.insert(agent.worker->rack);
        }
    }
    return racks;
}

GangPlacement bestSingleRackPlacement(const OwnerState &state, const Job &job, StepIndex step, const PlannedLoad &planned, const Reservations &reservations)
{
    GangPlacement best;
    for (const std::string &rack : racksOfService(state, job.rules.service)) {
        GangPlacement choice = findGangPlacement(state, job, step, rack, planned, reservations);
        if (!choice.agents.empty() && (best.agents.empty() || choice.slowest < best.slowest)) {
            best = std::move(choice);
        }
    }
    return best;
}

} // namespace

bool isLongRunning(const OwnerState &state, const RunRef &run, const ActiveRun &active)
{
    const auto found = state.jobs.find(run.task.job);
    return !active.stopping && found != state.jobs.end() && run.task.step < found->second.spec.steps.size()
           && found->second.spec.steps[run.task.step].longRunning;
}

Base::Duration expectedRunTime(const OwnerState &state, const StepSpec &step, const Agent &agent)
{
    const std::chrono::duration<double, std::milli> expected(placementCost(state, step, agent) * effectiveEstimateMs(step));
    return std::chrono::duration_cast<Base::Duration>(expected);
}

double maxCostInTime(const OwnerState &state, const Job &job, const StepSpec &step)
{
    const bool hasWaited = state.now >= job.arrivedAt + maxPlacementWait;
    const bool mayBeSlow = job.longRunning || job.starved || job.timeliness != Timeliness::InTime || job.state != JobState::Queued;
    if (step.need.backgroundMilli > 0 || mayBeSlow || hasWaited) {
        return std::numeric_limits<double>::infinity();
    }
    const auto left = std::chrono::duration<double, std::milli>(job.arrivedAt + job.objective - state.now);
    return left.count() / std::max(1U, job.chainMs);
}

WorkerChoice chooseWorker(const OwnerState &state, const Job &job, std::uint32_t flat, double maxCost, const Reservations &reservations)
{
    const StepIndex stepIndex = findStepIndex(job, flat);
    const StepSpec &step = stepSpec(job, stepIndex);
    WorkerChoice choice;
    double bestCost = 0.0;
    for (AgentIndex index = 0; index < state.agents.size(); ++index) {
        const Agent &agent = state.agents[index];
        if (!acceptsWork(agent, state.now) || !canPlace(state, job, stepIndex, index)) {
            continue;
        }
        const double groupCost = placementCost(state, step, agent);
        choice.leastCost = choice.othersMayFit || choice.keptOut ? std::min(choice.leastCost, groupCost) : groupCost;
        if (!reservations.allow(state, step, index, {})) {
            choice.keptOut = true;
            continue;
        }
        choice.othersMayFit = true;
        const bool otherRack = step.sameRack && hasTasksOnOtherRack(state, job, stepIndex, agent.worker->rack);
        const double cost = groupCost * (otherRack ? state.settings.remoteFactor : 1.0);
        if (cost > maxCost || mustAvoid(state, job, flat, index)) {
            continue;
        }
        if (choice.agent == noAgent || cost < bestCost) {
            choice.agent = index;
            bestCost = cost;
        }
    }
    choice.keptOut &= !choice.othersMayFit;
    return choice;
}

bool hasRoomNow(const OwnerState &state, const Job &job, StepIndex stepIndex)
{
    const StepSpec &step = stepSpec(job, stepIndex);
    const double maxCost = maxCostInTime(state, job, step);
    std::uint32_t missing = step.gang ? step.count : 1;
    for (const Agent &agent : state.agents) {
        if (!acceptsWork(agent, state.now) || !hasCapacityFor(agent, step.need) || !meetsRequirements(*agent.worker, job, step)) {
            continue;
        }
        if (placementCost(state, step, agent) > maxCost) {
            continue;
        }
        Resources planned = step.need;
        for (std::uint32_t tasks = 0; hasCapacityFor(agent, planned) && (step.maxPerWorker == 0 || tasks < step.maxPerWorker); ++tasks) {
            if (--missing == 0) {
                return true;
            }
            planned += step.need;
        }
    }
    return false;
}

bool isServed(const OwnerState &state, const PlacementRequirements &requirements)
{
    return std::any_of(state.agents.begin(), state.agents.end(), [&](const Agent &agent) {
        return acceptsWork(agent, state.now) && agent.worker->service == requirements.worker.service
               && hasLabel(*agent.worker, requirements.worker.requiredLabel) && isWithin(requirements.need, agent.worker->capacity);
    });
}

std::vector<AgentIndex> chooseGangWorkers(const OwnerState &state, const Job &job, StepIndex step, bool allowsRackSplit, const Reservations &reservations)
{
    const PlannedLoad planned = currentLoad(state, job, step);
    if (!stepSpec(job, step).sameRack) {
        return findGangPlacement(state, job, step, {}, planned, reservations).agents;
    }
    GangPlacement onOneRack = bestSingleRackPlacement(state, job, step, planned, reservations);
    if (!onOneRack.agents.empty() || !allowsRackSplit) {
        return onOneRack.agents;
    }
    return findGangPlacement(state, job, step, {}, planned, reservations).agents;
}

std::vector<AgentIndex> workersToReserve(const OwnerState &state, const Job &job, StepIndex step, const Reservations &reservations)
{
    const PlannedLoad planned = lastingLoad(state, job, step, reservations);
    if (stepSpec(job, step).sameRack) {
        GangPlacement onOneRack = bestSingleRackPlacement(state, job, step, planned, {});
        if (!onOneRack.agents.empty()) {
            return onOneRack.agents;
        }
    }
    return findGangPlacement(state, job, step, {}, planned, {}).agents;
}

std::string validTicket(const OwnerState &state, const Job &job, StepIndex step, AgentIndex index)
{
    const WorkerAdvice *advice = job.rules.advice ? findAdvice(state, job, step, index) : nullptr;
    return advice != nullptr && advice->ticketUntil - minTicketValidity > state.now ? advice->ticket : std::string();
}

std::vector<AgentIndex> workersToAsk(const OwnerState &state, const Job &job, StepIndex stepIndex)
{
    const StepSpec &step = stepSpec(job, stepIndex);
    std::vector<std::pair<double, AgentIndex>> candidates;
    for (AgentIndex index = 0; index < state.agents.size(); ++index) {
        const Agent &agent = state.agents[index];
        if (!acceptsWork(agent, state.now) || !meetsRequirements(*agent.worker, job, step) || !isWithin(step.need, agent.worker->capacity)) {
            continue;
        }
        const WorkerAdvice *advice = findAdvice(state, job, stepIndex, index);
        const bool expired = advice != nullptr && !advice->ticket.empty() && validTicket(state, job, stepIndex, index).empty();
        if (advice == nullptr || expired) {
            candidates.emplace_back(placementCost(state, step, agent) + (hasCapacityFor(agent, step.need) ? 0.0 : fullWorkerCost), index);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<AgentIndex> workers;
    std::transform(candidates.begin(), candidates.end(), std::back_inserter(workers), [](const auto &candidate) { return candidate.second; });
    return workers;
}

bool fitsOnOneRack(const OwnerState &state, const Job &job, StepIndex step)
{
    return !bestSingleRackPlacement(state, job, step, lastingLoad(state, job, step, {}), {}).agents.empty();
}

double longRunningFreeMilli(const OwnerState &state, const std::string &service)
{
    double freeMilli = 0.0;
    for (const Agent &agent : state.agents) {
        if (agent.linked && agent.worker && !agent.worker->draining && agent.worker->service == service) {
            freeMilli += maxLongRunningShare * agent.worker->capacity.cpuMilli;
        }
    }
    for (const auto &[id, job] : state.jobs) {
        if (!job.longRunning || job.finishing || job.rules.service != service) {
            continue;
        }
        for (const StepSpec &step : job.spec.steps) {
            freeMilli -= step.longRunning ? static_cast<double>(step.count) * step.need.cpuMilli : 0.0;
        }
    }
    return freeMilli;
}

} // namespace LaburnumFlow::Jobs
