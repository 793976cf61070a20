#include "ownersteps.h"

#include "jobsconstants.h"

#include <utility>

namespace LaburnumFlow::Jobs::Internal {

namespace {

/// Returns whether the run was started after the one that this owner has adopted, which a former owner then had taken for ended or cancelled.
bool replacesAdoptedRun(const OwnerState &state, const Job &job, const Task &task, const RunRef &run)
{
    return isAdopted(state, task) && task.run < run.run && !stepSpecOfTask(job, flatIndex(job, run.task)).gang;
}

/// Treats the agents that have not reported in time as if they ran nothing any more.
void stopAwaitingAgents(Context &context)
{
    OwnerState &state = context.state;
    logDecision(context, "owner.unreported", {{"agents", std::to_string(state.awaitedAgents.size())}});
    state.lateAgents.insert(state.awaitedAgents.begin(), state.awaitedAgents.end());
    if (!state.formerOwnersFenced) {
        state.givenUpAgents = state.awaitedAgents;
    }
    state.awaitedAgents.clear();
    state.agentsChanged = true;
}

/// Lists the jobs that may have tasks in doubt.
void beginResolution(Context &context)
{
    OwnerState &state = context.state;
    logDecision(context, "owner.certain", {{"tasks", std::to_string(state.tasksInDoubt)}});
    for (const auto &[id, job] : state.jobs) {
        state.resolution.jobs.push_back(id);
    }
}

/// Unblocks the job's tasks in doubt. Returns how many there were.
std::size_t resolveJob(Context &context, Job &job)
{
    OwnerState &state = context.state;
    const std::size_t before = state.tasksInDoubt;
    for (Task &task : job.tasks) {
        if (task.phase == Task::Phase::InDoubt) {
            setPhase(state, job, task, Task::Phase::Blocked);
            task.givenUpAt = state.resolution.givenUpAt ? state.resolution.givenUpAt : task.givenUpAt;
        }
    }
    breakPartialGangs(context, job);
    unblockSteps(context, job);
    return before - state.tasksInDoubt;
}

} // namespace

void releaseTask(Context &context, Job &job, Task &task)
{
    if (formerRunsResolved(context.state)) {
        job.steps[stepOfTask(job, task)].readySince = context.state.now;
        setReady(context, job, task);
        requeue(context, job);
        return;
    }
    setPhase(context.state, job, task, Task::Phase::InDoubt);
    task.agent = noAgent;
}

bool isAdopted(const OwnerState &state, const Task &task)
{
    return task.phase == Task::Phase::Active && task.run / runsPerEpoch + 1 < state.epoch;
}

void stopOtherRuns(OwnerState &state, const Job &job, const RunRef &run)
{
    const StepIndex step = findStepIndex(job, run.task);
    const bool gang = stepSpec(job, step).gang;
    const std::uint32_t first = gang ? job.firstTask[step] : flatIndex(job, run.task);
    const std::uint32_t last = gang ? job.firstTask[step + 1U] : first + 1;
    for (std::uint32_t flat = first; flat < last; ++flat) {
        const Task &task = job.tasks[flat];
        if (task.phase == Task::Phase::Active && task.run != run.run) {
            orderStop(state.agents[task.agent], {taskRef(job, flat), task.run});
        }
    }
}

void adoptRun(Context &context, Job &job, AgentIndex index, const RunRef &run)
{
    OwnerState &state = context.state;
    Agent &agent = state.agents[index];
    Task &task = job.tasks[flatIndex(job, run.task)];
    const bool open = task.phase == Task::Phase::InDoubt || task.phase == Task::Phase::Ready || task.phase == Task::Phase::Blocked;
    const bool replaces = replacesAdoptedRun(state, job, task, run);
    if (job.finishing || !(open || replaces) || !mayJoinGang(job, run) || needsStoreProof(state, job, run)) {
        orderStop(agent, run);
        return;
    }
    if (replaces) {
        stopOtherRuns(state, job, run);
    }
    setPhase(state, job, task, Task::Phase::Active);
    task.agent = index;
    task.run = run.run;
    markStarted(state, job);
    requeue(context, job);
    logDecision(context, "task.adopted", {{"run", formatRun(run)}, {"agent", agent.name}});
}

bool formerRunsResolved(const OwnerState &state)
{
    return state.awaitedAgents.empty() || state.now >= state.formerRunsResolvedBy;
}

void adoptOrphans(Context &context, Job &job)
{
    const auto found = context.state.orphans.find(job.id);
    if (found == context.state.orphans.end()) {
        return;
    }
    const std::vector<Orphan> orphans = std::move(found->second);
    context.state.orphans.erase(found);
    for (const Orphan &orphan : orphans) {
        Agent &agent = context.state.agents[orphan.agent];
        if (!agent.runs.contains(orphan.run)) {
            continue;
        }
        if (!ensureOccurrenceBegun(context, job, orphan.run.task)) {
            orderStop(agent, orphan.run);
            continue;
        }
        sendRunRequirements(agent, job, orphan.run);
        adoptRun(context, job, orphan.agent, orphan.run);
    }
}

void stopOrphans(Context &context)
{
    OwnerState &state = context.state;
    if (state.orphans.empty() || state.now < state.orphansUntil) {
        return;
    }
    const auto hasEnded = [&state](const Orphan &orphan) { return !state.agents[orphan.agent].runs.contains(orphan.run); };
    for (auto &[id, orphans] : state.orphans) {
        std::erase_if(orphans, hasEnded);
        for (const Orphan &orphan : orphans) {
            orderStop(state.agents[orphan.agent], orphan.run);
        }
    }
    std::erase_if(state.orphans, [](const auto &entry) { return entry.second.empty(); });
}

bool needsStoreProof(const OwnerState &state, const Job &job, const RunRef &run)
{
    return !job.bestEffort && state.now >= state.storedWorkUntil && !stepSpecOfTask(job, flatIndex(job, run.task)).longRunning;
}

void stopStoredRuns(Context &context)
{
    OwnerState &state = context.state;
    if (state.now < state.storedWorkUntil || state.storedRunsStopped) {
        return;
    }
    state.storedRunsStopped = true;
    std::size_t stopped = 0;
    for (Agent &agent : state.agents) {
        for (const auto &[run, active] : agent.runs) {
            const Job *job = findJob(state, run.task.job);
            if (job != nullptr && hasTask(*job, run.task) && needsStoreProof(state, *job, run)) {
                orderStop(agent, run);
                ++stopped;
            }
        }
    }
    logDecision(context, "owner.stored-runs-stopped", {{"runs", std::to_string(stopped)}});
}

void awaitGivenUpAgents(Context &context)
{
    OwnerState &state = context.state;
    if (state.givenUpAgents.empty()) {
        return;
    }
    logDecision(context, "owner.uncertain", {{"agents", std::to_string(state.givenUpAgents.size())}});
    state.awaitedAgents.merge(std::exchange(state.givenUpAgents, {}));
    state.agentsChanged = true;
    state.formerOwnersFenced = true;
    state.formerRunsResolvedBy = state.now + formerRunExpiryTimeout;
}

void resolveTasksInDoubt(Context &context)
{
    OwnerState &state = context.state;
    OwnerState::Resolution &resolution = state.resolution;
    if (!state.awaitedAgents.empty() && formerRunsResolved(state)) {
        stopAwaitingAgents(context);
        resolution = {{}, state.now};
    }
    if (!state.givenUpAgents.empty() && state.now >= state.tookOverAt + formerOwnerRetention) {
        state.givenUpAgents.clear();
        state.agentsChanged = true;
    }
    if (state.tasksInDoubt == 0 || !formerRunsResolved(state)) {
        resolution = {};
        return;
    }
    if (resolution.jobs.empty()) {
        beginResolution(context);
    }
    std::size_t resolved = 0;
    while (!resolution.jobs.empty() && resolved < maxTasksResolvedPerTurn) {
        // Also a job without such tasks counts, as there may be many.
        ++resolved;
        if (Job *job = findJob(state, resolution.jobs.front())) {
            resolved += resolveJob(context, *job);
        }
        resolution.jobs.pop_front();
    }
}

} // namespace LaburnumFlow::Jobs::Internal
