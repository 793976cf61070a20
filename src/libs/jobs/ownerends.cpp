#include "ownersteps.h"

#include "jobsconstants.h"

#include <algorithm>

namespace LaburnumFlow::Jobs::Internal {

namespace {

std::string_view toString(RunOutcome outcome)
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

std::string_view toString(RunRefusal::Reason reason)
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

/// Returns the task of a run if the end of the run decides about the task, else null.
Task *currentTask(Job &job, const RunRef &run, AgentIndex agent)
{
    if (!hasTask(job, run.task)) {
        return nullptr;
    }
    Task &task = job.tasks[flatIndex(job, run.task)];
    if (task.phase == Task::Phase::Active) {
        return task.agent == agent && task.run == run.run ? &task : nullptr;
    }
    // A task that isn't active has no known run, so the end of any run of it counts.
    return task.phase == Task::Phase::InDoubt || task.phase == Task::Phase::Ready ? &task : nullptr;
}

/// Returns the task of an end of another run than the one that was adopted for the task, or null. If that one is a cancelled start, a former owner has
/// started the task again since; the task's work is done either way.
Task *taskDoneByOtherRun(const OwnerState &state, Job &job, const RunEnd &end)
{
    if (end.outcome != RunOutcome::Done || !hasTask(job, end.run.task)) {
        return nullptr;
    }
    const std::uint32_t flat = flatIndex(job, end.run.task);
    Task &task = job.tasks[flat];
    return isAdopted(state, task) && task.run != end.run.run && !stepSpecOfTask(job, flat).longRunning ? &task : nullptr;
}

/// Returns the task about which the end decides, or null.
Task *decidedTask(const OwnerState &state, Job &job, const RunEnd &end, AgentIndex agent)
{
    Task *task = currentTask(job, end.run, agent);
    return task != nullptr ? task : taskDoneByOtherRun(state, job, end);
}

/// Handles the end of a run that was done.
void handleTaskDone(Context &context, Job &job, Task &task, AgentIndex agent, const EndAck &endAck)
{
    setPhase(context.state, job, task, Task::Phase::Done);
    handleProgress(context, job, stepOfTask(job, task), agent, endAck);
}

void handleTaskFailed(Context &context, Job &job, const RunRef &run, AgentIndex agent, const EndAck &endAck)
{
    Task &task = job.tasks[flatIndex(job, run.task)];
    countFailedRun(job, run);
    avoidAgent(context.state, task, agent);
    if (task.failures >= job.rules.maxAttempts) {
        // finishJob() stops active tasks, but the run of this one has ended.
        setPhase(context.state, job, task, Task::Phase::Blocked);
        finishJob(context, job, JobState::Failed, {endAck});
        return;
    }
    releaseTask(context, job, task);
    acknowledgeWithRecord(context, job, agent, endAck, context.state.now);
}

void updateWorkerHealth(Context &context, Agent &agent, const Job &job, const RunEnd &end)
{
    const StepSpec &step = job.spec.steps[end.run.task.step];
    const std::uint32_t estimateMs = effectiveEstimateMs(step);
    if (end.outcome == RunOutcome::Done) {
        // The run time of a background task depends on what other tasks leave idle, not on the worker's speed.
        const bool indicatesSpeed = step.need.backgroundMilli == 0;
        recordSuccess(agent.health, estimateMs, indicatesSpeed ? end.runTimeMs : 0, context.state.now);
        if (agent.worker && indicatesSpeed) {
            context.state.kindSpeeds.addSample(agent.worker->kind, estimateMs, end.runTimeMs);
        }
        return;
    }
    if (end.outcome != RunOutcome::Failed) {
        return;
    }
    const Base::MonoTime suspendedBefore = agent.health.suspendedUntil;
    recordFailure(agent.health, job.id, runFailureWeight, context.state.now);
    if (agent.health.suspendedUntil != suspendedBefore) {
        logDecision(context, "worker.suspended", {{"agent", agent.name}, {"failures", std::to_string(agent.health.failures)}});
    }
}

/// Stores a checkpoint for the task, or for all members of its gang, as they save and resume together.
void storeCheckpoint(Job &job, const TaskRef &ref, const std::string &checkpoint)
{
    const StepSpec &step = job.spec.steps[ref.step];
    if (checkpoint.empty() || !step.checkpointing) {
        return;
    }
    if (!step.gang) {
        job.tasks[flatIndex(job, ref)].checkpoint = checkpoint;
        return;
    }
    const StepIndex index = findStepIndex(job, ref);
    for (std::uint32_t flat = job.firstTask[index]; flat < job.firstTask[index + 1U]; ++flat) {
        job.tasks[flat].checkpoint = checkpoint;
    }
}

/// Acknowledges an end that decides nothing any more. The end of a task's work, or one that counts as an attempt, waits for the next record: it may be an end of
/// another gang member, or one that is listed again, and what it has decided may not be recorded yet.
void acknowledgeOutdatedEnd(Context &context, Job *job, AgentIndex agent, const RunEnd &end, const EndAck &endAck)
{
    const bool mayHaveDecided = end.outcome == RunOutcome::Done || end.outcome == RunOutcome::Failed;
    if (job == nullptr || !mayHaveDecided) {
        markEndRecorded(context.state.agents[agent], endAck.number);
        return;
    }
    acknowledgeWithRecord(context, *job, agent, endAck, context.state.now + progressCommitDelay);
}

/// Returns whether the task of a stored job may have started again since the end, which the platform then must not count: an owner starts the tasks again
/// of an agent that hasn't reported for long.
bool mayHaveRunAgain(const OwnerState &state, const Agent &agent, const Job *job, const RunEnd &end)
{
    const bool decides = end.outcome == RunOutcome::Done || end.outcome == RunOutcome::Failed;
    const std::uint64_t epoch = end.run.run / runsPerEpoch + 1;
    if (!decides || !agent.reportedLate.value_or(false) || epoch >= state.epoch || (job != nullptr && job->bestEffort)) {
        return false;
    }
    const bool lasts = job != nullptr && hasTask(*job, end.run.task) && stepSpecOfTask(*job, flatIndex(*job, end.run.task)).longRunning;
    // A task that runs until it is cancelled starts again however it ends.
    if (lasts) {
        return false;
    }
    if (epoch + 1 < state.epoch || job == nullptr) {
        return true;
    }
    if (!hasTask(*job, end.run.task)) {
        return isForgotten(*job, end.run.task);
    }
    const Task &task = job->tasks[flatIndex(*job, end.run.task)];
    return task.starts > 0 || task.phase == Task::Phase::Done;
}

void handleGangEnd(Context &context, Job &job, AgentIndex index, const RunEnd &end, const EndAck &endAck)
{
    switch (end.outcome) {
    case RunOutcome::Done:
        handleGangDone(context, job, findStepIndex(job, end.run.task), index, endAck);
        return;
    case RunOutcome::Failed:
        handleGangFailure(context, job, end.run, index, endAck);
        return;
    case RunOutcome::Stopped:
    case RunOutcome::Lapsed:
    case RunOutcome::Broken:
        markEndRecorded(context.state.agents[index], endAck.number);
        if (job.tasks[flatIndex(job, end.run.task)].phase == Task::Phase::Active) {
            handleGangMemberLost(context, job, end.run.task);
        }
        return;
    }
}

/// Delays the restart of a long-running task after several quick ends, so that a crash loop doesn't keep workers busy with starts.
void delayRestartAfterQuickEnd(const OwnerState &state, Task &task, const RunEnd &end)
{
    if (end.outcome != RunOutcome::Failed && end.outcome != RunOutcome::Done) {
        return;
    }
    if (end.runTimeMs == 0 || std::chrono::milliseconds(end.runTimeMs) >= longRunningHealthyRunTime) {
        task.consecutiveQuickEnds = 0;
        return;
    }
    if (task.consecutiveQuickEnds < maxImmediateRestarts) {
        ++task.consecutiveQuickEnds;
        return;
    }
    const int doublings = task.consecutiveQuickEnds - maxImmediateRestarts;
    const Base::Duration delay = std::min<Base::Duration>(longRunningRestartDelayInitial * (1 << doublings), longRunningRestartDelayMax);
    task.notBefore = state.now + delay;
    if (delay < longRunningRestartDelayMax) {
        ++task.consecutiveQuickEnds;
    }
}

/// Restarts a long-running task, however it ended.
void handleLongRunningEnd(Context &context, Job &job, Task &task, AgentIndex index, const RunEnd &end)
{
    markEndRecorded(context.state.agents[index], end.number);
    if (end.outcome == RunOutcome::Failed) {
        avoidAgent(context.state, task, index);
    }
    delayRestartAfterQuickEnd(context.state, task, end);
    if (task.phase != Task::Phase::Active) {
        return;
    }
    if (stepSpecOfTask(job, flatIndex(job, end.run.task)).gang) {
        handleGangMemberLost(context, job, end.run.task);
        return;
    }
    releaseTask(context, job, task);
}

/// Lets the later steps of the occurrence start, or the next occurrence begin in its place.
void handleStepDone(Context &context, Job &job, OccurrencePosition position)
{
    unblockOccurrence(context, job, position);
    if (isOccurrenceDone(job, position)) {
        job.occurrences.release(position);
        updateNextOccurrence(context.state, job, true);
    }
}

} // namespace

void handleProgress(Context &context, Job &job, StepIndex step, AgentIndex agent, const EndAck &endAck)
{
    if (isComplete(job)) {
        finishJob(context, job, JobState::Completed, {endAck});
        return;
    }
    acknowledgeWithRecord(context, job, agent, endAck, context.state.now + progressCommitDelay);
    if (job.steps[step].doneTasks == stepSpec(job, step).count) {
        handleStepDone(context, job, positionOfStep(job, step));
    }
    requeue(context, job);
}

void acknowledgeWithRecord(Context &context, Job &job, AgentIndex agent, const EndAck &endAck, Base::MonoTime due)
{
    if (job.bestEffort) {
        markEndRecorded(context.state.agents[agent], endAck.number);
        return;
    }
    job.unrecordedEnds.push_back(endAck);
    if (!job.finishing) {
        recordProgress(context, job, due);
    }
}

void avoidAgent(const OwnerState &state, Task &task, AgentIndex agent)
{
    task.avoidedAgent = agent;
    task.avoidedUntil = state.now + avoidanceTimeout;
}

void handleTaskLost(Context &context, const RunRef &run, AgentIndex agent)
{
    Job *job = findJob(context.state, run.task.job);
    if (job == nullptr || job->finishing) {
        return;
    }
    Task *task = currentTask(*job, run, agent);
    if (task == nullptr || task->phase != Task::Phase::Active) {
        return;
    }
    if (stepSpecOfTask(*job, flatIndex(*job, run.task)).gang) {
        handleGangMemberLost(context, *job, run.task);
        return;
    }
    releaseTask(context, *job, *task);
}

void handleEnd(Context &context, AgentIndex index, RunEnd end)
{
    Agent &agent = context.state.agents[index];
    if (!registerEnd(agent, end.number)) {
        return;
    }
    context.state.schedulingDue |= removeRunOfTask(context.state, agent, end.run) && !context.state.ready.empty();
    const EndAck endAck{agent.name, agent.worker ? agent.worker->startTimeMs : 0, end.number};
    Job *job = findJob(context.state, end.run.task.job);
    if (mayHaveRunAgain(context.state, agent, job, end)) {
        agent.endsToLapse = std::max(agent.endsToLapse, end.number);
        end.outcome = RunOutcome::Lapsed;
    }
    const bool open = job != nullptr && !job->finishing && ensureOccurrenceBegun(context, *job, end.run.task);
    Task *task = open ? decidedTask(context.state, *job, end, index) : nullptr;
    if (end.outcome != RunOutcome::Done) {
        logDecision(context,
                    "task.ended",
                    {{"run", formatRun(end.run)}, {"agent", agent.name}, {"how", std::string(toString(end.outcome))}, {"ms", std::to_string(end.runTimeMs)}});
    }
    handleCheckpoint(context, {end.run, end.checkpoint});
    if (task == nullptr && open && isOtherAttempt(*job, end)) {
        handleOtherAttempt(context, *job, index, end, endAck);
        return;
    }
    if (task == nullptr) {
        acknowledgeOutdatedEnd(context, job, index, end, endAck);
        return;
    }
    // The run may have been started by a former owner.
    markStarted(context.state, *job);
    const StepSpec &step = job->spec.steps[end.run.task.step];
    if (step.longRunning) {
        handleLongRunningEnd(context, *job, *task, index, end);
        return;
    }
    updateWorkerHealth(context, agent, *job, end);
    if (end.outcome == RunOutcome::Done) {
        stopOtherRuns(context.state, *job, end.run);
    }
    if (step.gang) {
        handleGangEnd(context, *job, index, end, endAck);
        return;
    }
    switch (end.outcome) {
    case RunOutcome::Done:
        handleTaskDone(context, *job, *task, index, endAck);
        return;
    case RunOutcome::Failed:
        handleTaskFailed(context, *job, end.run, index, endAck);
        return;
    case RunOutcome::Stopped:
    case RunOutcome::Lapsed:
    case RunOutcome::Broken:
        markEndRecorded(agent, end.number);
        if (task->phase == Task::Phase::Active) {
            releaseTask(context, *job, *task);
        }
        return;
    }
}

void handleRefusal(Context &context, AgentIndex index, const RunRefusal &refusal)
{
    Agent &agent = context.state.agents[index];
    context.state.schedulingDue |= removeRunOfTask(context.state, agent, refusal.run) && !context.state.ready.empty();
    logDecision(context, "task.refused", {{"run", formatRun(refusal.run)}, {"agent", agent.name}, {"reason", std::string(toString(refusal.reason))}});
    if (Job *job = findJob(context.state, refusal.run.task.job); job != nullptr && hasTask(*job, refusal.run.task)) {
        Task &task = job->tasks[flatIndex(*job, refusal.run.task)];
        if (refusal.reason == RunRefusal::Reason::NoTicket) {
            dropTicket(context.state, {job->id, findStepIndex(*job, refusal.run.task)}, index);
        } else if (task.phase == Task::Phase::Active && task.agent == index && task.run == refusal.run.run) {
            avoidAgent(context.state, task, index);
        }
        if (refusal.reason == RunRefusal::Reason::Unhealthy || refusal.reason == RunRefusal::Reason::NoAnswer) {
            recordFailure(agent.health, job->id, unansweredStartWeight, context.state.now);
        }
    }
    handleTaskLost(context, refusal.run, index);
}

void handleStalled(Context &context, AgentIndex index, const RunRef &run)
{
    Agent &agent = context.state.agents[index];
    const auto found = agent.runs.find(run);
    if (found == agent.runs.end() || found->second.stopping) {
        return;
    }
    logDecision(context, "task.stalled", {{"run", formatRun(run)}, {"agent", agent.name}});
    recordFailure(agent.health, run.task.job, runFailureWeight, context.state.now);
    Job *job = findJob(context.state, run.task.job);
    if (job != nullptr && hasTask(*job, run.task)) {
        avoidAgent(context.state, job->tasks[flatIndex(*job, run.task)], index);
    }
    orderStop(agent, run);
}

void handleCheckpoint(Context &context, const RunCheckpoint &checkpoint)
{
    Job *job = findJob(context.state, checkpoint.run.task.job);
    if (job == nullptr || !hasTask(*job, checkpoint.run.task)) {
        return;
    }
    // A checkpoint of an earlier run may arrive late, when the current run has resumed from a newer one. The run is 0 while none is known.
    const std::uint32_t known = job->tasks[flatIndex(*job, checkpoint.run.task)].run;
    if (known == 0 || known == checkpoint.run.run) {
        storeCheckpoint(*job, checkpoint.run.task, checkpoint.checkpoint);
    }
}

} // namespace LaburnumFlow::Jobs::Internal
