#include "ownersteps.h"

#include "jobsconstants.h"

#include <algorithm>

namespace LaburnumFlow::Jobs::Internal {

namespace {

std::string_view nameOf(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Done:
        return "done";
    case RunOutcome::Failed:
        return "failed";
    case RunOutcome::Stopped:
        return "stopped";
    case RunOutcome::Lapsed:
        return "lapsed";
    case RunOutcome::Broken:
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
    case RunRefusal::Reason::NoTicket:
        return "no-ticket";
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
    return task.phase == Task::Phase::InDoubt || task.phase == Task::Phase::Ready ? &task : nullptr;
}

void taskDone(Context &context, Job &job, Task &task, AgentIndex agent, const Settlement &settlement)
{
    leavePhase(context.state, job, task);
    task.phase = Task::Phase::Done;
    ++job.doneTasks;
    handleProgress(context, job, agent, settlement);
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
    settleWithRecord(context, job, agent, settlement, context.state.now);
}

void learn(Context &context, Agent &agent, const Job &job, const RunEnd &end)
{
    const StepSpec &step = job.spec.steps[end.run.task.step];
    const std::uint32_t estimateMs = estimateOf(step);
    if (end.outcome == RunOutcome::Done) {
        // How long a background task ran tells what the others left, not how fast the worker is.
        const bool tellsSpeed = step.need.backgroundMilli == 0;
        learnDone(agent.health, estimateMs, tellsSpeed ? end.runTimeMs : 0, context.state.now);
        if (agent.worker && tellsSpeed) {
            context.state.kindSpeeds.learn(agent.worker->kind, estimateMs, end.runTimeMs);
        }
        return;
    }
    if (end.outcome != RunOutcome::Failed) {
        return;
    }
    const Base::MonoTime suspendedBefore = agent.health.suspendedUntil;
    learnFailed(agent.health, job.id, failureWeight, context.state.now);
    if (agent.health.suspendedUntil != suspendedBefore) {
        logDecision(context, "worker.suspended", {{"agent", agent.name}, {"failures", std::to_string(agent.health.failures)}});
    }
}

/// Gangs save and resume together.
void noteCheckpoint(Job &job, const TaskRef &ref, const std::string &checkpoint)
{
    const StepSpec &step = job.spec.steps[ref.step];
    if (checkpoint.empty() || !step.checkpointing) {
        return;
    }
    if (!step.gang) {
        job.tasks[flatIndex(job, ref)].checkpoint = checkpoint;
        return;
    }
    const StepIndex index = stepIndexOf(job, ref);
    for (std::uint32_t flat = job.firstTask[index]; flat < job.firstTask[index + 1U]; ++flat) {
        job.tasks[flat].checkpoint = checkpoint;
    }
}

/// An end that decides nothing any more. That of a gang's member may stand for tasks whose end is not recorded yet.
void settleOutdated(Context &context, Job *job, AgentIndex agent, const RunEnd &end, const Settlement &settlement)
{
    const bool ofGang = job != nullptr && hasTask(*job, end.run.task) && job->spec.steps[end.run.task.step].gang;
    if (!ofGang || end.outcome != RunOutcome::Done || job->bestEffort) {
        settleEnd(context.state.agents[agent], settlement.number);
        return;
    }
    settleWithRecord(context, *job, agent, settlement, context.state.now + progressDelay);
}

void gangEnded(Context &context, Job &job, AgentIndex index, const RunEnd &end, const Settlement &settlement)
{
    switch (end.outcome) {
    case RunOutcome::Done:
        gangDone(context, job, stepIndexOf(job, end.run.task), index, settlement);
        return;
    case RunOutcome::Failed:
        gangFailed(context, job, end.run.task, index, settlement);
        return;
    case RunOutcome::Stopped:
    case RunOutcome::Lapsed:
    case RunOutcome::Broken:
        settleEnd(context.state.agents[index], settlement.number);
        if (job.tasks[flatIndex(job, end.run.task)].phase == Task::Phase::Active) {
            gangMemberLost(context, job, end.run.task);
        }
        return;
    }
}

/// A task that ends by itself again and again must not keep a worker busy with starts.
void pauseAfterQuickEnd(const OwnerState &state, Task &task, const RunEnd &end)
{
    if (end.outcome != RunOutcome::Failed && end.outcome != RunOutcome::Done) {
        return;
    }
    if (end.runTimeMs == 0 || std::chrono::milliseconds(end.runTimeMs) >= longRunningSoundAfter) {
        task.quickEnds = 0;
        return;
    }
    if (task.quickEnds < longRunningQuickEnds) {
        ++task.quickEnds;
        return;
    }
    const int doublings = task.quickEnds - longRunningQuickEnds;
    const Base::Duration pause = std::min<Base::Duration>(longRunningPauseFirst * (1 << doublings), longRunningPauseLast);
    task.notBefore = state.now + pause;
    if (pause < longRunningPauseLast) {
        ++task.quickEnds;
    }
}

/// A lasting task starts again however it ended.
void longRunningEnded(Context &context, Job &job, Task &task, AgentIndex index, const RunEnd &end)
{
    settleEnd(context.state.agents[index], end.number);
    if (end.outcome == RunOutcome::Failed) {
        task.avoid = index;
    }
    pauseAfterQuickEnd(context.state, task, end);
    if (task.phase == Task::Phase::Active) {
        releaseTask(context, job, task);
    }
}

} // namespace

void handleProgress(Context &context, Job &job, AgentIndex agent, const Settlement &settlement)
{
    if (isComplete(job)) {
        finishJob(context, job, JobState::Completed, {settlement});
        return;
    }
    settleWithRecord(context, job, agent, settlement, context.state.now + progressDelay);
    unblockSteps(context, job);
}

void settleWithRecord(Context &context, Job &job, AgentIndex agent, const Settlement &settlement, Base::MonoTime due)
{
    if (job.bestEffort) {
        settleEnd(context.state.agents[agent], settlement.number);
        return;
    }
    job.unrecorded.push_back(settlement);
    if (!job.finishing) {
        recordProgress(context, job, due);
    }
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
    if (stepOf(*job, flatIndex(*job, run.task)).gang) {
        gangMemberLost(context, *job, run.task);
        return;
    }
    releaseTask(context, *job, *task);
}

void handleEnd(Context &context, AgentIndex index, const RunEnd &end)
{
    Agent &agent = context.state.agents[index];
    if (!noteEnd(agent, end.number)) {
        return;
    }
    context.state.schedulingDue |= removeRun(agent, end.run) && !context.state.ready.empty();
    const Settlement settlement{agent.name, agent.worker ? agent.worker->startTimeMs : 0, end.number};
    Job *job = findJob(context.state, end.run.task.job);
    const bool open = job != nullptr && !job->finishing && knowTask(context, *job, end.run.task);
    Task *task = open ? currentTask(*job, end.run, index) : nullptr;
    if (end.outcome != RunOutcome::Done) {
        logDecision(context,
                    "task.ended",
                    {{"run", formatRun(end.run)}, {"agent", agent.name}, {"how", std::string(nameOf(end.outcome))}, {"ms", std::to_string(end.runTimeMs)}});
    }
    handleCheckpoint(context, {end.run, end.checkpoint});
    if (task == nullptr) {
        settleOutdated(context, job, index, end, settlement);
        return;
    }
    // The run may have been a former owner's.
    markStarted(context.state, *job);
    const StepSpec &step = job->spec.steps[end.run.task.step];
    if (step.longRunning) {
        longRunningEnded(context, *job, *task, index, end);
        return;
    }
    learn(context, agent, *job, end);
    if (step.gang) {
        gangEnded(context, *job, index, end, settlement);
        return;
    }
    switch (end.outcome) {
    case RunOutcome::Done:
        taskDone(context, *job, *task, index, settlement);
        return;
    case RunOutcome::Failed:
        taskFailed(context, *job, *task, index, settlement);
        return;
    case RunOutcome::Stopped:
    case RunOutcome::Lapsed:
    case RunOutcome::Broken:
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
    logDecision(context, "task.refused", {{"run", formatRun(refusal.run)}, {"agent", agent.name}, {"reason", std::string(nameOf(refusal.reason))}});
    if (Job *job = findJob(context.state, refusal.run.task.job); job != nullptr && hasTask(*job, refusal.run.task)) {
        Task &task = job->tasks[flatIndex(*job, refusal.run.task)];
        if (refusal.reason == RunRefusal::Reason::NoTicket) {
            dropTicket(context.state, {job->id, stepIndexOf(*job, refusal.run.task)}, index);
        } else if (task.phase == Task::Phase::Active && task.agent == index && task.run == refusal.run.run) {
            task.avoid = index;
        }
        if (refusal.reason == RunRefusal::Reason::Unhealthy || refusal.reason == RunRefusal::Reason::NoAnswer) {
            learnFailed(agent.health, job->id, noAnswerWeight, context.state.now);
        }
    }
    taskLost(context, refusal.run, index);
}

void handleStalled(Context &context, AgentIndex index, const RunRef &run)
{
    Agent &agent = context.state.agents[index];
    const auto found = agent.runs.find(run);
    if (found == agent.runs.end() || found->second.stopping) {
        return;
    }
    logDecision(context, "task.stalled", {{"run", formatRun(run)}, {"agent", agent.name}});
    learnFailed(agent.health, run.task.job, failureWeight, context.state.now);
    Job *job = findJob(context.state, run.task.job);
    if (job != nullptr && hasTask(*job, run.task)) {
        job->tasks[flatIndex(*job, run.task)].avoid = index;
    }
    orderStop(agent, run);
}

void handleCheckpoint(Context &context, const RunCheckpoint &checkpoint)
{
    Job *job = findJob(context.state, checkpoint.run.task.job);
    if (job == nullptr || !hasTask(*job, checkpoint.run.task)) {
        return;
    }
    // An older run's value may come late; the present run has gone on from a later one. Runs of former owners are not known.
    const std::uint32_t known = job->tasks[flatIndex(*job, checkpoint.run.task)].run;
    if (known == 0 || known == checkpoint.run.run) {
        noteCheckpoint(*job, checkpoint.run.task, checkpoint.checkpoint);
    }
}

} // namespace LaburnumFlow::Jobs::Internal
