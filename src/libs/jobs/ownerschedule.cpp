#include "ownersteps.h"

#include "jobsconstants.h"
#include "knownroom.h"
#include "placement.h"
#include "waitingsteps.h"
#include "waitreasons.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <span>
#include <tuple>

namespace LaburnumFlow::Jobs::Internal {

namespace {

/// A scheduling round: one pass over the steps with ready tasks.
struct Round {
    Context &context;
    std::uint32_t largestFreeMilli
        = 0; ///< Most processor capacity that is free on one worker. Tasks that need more are skipped without a check of each worker.
    Reservations reservations = {};
    std::vector<AdvisedStep> stepsNeedingAdvice = {}; ///< Steps with unplaced tasks in queues that need advice.
};

/// The next step of a placement group in a round.
struct GroupHead {
    WaitingStep next;
    const std::set<WaitingStep> *steps = nullptr; ///< All steps of the group.
    KnownRoom *knownRoom = nullptr; ///< Shared by the groups with equal worker requirements.
};

/// Sorts a heap so that the step that comes first in the queue is at its front.
bool comesLater(const GroupHead &left, const GroupHead &right)
{
    return right.next < left.next;
}

/// Updates the round's view of the workers. Requests another round for the time at which workers whose probe still runs may get another run.
void surveyWorkers(Round &round)
{
    OwnerState &state = round.context.state;
    round.largestFreeMilli = 0;
    for (const Agent &agent : state.agents) {
        const std::optional<Base::MonoTime> probe = agent.health.probing ? probeDue(agent.health) : std::nullopt;
        if (probe && state.now < *probe) {
            requestRescheduleAt(state, *probe);
            continue;
        }
        if (acceptsWork(agent, state.now) && agent.worker->capacity.cpuMilli > agent.used.cpuMilli) {
            round.largestFreeMilli = std::max(round.largestFreeMilli, agent.worker->capacity.cpuMilli - agent.used.cpuMilli);
        }
    }
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
    setPhase(state, job, task, Task::Phase::Active);
    task.agent = index;
    task.starts = starts;
    task.run = static_cast<std::uint32_t>((state.epoch - 1) * runsPerEpoch) + starts;
    const RunRef run{taskRef(job, flat), task.run};
    addRunOfTask(state, agent, run, stepSpecOfTask(job, flat).need, agent.ordersSent + 1);
    beginProbe(agent.health, run, state.now);
    round.reservations.noteStart(index, stepSpecOfTask(job, flat).need);
    addToOrders(state, index, job, run);
    markStarted(state, job);
    logDecision(
        round.context,
        "task.placed",
        {{"run", formatRun(run)}, {"agent", agent.name}, {"used", std::to_string(agent.used.cpuMilli)}, {"speed", std::to_string(agent.health.logSpeed)}});
    surveyWorkers(round);
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

/// Requests another round for the time at which the task may return to the worker that it avoids.
void awaitEndOfAvoidance(Round &round, const Task &task)
{
    OwnerState &state = round.context.state;
    if (task.avoidedAgent != noAgent && state.now < task.avoidedUntil) {
        requestRescheduleAt(state, task.avoidedUntil);
    }
}

/// Requests another round for the time from which the job may start on workers that are too slow for it to end in time.
void awaitSlowerWorkers(Round &round, const Job &job)
{
    OwnerState &state = round.context.state;
    const Base::MonoTime due = job.arrivedAt + maxPlacementWait;
    if (job.state == JobState::Queued && state.now < due) {
        requestRescheduleAt(state, due);
    }
}

/// Returns whether the step may be spread over racks. One that runs fastest on one rack waits for that as long as the wait may save time.
bool maySplitRacks(Round &round, const Job &job, StepIndex step)
{
    const StepSpec &spec = stepSpec(job, step);
    const Base::Duration saving
        = std::chrono::microseconds(static_cast<std::int64_t>((round.context.state.settings.remoteFactor - 1.0) * 1000.0 * effectiveEstimateMs(spec)));
    const Base::Duration wait = std::min<Base::Duration>(saving, maxPlacementWait);
    return !spec.sameRack || hasWaited(round, job.steps[step], wait) || !fitsOnOneRack(round.context.state, job, step);
}

/// Stops runs on the worker until there is room for \a need, those first whose stop loses the least work.
void preempt(Round &round, const Job &job, const Resources &need, AgentIndex index)
{
    OwnerState &state = round.context.state;
    Agent &agent = state.agents[index];
    struct Victim {
        bool losesWork = false; ///< The run saves no checkpoints.
        Base::MonoTime since{};
        RunRef run;
    };
    std::vector<Victim> victims;
    Resources used = agent.used;
    for (const auto &[ref, run] : agent.runs) {
        const Job *other = findJob(state, ref.task.job);
        if (run.stopping || other == nullptr) {
            used -= run.need;
        } else if (!other->spec.steps[ref.task.step].longRunning) {
            victims.push_back({!other->spec.steps[ref.task.step].checkpointing, run.since, ref});
        }
    }
    // The latest start has done the least work.
    std::sort(victims.begin(), victims.end(), [](const Victim &left, const Victim &right) {
        return std::tie(left.losesWork, right.since, left.run) < std::tie(right.losesWork, left.since, right.run);
    });
    for (const Victim &victim : victims) {
        if (isWithin(used + need, agent.worker->capacity)) {
            return;
        }
        used -= agent.runs.at(victim.run).need;
        logDecision(round.context, "task.preempted", {{"run", formatRun(victim.run)}, {"agent", agent.name}, {"for", formatId(job.id)}});
        orderStop(agent, victim.run);
    }
}

/// Reserves workers for the ready tasks of a long-running step and, after a delay, preempts other work there.
void reserveAndPreempt(Round &round, Job &job, StepIndex step)
{
    const std::vector<AgentIndex> agents = workersToReserve(round.context.state, job, step, round.reservations);
    round.reservations.add(round.context.state, stepSpec(job, step), agents, RoomSource::Preemption);
    if (!hasWaited(round, job.steps[step], preemptionDelay)) {
        return;
    }
    std::map<AgentIndex, Resources> needs;
    for (const AgentIndex index : agents) {
        needs[index] += stepSpec(job, step).need;
    }
    for (const auto &[index, need] : needs) {
        preempt(round, job, need, index);
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

/// Returns whether the task can't start yet, whatever workers there are.
bool mustWait(Round &round, const Job &job, std::uint32_t flat)
{
    const OwnerState &state = round.context.state;
    return isRestartDelayed(round, job.tasks[flat]) || hasFormerRun(state, job, flat) || mayHaveRecordedEnd(state, job, flat);
}

/// Returns whether all members of the gang may start.
bool isGangReady(Round &round, const Job &job, StepIndex step)
{
    for (std::uint32_t flat = job.firstTask[step]; flat < job.firstTask[step + 1U]; ++flat) {
        if (job.tasks[flat].phase != Task::Phase::Ready || mustWait(round, job, flat)) {
            return false;
        }
    }
    return true;
}

/// Returns which runs make room for a gang. Work is kept out for the sake of runs that take longer than estimated only for a time, again and again: they may take
/// very long, but without that time the gang would never start beside work that always takes longer.
RoomSource roomSource(Round &round, const StepProgress &progress)
{
    OwnerState &state = round.context.state;
    const Base::Duration intoCycle = (state.now - progress.readySince - reservationDelay) % reservationCycle;
    const bool holds = intoCycle < reservationHold;
    requestRescheduleAt(state, state.now - intoCycle + (holds ? reservationHold : reservationCycle));
    return holds ? RoomSource::Ends : RoomSource::LateEnds;
}

/// Reserves workers for a gang that has found none.
void reserveForGang(Round &round, Job &job, StepIndex step)
{
    for (std::uint32_t flat = job.firstTask[step]; flat < job.firstTask[step + 1U]; ++flat) {
        awaitEndOfAvoidance(round, job.tasks[flat]);
    }
    if (stepSpec(job, step).longRunning) {
        reserveAndPreempt(round, job, step);
    } else if (hasWaited(round, job.steps[step], reservationDelay)) {
        const std::vector<AgentIndex> agents = workersToReserve(round.context.state, job, step, round.reservations);
        round.reservations.add(round.context.state, stepSpec(job, step), agents, roomSource(round, job.steps[step]));
    }
}

void placeGang(Round &round, Job &job, StepIndex step)
{
    if (!isGangReady(round, job, step)) {
        return;
    }
    std::vector<AgentIndex> agents;
    if (stepSpec(job, step).need.cpuMilli <= round.largestFreeMilli) {
        agents = chooseGangWorkers(round.context.state, job, step, maySplitRacks(round, job, step), round.reservations);
    }
    if (agents.empty()) {
        reserveForGang(round, job, step);
        return;
    }
    const std::uint32_t first = job.firstTask[step];
    const auto members = std::span(job.tasks).subspan(first, agents.size());
    const auto hasFewerStarts = [](const Task &left, const Task &right) { return left.starts < right.starts; };
    const auto starts = static_cast<std::uint16_t>(std::max_element(members.begin(), members.end(), hasFewerStarts)->starts + 1);
    for (std::uint32_t member = 0; member < agents.size(); ++member) {
        start(round, job, first + member, agents[member], starts);
    }
}

/// Places the ready tasks of the step one by one. Returns whether workers may have room for another step of its group.
bool placeTasksSingly(Round &round, Job &job, const GroupHead &head)
{
    const StepIndex step = head.next.step;
    const StepSpec &spec = stepSpec(job, step);
    double maxCost = maxCostInTime(round.context.state, job, spec);
    const std::uint32_t estimateMs = effectiveEstimateMs(spec);
    if (head.knownRoom->isMissingFor(spec.need)) {
        return false;
    }
    if (maxCost < head.knownRoom->leastCost(spec.need) || head.knownRoom->isKeptOut(spec.need, estimateMs)) {
        awaitSlowerWorkers(round, job);
        return true;
    }
    bool hasRoom = true;
    bool allPlaced = true;
    for (std::uint32_t flat = job.firstTask[step]; flat < job.firstTask[step + 1U] && hasRoom; ++flat) {
        if (job.tasks[flat].phase != Task::Phase::Ready || mustWait(round, job, flat)) {
            continue;
        }
        if (spec.need.cpuMilli > round.largestFreeMilli) {
            hasRoom = false;
            allPlaced = false;
            continue;
        }
        ++round.context.state.roundCounts.workerSearches;
        const WorkerChoice choice = chooseWorker(round.context.state, job, flat, maxCost, round.reservations);
        if (choice.agent != noAgent) {
            start(round, job, flat, choice.agent, static_cast<std::uint16_t>(job.tasks[flat].starts + 1));
            // The other tasks of a job that has started may go to slower workers.
            maxCost = maxCostInTime(round.context.state, job, spec);
            continue;
        }
        awaitEndOfAvoidance(round, job.tasks[flat]);
        awaitSlowerWorkers(round, job);
        allPlaced = false;
        hasRoom = choice.othersMayFit || choice.keptOut;
        if (hasRoom) {
            head.knownRoom->noteLeastCost(spec.need, choice.leastCost);
        } else {
            head.knownRoom->noteMissing(spec.need);
        }
        if (choice.keptOut) {
            head.knownRoom->noteKeptOut(spec.need, estimateMs);
        }
    }
    if (spec.longRunning && !allPlaced) {
        reserveAndPreempt(round, job, step);
    }
    return hasRoom;
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

/// Logs why tasks of the step have waited for long. The other steps of its group, which wait for the same, are left out.
void logLongWait(Round &round, Job &job, StepIndex step)
{
    const OwnerState &state = round.context.state;
    StepProgress &progress = job.steps[step];
    const Base::Duration waited = state.now - progress.readySince;
    if (progress.readyTasks == 0 || waited < waitLogDelay || state.now - progress.waitLoggedAt < waitLogInterval) {
        return;
    }
    progress.waitLoggedAt = state.now;
    const auto waitedMs = std::chrono::duration_cast<std::chrono::milliseconds>(waited).count();
    logDecision(round.context,
                "job.waits",
                {{"id", formatId(job.id)},
                 {"step", std::to_string(step)},
                 {"tasks", std::to_string(progress.readyTasks)},
                 {"reason", std::string(toString(waitReason(state, job, step)))},
                 {"waited_ms", std::to_string(waitedMs)},
                 {"group", std::to_string(state.waitingSteps.at(placementRequirements(job, step)).size())}});
}

/// Places ready tasks of the step. Returns whether workers may have room for another step of its group.
bool placeStep(Round &round, const GroupHead &head)
{
    OwnerState &state = round.context.state;
    Job &job = state.jobs.at(head.next.place.job);
    const StepIndex step = head.next.step;
    const bool needsStore = !job.bestEffort && state.now >= state.storedWorkUntil;
    if (needsStore || awaitsFormerRuns(round, job)) {
        return true;
    }
    const std::uint32_t readyBefore = job.readyTasks;
    bool hasRoom = true;
    if (stepSpec(job, step).gang) {
        placeGang(round, job, step);
    } else {
        hasRoom = placeTasksSingly(round, job, head);
    }
    logLongWait(round, job, step);
    if (job.rules.advice && job.steps[step].readyTasks > 0) {
        round.stepsNeedingAdvice.emplace_back(job.id, step);
    }
    if (job.readyTasks != readyBefore) {
        requeue(round.context, job);
    }
    return hasRoom;
}

/// Returns the first steps of the placement groups for which a worker may have room, as a heap. The groups of steps that may reserve room are among them in any
/// case, and all others if \a all is set. \a knownRoom keeps what the round learns of the workers.
std::vector<GroupHead> firstSteps(const Round &round, bool all, std::deque<KnownRoom> &knownRoom)
{
    const auto &groups = round.context.state.waitingSteps;
    std::vector<GroupHead> heads;
    const WorkerRequirements *known = nullptr;
    for (auto group = groups.begin(); group != groups.end();) {
        const PlacementRequirements &requirements = group->first;
        const bool reserves = requirements.worker.onlyStep.has_value();
        if (!all && !reserves && requirements.need.cpuMilli > round.largestFreeMilli) {
            // The groups that follow with equal worker requirements need even more.
            constexpr std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
            group = groups.upper_bound({requirements.worker, {most, most, most, most}});
            continue;
        }
        if (known == nullptr || *known != requirements.worker) {
            known = &requirements.worker;
            knownRoom.emplace_back();
        }
        if (!group->second.empty()) {
            heads.push_back({*group->second.begin(), &group->second, &knownRoom.back()});
        }
        ++group;
    }
    std::make_heap(heads.begin(), heads.end(), comesLater);
    return heads;
}

/// Places steps in the order of the queue. Once no worker has room for a step, the others of its group are left out: they can't start either, and there may be
/// many of them. They don't keep other groups from starting.
void placeSteps(Round &round)
{
    OwnerState &state = round.context.state;
    const bool all = state.now - state.waitsCheckedAt >= waitCheckInterval;
    state.waitsCheckedAt = all ? state.now : state.waitsCheckedAt;
    std::deque<KnownRoom> knownRoom;
    std::vector<GroupHead> heads = firstSteps(round, all, knownRoom);
    while (!heads.empty()) {
        std::pop_heap(heads.begin(), heads.end(), comesLater);
        GroupHead &head = heads.back();
        ++state.roundCounts.steps;
        const bool mayHaveRoom = placeStep(round, head);
        const auto next = mayHaveRoom ? head.steps->upper_bound(head.next) : head.steps->end();
        if (next == head.steps->end()) {
            heads.pop_back();
            continue;
        }
        head.next = *next;
        std::push_heap(heads.begin(), heads.end(), comesLater);
    }
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
    Round round{context};
    ++state.roundCounts.rounds;
    surveyWorkers(round);
    placeSteps(round);
    dropEmptyGroups(state);
    askAdvice(context, std::move(round.stepsNeedingAdvice));
    state.schedulingDue = false;
}

} // namespace LaburnumFlow::Jobs::Internal
