#include "ownersteps.h"

#include "jobsconstants.h"
#include "placement.h"

#include <algorithm>
#include <span>
#include <tuple>

namespace LaburnumFlow::Jobs::Internal {

namespace {

/// A scheduling round: one pass over the jobs with ready tasks.
struct Round {
    Context &context;
    std::uint32_t largestFreeMilli = 0; ///< Most processor capacity that is free on one worker, in thousandths of a core.
    ReservedWorkers reservedWorkers;
    std::vector<AdvisedStep> stepsNeedingAdvice = {}; ///< Steps with unplaced tasks in queues that need advice.
};

/// Returns the most processor capacity that is free on one worker. Tasks that need more are skipped without a check of each worker.
std::uint32_t largestFreeMilli(const OwnerState &state)
{
    std::uint32_t largest = 0;
    for (const Agent &agent : state.agents) {
        if (acceptsWork(agent, state.now) && agent.worker->capacity.cpuMilli > agent.used.cpuMilli) {
            largest = std::max(largest, agent.worker->capacity.cpuMilli - agent.used.cpuMilli);
        }
    }
    return largest;
}

void addToOrders(OwnerState &state, AgentIndex index, const Job &job, const RunRef &run)
{
    Agent &agent = state.agents[index];
    auto &starts = agent.outbox.starts;
    const std::string &checkpoint = job.tasks[flatIndex(job, run.task)].checkpoint;
    const bool sameStep = !starts.empty() && starts.back().runs.front().task.job == job.id && starts.back().runs.front().task.step == run.task.step;
    if (!sameStep || starts.back().checkpoint != checkpoint) {
        const StepSpec &step = stepSpec(job, findStepIndex(job, run.task));
        starts.push_back({{}, step.need, job.spec.payload, checkpoint, step.latencyTargetMs, validTicket(state, job, findStepIndex(job, run.task), index)});
    }
    starts.back().runs.push_back(run);
}

/// Starts a task on a worker. \a starts is the number of starts of the task under this owner, including this one.
void start(Round &round, Job &job, std::uint32_t flat, AgentIndex index, std::uint16_t starts)
{
    OwnerState &state = round.context.state;
    Agent &agent = state.agents[index];
    Task &task = job.tasks[flat];
    task.phase = Task::Phase::Active;
    task.agent = index;
    task.starts = starts;
    task.run = static_cast<std::uint32_t>((state.epoch - 1) * runsPerEpoch) + starts;
    --job.readyTasks;
    const RunRef run{taskRef(job, flat), task.run};
    addRunOfTask(state, agent, run, stepSpecOfTask(job, flat).need, agent.ordersSent + 1);
    addToOrders(state, index, job, run);
    markStarted(state, job);
    logDecision(
        round.context,
        "task.placed",
        {{"run", formatRun(run)}, {"agent", agent.name}, {"used", std::to_string(agent.used.cpuMilli)}, {"speed", std::to_string(agent.health.logSpeed)}});
    round.largestFreeMilli = largestFreeMilli(state);
}

/// Returns whether a run of the task may still be running, such as one that is being stopped and belongs to an earlier submission of the job.
bool hasFormerRun(const OwnerState &state, const Job &job, std::uint32_t flat)
{
    return state.runCounts.contains(taskRef(job, flat));
}

/// Returns whether a successor may have recorded the end of the task's last run. Best-effort jobs aren't recorded.
bool mayHaveRecordedEnd(const OwnerState &state, const Job &job, std::uint32_t flat)
{
    const std::optional<Base::MonoTime> &givenUpAt = job.tasks[flat].givenUpAt;
    return !job.bestEffort && givenUpAt && state.storeConfirmedAt < *givenUpAt;
}

/// Returns whether the step has waited for at least \a limit. Otherwise requests another round for that time.
bool hasWaited(Round &round, const StepProgress &progress, Base::Duration limit)
{
    OwnerState &state = round.context.state;
    const Base::MonoTime due = progress.readySince + limit;
    if (state.now >= due) {
        return true;
    }
    requestRescheduleAt(state, due);
    return false;
}

void reserveWorkers(Round &round, const std::vector<AgentIndex> &agents)
{
    round.reservedWorkers.resize(round.context.state.agents.size());
    for (const AgentIndex index : agents) {
        round.reservedWorkers[index] = true;
    }
}

/// Returns whether the step may be spread over racks. One that runs fastest on one rack waits for that as long as the wait may save time.
bool maySplitRacks(Round &round, const Job &job, StepIndex step)
{
    const StepSpec &spec = stepSpec(job, step);
    const Base::Duration saving
        = std::chrono::microseconds(static_cast<std::int64_t>((round.context.state.settings.remoteFactor - 1.0) * 1000.0 * effectiveEstimateMs(spec)));
    return !spec.sameRack || hasWaited(round, job.steps[step], saving) || !fitsOnOneRack(round.context.state, job, step);
}

void placeGang(Round &round, Job &job, StepIndex step)
{
    const std::uint32_t first = job.firstTask[step];
    if (job.tasks[first].phase != Task::Phase::Ready) {
        return;
    }
    for (std::uint32_t flat = first; flat < job.firstTask[step + 1U]; ++flat) {
        if (hasFormerRun(round.context.state, job, flat) || mayHaveRecordedEnd(round.context.state, job, flat)) {
            return;
        }
    }
    std::vector<AgentIndex> agents;
    if (stepSpec(job, step).need.cpuMilli <= round.largestFreeMilli) {
        agents = chooseGangWorkers(round.context.state, job, step, maySplitRacks(round, job, step), round.reservedWorkers);
    }
    if (agents.empty()) {
        if (hasWaited(round, job.steps[step], reservationDelay)) {
            reserveWorkers(round, workersToReserve(round.context.state, job, step));
        }
        return;
    }
    const auto members = std::span(job.tasks).subspan(first, agents.size());
    const auto hasFewerStarts = [](const Task &left, const Task &right) { return left.starts < right.starts; };
    const auto starts = static_cast<std::uint16_t>(std::max_element(members.begin(), members.end(), hasFewerStarts)->starts + 1);
    for (std::uint32_t member = 0; member < agents.size(); ++member) {
        start(round, job, first + member, agents[member], starts);
    }
}

/// Stops runs on the worker until the task has enough capacity there, those first whose stop loses the least work.
void preempt(Round &round, const Job &job, StepIndex step, AgentIndex index)
{
    OwnerState &state = round.context.state;
    Agent &agent = state.agents[index];
    const StepSpec &spec = stepSpec(job, step);
    struct Victim {
        bool losesWork = false; ///< The run saves no checkpoints.
        Base::MonoTime since{};
        RunRef run;
    };
    std::vector<Victim> victims;
    std::int64_t missing = static_cast<std::int64_t>(agent.used.cpuMilli) + spec.need.cpuMilli - agent.worker->capacity.cpuMilli;
    for (const auto &[ref, run] : agent.runs) {
        const Job *other = findJob(state, ref.task.job);
        if (run.stopping || other == nullptr) {
            missing -= run.need.cpuMilli;
        } else if (!other->longRunning) {
            victims.push_back({!other->spec.steps[ref.task.step].checkpointing, run.since, ref});
        }
    }
    // The latest start has done the least work.
    std::sort(victims.begin(), victims.end(), [](const Victim &left, const Victim &right) {
        return std::tie(left.losesWork, right.since, left.run) < std::tie(right.losesWork, left.since, right.run);
    });
    for (const Victim &victim : victims) {
        if (missing <= 0) {
            return;
        }
        missing -= agent.runs.at(victim.run).need.cpuMilli;
        logDecision(round.context, "task.preempted", {{"run", formatRun(victim.run)}, {"agent", agent.name}, {"for", formatId(job.id)}});
        orderStop(agent, victim.run);
    }
}

/// Reserves workers for the unplaced tasks of a long-running step and, after a delay, preempts other work there.
void reserveAndPreempt(Round &round, Job &job, StepIndex step)
{
    const std::vector<AgentIndex> agents = workersToReserve(round.context.state, job, step);
    reserveWorkers(round, agents);
    if (!hasWaited(round, job.steps[step], preemptionDelay)) {
        return;
    }
    std::uint32_t unplacedTasks = 0;
    for (std::uint32_t flat = job.firstTask[step]; flat < job.firstTask[step + 1U]; ++flat) {
        unplacedTasks += job.tasks[flat].phase == Task::Phase::Ready ? 1 : 0;
    }
    for (std::uint32_t i = 0; i < std::min<std::size_t>(unplacedTasks, agents.size()); ++i) {
        preempt(round, job, step, agents[i]);
    }
}

/// Returns whether the restart of the task is delayed. If so, requests another round for the end of the delay.
bool isRestartDelayed(Round &round, const Task &task)
{
    OwnerState &state = round.context.state;
    if (state.now >= task.notBefore) {
        return false;
    }
    requestRescheduleAt(state, task.notBefore);
    return true;
}

void placeTasksSingly(Round &round, Job &job, StepIndex step)
{
    const StepSpec &spec = stepSpec(job, step);
    bool allPlaced = true;
    for (std::uint32_t flat = job.firstTask[step]; flat < job.firstTask[step + 1U] && job.readyTasks > 0; ++flat) {
        if (job.tasks[flat].phase != Task::Phase::Ready || isRestartDelayed(round, job.tasks[flat]) || hasFormerRun(round.context.state, job, flat)
            || mayHaveRecordedEnd(round.context.state, job, flat)) {
            continue;
        }
        const AgentIndex index = spec.need.cpuMilli > round.largestFreeMilli ? noAgent : chooseWorker(round.context.state, job, flat, round.reservedWorkers);
        allPlaced &= index != noAgent;
        if (index != noAgent) {
            start(round, job, flat, index, static_cast<std::uint16_t>(job.tasks[flat].starts + 1));
        }
    }
    if (spec.longRunning && !allPlaced) {
        reserveAndPreempt(round, job, step);
    }
}

bool hasReadyTasks(const Job &job, StepIndex step)
{
    const auto first = job.tasks.begin() + job.firstTask[step];
    const auto last = job.tasks.begin() + job.firstTask[step + 1U];
    return std::any_of(first, last, [](const Task &task) { return task.phase == Task::Phase::Ready; });
}

/// Returns whether the job waits for runs that a former owner may have started on agents that haven't reported. If so, requests another round for the end.
bool awaitsFormerRuns(Round &round, const Job &job)
{
    OwnerState &state = round.context.state;
    if (!job.formerRunsUntil) {
        return false;
    }
    // The former owner was fenced meanwhile. Its runs on the agents that were given up, which are awaited again, end later than that.
    if (!formerRunsResolved(state)) {
        requestRescheduleAt(state, state.formerRunsResolvedBy);
        return true;
    }
    if (state.givenUpAgents.empty() || state.now >= *job.formerRunsUntil) {
        return false;
    }
    requestRescheduleAt(state, *job.formerRunsUntil);
    return true;
}

/// Returns whether all ready tasks of the job were placed.
bool placeTasks(Round &round, Job &job)
{
    if (awaitsFormerRuns(round, job)) {
        return false;
    }
    for (StepIndex step = 0; step < job.steps.size() && job.readyTasks > 0; ++step) {
        if (stepSpec(job, step).gang) {
            placeGang(round, job, step);
        } else {
            placeTasksSingly(round, job, step);
        }
        if (job.rules.advice && hasReadyTasks(job, step)) {
            round.stepsNeedingAdvice.emplace_back(job.id, step);
        }
    }
    return job.readyTasks == 0;
}

} // namespace

void requestRescheduleAt(OwnerState &state, Base::MonoTime due)
{
    state.rescheduleAt = state.rescheduleAt ? std::min(*state.rescheduleAt, due) : due;
}

void schedule(Context &context)
{
    OwnerState &state = context.state;
    updateTimeliness(context);
    if (!state.schedulingDue) {
        return;
    }
    state.rescheduleAt.reset();
    if (!hasAuthority(state)) {
        return;
    }
    Round round{context, largestFreeMilli(state), {}};
    std::size_t skipped = 0;
    auto next = state.ready.begin();
    while (next != state.ready.end() && skipped < maxUnplacedScanned) {
        Job &job = state.jobs.at(next->job);
        // Long-running jobs come first in the queue and may preempt others, so they are considered even without free capacity.
        if (round.largestFreeMilli == 0 && !job.longRunning) {
            break;
        }
        ++next;
        if (!job.bestEffort && state.now >= state.storedWorkUntil) {
            continue;
        }
        if (!placeTasks(round, job)) {
            ++skipped;
        }
        requeue(context, job);
    }
    askAdvice(context, round.stepsNeedingAdvice);
    state.schedulingDue = false;
}

} // namespace LaburnumFlow::Jobs::Internal
