#include "ownersteps.h"

#include "jobsconstants.h"

#include <algorithm>
#include <unordered_set>

namespace LaburnumFlow::Jobs::Internal {

namespace {

using RunSet = std::unordered_set<RunRef, RunRefHash>;

std::string_view nameOf(EndKind how)
{
    switch (how) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::Lapsed:
        return "lapsed";
    case EndKind::Broken:
        return "broken";
    }
    return "unknown";
}

std::string_view nameOf(RunRefusal::Reason reason)
{
    switch (reason) {
    case RunRefusal::Reason::NoRoom:
        return "no-room";
    case RunRefusal::Reason::Unhealthy:
        return "unhealthy";
    case RunRefusal::Reason::Stale:
        return "stale";
    case RunRefusal::Reason::NoWorker:
        return "no-worker";
    case RunRefusal::Reason::NoAnswer:
        return "no-answer";
    }
    return "unknown";
}

/// The task of a run, if the run's end decides about it.
Task *currentTask(Job &job, const RunRef &run, AgentIndex agent)
{
    if (!hasTask(job, run.task)) {
        return nullptr;
    }
    Task &task = job.tasks[flatIndex(job, run.task)];
    if (task.phase == Task::Phase::Active) {
        return task.agent == agent && task.run == run.run ? &task : nullptr;
    }
    // A task that is not active has no other run, so that any run of it may still decide.
    return task.phase == Task::Phase::Uncertain || task.phase == Task::Phase::Ready ? &task : nullptr;
}

void leavePhase(OwnerState &state, Job &job, Task &task)
{
    if (task.phase == Task::Phase::Uncertain) {
        --state.uncertainTasks;
    }
    if (task.phase == Task::Phase::Ready) {
        --job.readyTasks;
    }
}

/// The task's run has ended. It may start again, unless another run that a former owner started may still be somewhere.
void releaseTask(Context &context, Job &job, Task &task)
{
    if (isCertain(context.state)) {
        setReady(context, job, task);
        requeue(context, job);
        return;
    }
    task.phase = Task::Phase::Uncertain;
    task.agent = noAgent;
    ++context.state.uncertainTasks;
}

void taskLost(Context &context, const RunRef &run, AgentIndex agent)
{
    Job *job = findJob(context.state, run.task.job);
    if (job == nullptr || job->finishing) {
        return;
    }
    Task *task = currentTask(*job, run, agent);
    if (task == nullptr || task->phase != Task::Phase::Active) {
        return;
    }
    releaseTask(context, *job, *task);
}

/// Ends of best-effort jobs need not be recorded.
void noteUnrecorded(Context &context, Job &job, AgentIndex agent, const Settlement &settlement, Base::MonoTime due)
{
    if (job.bestEffort) {
        settleEnd(context.state.agents[agent], settlement.number);
        return;
    }
    job.unrecorded.push_back(settlement);
    recordProgress(context, job, due);
}

void taskDone(Context &context, Job &job, Task &task, AgentIndex agent, const Settlement &settlement)
{
    leavePhase(context.state, job, task);
    task.phase = Task::Phase::Done;
    ++job.doneTasks;
    if (job.doneTasks == job.tasks.size()) {
        finishJob(context, job, JobState::Completed, {settlement});
        return;
    }
    noteUnrecorded(context, job, agent, settlement, context.state.now + progressDelay);
    unblockSteps(context, job);
}

void taskFailed(Context &context, Job &job, Task &task, AgentIndex agent, const Settlement &settlement)
{
    leavePhase(context.state, job, task);
    ++task.failures;
    task.avoid = agent;
    if (task.failures >= job.rules.maxAttempts) {
        // The task itself has ended, so there is nothing to stop.
        task.phase = Task::Phase::Blocked;
        finishJob(context, job, JobState::Failed, {settlement});
        return;
    }
    releaseTask(context, job, task);
    noteUnrecorded(context, job, agent, settlement, context.state.now);
}

void learn(Context &context, Agent &agent, const Job &job, const RunEnd &end)
{
    const StepSpec &step = job.spec.steps[end.run.task.step];
    const std::uint32_t estimateMs = step.estimateMs == 0 ? defaultEstimateMs : step.estimateMs;
    if (end.how == EndKind::Done) {
        learnDone(agent.health, estimateMs, end.ranMs, context.state.now);
        context.state.kindSpeeds.learn(agent.worker->kind, estimateMs, end.ranMs);
        return;
    }
    if (end.how != EndKind::Failed) {
        return;
    }
    const Base::MonoTime suspendedBefore = agent.health.suspendedUntil;
    learnFailed(agent.health, job.id, failureWeight, context.state.now);
    if (agent.health.suspendedUntil != suspendedBefore) {
        decide(context, "worker.suspended", {{"agent", agent.name}, {"failures", std::to_string(agent.health.failures)}});
    }
}

void handleEnd(Context &context, AgentIndex index, const RunEnd &end)
{
    Agent &agent = context.state.agents[index];
    if (!noteEnd(agent, end.number)) {
        return;
    }
    context.state.schedulingDue |= removeRun(agent, end.run) && !context.state.ready.empty();
    const Settlement settlement{agent.name, agent.worker ? agent.worker->bornMs : 0, end.number};
    Job *job = findJob(context.state, end.run.task.job);
    Task *task = job == nullptr || job->finishing ? nullptr : currentTask(*job, end.run, index);
    if (end.how != EndKind::Done) {
        decide(context,
               "task.ended",
               {{"run", runText(end.run)}, {"agent", agent.name}, {"how", std::string(nameOf(end.how))}, {"ms", std::to_string(end.ranMs)}});
    }
    if (task == nullptr) {
        settleEnd(agent, end.number);
        return;
    }
    learn(context, agent, *job, end);
    switch (end.how) {
    case EndKind::Done:
        taskDone(context, *job, *task, index, settlement);
        return;
    case EndKind::Failed:
        taskFailed(context, *job, *task, index, settlement);
        return;
    case EndKind::Stopped:
    case EndKind::Lapsed:
    case EndKind::Broken:
        settleEnd(agent, end.number);
        if (task->phase == Task::Phase::Active) {
            releaseTask(context, *job, *task);
        }
        return;
    }
}

void handleRefusal(Context &context, AgentIndex index, const RunRefusal &refusal)
{
    Agent &agent = context.state.agents[index];
    removeRun(agent, refusal.run);
    decide(context, "task.refused", {{"run", runText(refusal.run)}, {"agent", agent.name}, {"reason", std::string(nameOf(refusal.reason))}});
    if (Job *job = findJob(context.state, refusal.run.task.job); job != nullptr && hasTask(*job, refusal.run.task)) {
        Task &task = job->tasks[flatIndex(*job, refusal.run.task)];
        if (task.phase == Task::Phase::Active && task.agent == index && task.run == refusal.run.run) {
            task.avoid = index;
        }
        if (refusal.reason == RunRefusal::Reason::Unhealthy || refusal.reason == RunRefusal::Reason::NoAnswer) {
            learnFailed(agent.health, job->id, noAnswerWeight, context.state.now);
        }
    }
    taskLost(context, refusal.run, index);
}

/// Nothing runs on the agent's worker any more.
void loseAllRuns(Context &context, AgentIndex index, std::string_view reason)
{
    std::vector<RunRef> lost;
    for (const auto &[run, active] : context.state.agents[index].runs) {
        lost.push_back(run);
    }
    if (!lost.empty()) {
        decide(context, "worker.lost", {{"agent", context.state.agents[index].name}, {"reason", std::string(reason)}, {"runs", std::to_string(lost.size())}});
    }
    for (const RunRef &run : lost) {
        removeRun(context.state.agents[index], run);
        taskLost(context, run, index);
    }
    context.state.schedulingDue = true;
}

void adoptWorker(Context &context, AgentIndex index, const AgentReport &report)
{
    Agent &agent = context.state.agents[index];
    if (report.workerGone) {
        loseAllRuns(context, index, "worker-gone");
        context.state.agents[index].worker.reset();
        return;
    }
    if (!report.worker) {
        return;
    }
    const bool another = !agent.worker || agent.worker->bornMs != report.worker->bornMs;
    if (another) {
        loseAllRuns(context, index, "worker-replaced");
        Agent &fresh = context.state.agents[index];
        fresh.ends.clear();
        fresh.endsRecorded = report.endsAcknowledged;
        fresh.endsSent = 0;
        fresh.health = {};
    }
    if (another || context.state.agents[index].worker->draining != report.worker->draining) {
        decide(context,
               "worker.changed",
               {{"agent", context.state.agents[index].name}, {"worker", report.worker->id}, {"draining", report.worker->draining ? "1" : "0"}});
    }
    context.state.agents[index].worker = report.worker;
    context.state.schedulingDue = true;
}

/// Makes a listed run the task's active one, or orders its stop if it is not wanted.
void adoptRun(Context &context, Job &job, AgentIndex index, const RunRef &run)
{
    OwnerState &state = context.state;
    Agent &agent = state.agents[index];
    Task &task = job.tasks[flatIndex(job, run.task)];
    const bool open = task.phase == Task::Phase::Uncertain || task.phase == Task::Phase::Ready || task.phase == Task::Phase::Blocked;
    if (job.finishing || !open) {
        orderStop(agent, run);
        return;
    }
    leavePhase(state, job, task);
    task.phase = Task::Phase::Active;
    task.agent = index;
    task.run = run.run;
    if (job.state == JobState::Queued && job.stored) {
        auto &count = state.unstarted[job.rules.name];
        count -= count > 0 ? 1 : 0;
        job.state = JobState::Running;
    }
    requeue(context, job);
    decide(context, "task.adopted", {{"run", runText(run)}, {"agent", agent.name}});
}

/// Takes note of a run that the agent lists: adopts it, or orders its stop if it is not wanted.
void handleListed(Context &context, AgentIndex index, const PossibleRun &possible)
{
    OwnerState &state = context.state;
    Agent &agent = state.agents[index];
    const RunRef &run = possible.run;
    if (agent.runs.contains(run)) {
        return;
    }
    addRun(agent, run, possible.need, 0);
    Job *job = findJob(state, run.task.job);
    if (job == nullptr && state.now < state.orphansUntil && !state.finished.contains(run.task.job)) {
        state.orphans[run.task.job].push_back({index, run});
        return;
    }
    if (job == nullptr || !hasTask(*job, run.task)) {
        orderStop(agent, run);
        return;
    }
    adoptRun(context, *job, index, run);
}

void reconcile(Context &context, AgentIndex index, const AgentReport &report)
{
    RunSet listed;
    for (const PossibleRun &possible : report.running) {
        listed.insert(possible.run);
    }
    for (const RunEnd &end : report.ends) {
        listed.insert(end.run);
    }
    std::vector<RunRef> missing;
    for (const auto &[run, active] : context.state.agents[index].runs) {
        // A start that is on its way to the agent is not missing.
        if (!listed.contains(run) && active.orders <= report.ordersSeen) {
            missing.push_back(run);
        }
    }
    for (const RunRef &run : missing) {
        removeRun(context.state.agents[index], run);
        taskLost(context, run, index);
    }
    for (const PossibleRun &possible : report.running) {
        handleListed(context, index, possible);
    }
}

void noteAcknowledged(Agent &agent, std::uint64_t upTo)
{
    if (agent.endsRecorded < upTo) {
        agent.endsRecorded = upTo;
        agent.ends.erase(agent.ends.begin(), agent.ends.upper_bound(upTo));
    }
}

void noteSilence(Context &context, Agent &agent, bool silent)
{
    if (agent.workerSilent == silent) {
        return;
    }
    agent.workerSilent = silent;
    context.state.schedulingDue |= !silent;
    decide(context, silent ? "worker.silent" : "worker.answers", {{"agent", agent.name}, {"runs", std::to_string(agent.runs.size())}});
}

void handleStalled(Context &context, AgentIndex index, const RunRef &run)
{
    Agent &agent = context.state.agents[index];
    const auto found = agent.runs.find(run);
    if (found == agent.runs.end() || found->second.stopping) {
        return;
    }
    decide(context, "task.stalled", {{"run", runText(run)}, {"agent", agent.name}});
    learnFailed(agent.health, run.task.job, failureWeight, context.state.now);
    Job *job = findJob(context.state, run.task.job);
    if (job != nullptr && hasTask(*job, run.task)) {
        job->tasks[flatIndex(*job, run.task)].avoid = index;
    }
    orderStop(agent, run);
}

} // namespace

Agent &agentNamed(OwnerState &state, const std::string &name)
{
    const auto [found, added] = state.agentByName.emplace(name, static_cast<AgentIndex>(state.agents.size()));
    if (added) {
        state.agents.emplace_back().name = name;
    }
    return state.agents[found->second];
}

AgentIndex indexOf(const OwnerState &state, const Agent &agent)
{
    return state.agentByName.at(agent.name);
}

void orderStop(Agent &agent, const RunRef &run)
{
    const auto found = agent.runs.find(run);
    if (found != agent.runs.end()) {
        if (found->second.stopping) {
            return;
        }
        found->second.stopping = true;
    }
    agent.outbox.stops.push_back(run);
}

void handleReport(Context &context, const std::string &name, const AgentReport &report)
{
    OwnerState &state = context.state;
    if (report.epoch > state.epoch) {
        context.effects.push_back(StepDown{report.epoch});
        return;
    }
    Agent &agent = agentNamed(state, name);
    const AgentIndex index = indexOf(state, agent);
    state.schedulingDue |= state.now - agent.tokenAt > agentQuietLimit;
    agent.token = std::max(agent.token, report.token);
    agent.tokenAt = state.now;
    // What was sent before the agent had heard of this owner is sent again with the full report.
    if (report.epoch < state.epoch || (!agent.reported && !report.full)) {
        return;
    }
    noteSilence(context, agent, report.workerSilent);
    adoptWorker(context, index, report);
    if (report.full) {
        state.agents[index].reported = true;
        state.schedulingDue = true;
        reconcile(context, index, report);
        state.awaitedAgents.erase(name);
    }
    noteAcknowledged(state.agents[index], report.endsAcknowledged);
    for (const RunEnd &end : report.ends) {
        handleEnd(context, index, end);
    }
    for (const RunRefusal &refusal : report.refusals) {
        handleRefusal(context, index, refusal);
    }
    for (const RunRef &run : report.stalled) {
        handleStalled(context, index, run);
    }
}

void handleUnlinked(Context &context, const std::string &name)
{
    Agent &agent = agentNamed(context.state, name);
    agent.linked = false;
    agent.unlinkedAt = context.state.now;
    agent.reported = false;
    agent.outbox = {};
    decide(context, "agent.unlinked", {{"agent", name}, {"runs", std::to_string(agent.runs.size())}});
}

void expireAgents(Context &context)
{
    for (AgentIndex index = 0; index < context.state.agents.size(); ++index) {
        const Agent &agent = context.state.agents[index];
        if (!agent.runs.empty() && context.state.now - agent.tokenAt > authorityLimit) {
            loseAllRuns(context, index, "silent");
        }
    }
}

bool isCertain(const OwnerState &state)
{
    return state.awaitedAgents.empty() || state.now >= state.certainAt;
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
        if (!hasTask(job, orphan.run.task)) {
            orderStop(agent, orphan.run);
            continue;
        }
        adoptRun(context, job, orphan.agent, orphan.run);
    }
}

void expireOrphans(Context &context)
{
    OwnerState &state = context.state;
    if (state.orphans.empty() || state.now < state.orphansUntil) {
        return;
    }
    for (const auto &[id, orphans] : state.orphans) {
        for (const Orphan &orphan : orphans) {
            if (state.agents[orphan.agent].runs.contains(orphan.run)) {
                orderStop(state.agents[orphan.agent], orphan.run);
            }
        }
    }
    state.orphans.clear();
}

void recordAgents(Context &context)
{
    OwnerState &state = context.state;
    std::vector<std::string> names(state.awaitedAgents.begin(), state.awaitedAgents.end());
    for (const Agent &agent : state.agents) {
        // A successor waits for each recorded agent, so one that has left without runs must not stay for long.
        if (agent.linked || !agent.runs.empty() || state.now - agent.unlinkedAt < unlinkedAgentKept) {
            names.push_back(agent.name);
        }
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    state.recorder.setAgents(std::move(names));
}

void noteRecordedAgents(Context &context)
{
    const std::vector<std::string> &names = context.state.recorder.recordedAgents();
    for (Agent &agent : context.state.agents) {
        const bool recorded = std::binary_search(names.begin(), names.end(), agent.name);
        context.state.schedulingDue |= recorded && !agent.recorded;
        agent.recorded = recorded;
    }
}

void resolveUncertain(Context &context)
{
    OwnerState &state = context.state;
    if (isCertain(state) && !state.awaitedAgents.empty()) {
        decide(context, "owner.unreported", {{"agents", std::to_string(state.awaitedAgents.size())}});
        state.awaitedAgents.clear();
    }
    if (state.uncertainTasks == 0 || !isCertain(state)) {
        return;
    }
    decide(context, "owner.certain", {{"tasks", std::to_string(state.uncertainTasks)}});
    state.uncertainTasks = 0;
    for (auto &[id, job] : state.jobs) {
        for (Task &task : job.tasks) {
            if (task.phase == Task::Phase::Uncertain) {
                task.phase = Task::Phase::Blocked;
            }
        }
        unblockSteps(context, job);
    }
}

} // namespace LaburnumFlow::Jobs::Internal
