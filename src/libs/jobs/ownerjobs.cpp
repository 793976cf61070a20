#include "ownersteps.h"

#include "jobsconstants.h"
#include "waitingsteps.h"

#include <algorithm>

namespace LaburnumFlow::Jobs {

namespace Internal {

namespace {

void dropProgress(OwnerState &state, Job &job)
{
    if (job.progressDue) {
        state.progressDue.erase({*job.progressDue, job.id});
        job.progressDue.reset();
    }
}

void acknowledgeEnds(Context &context, const std::vector<EndAck> &endAcks)
{
    for (const EndAck &endAck : endAcks) {
        const auto found = context.state.agentByName.find(endAck.agent);
        if (found == context.state.agentByName.end()) {
            continue;
        }
        Agent &agent = context.state.agents[found->second];
        if (agent.worker && agent.worker->startTimeMs == endAck.workerStartTimeMs) {
            markEndRecorded(agent, endAck.number);
        }
    }
}

void handleJobStored(Context &context, Job &job)
{
    if (job.stored) {
        return;
    }
    job.stored = true;
    ++context.state.unstarted[job.rules.name];
    for (const CallId call : job.waitingForAcceptance) {
        context.effects.push_back(Reply{call, {.kind = CallAnswer::Kind::Accepted}});
    }
    job.waitingForAcceptance.clear();
    logDecision(context, "job.accepted", {{"id", formatId(job.id)}, {"queue", job.rules.name}, {"tasks", std::to_string(job.tasks.size())}});
    if (job.cancelRequested) {
        finishJob(context, job, JobState::Cancelled, {});
        return;
    }
    updateNextOccurrence(context.state, job, true);
    unblockSteps(context, job);
}

/// Clears the in-doubt state of the tasks of a job that has ended. Runs of them that are reported later are stopped.
void clearTasksInDoubt(OwnerState &state, Job &job)
{
    for (Task &task : job.tasks) {
        if (task.phase == Task::Phase::InDoubt) {
            setPhase(state, job, task, Task::Phase::Blocked);
        }
    }
}

void stopActiveTasks(OwnerState &state, const Job &job)
{
    for (std::uint32_t flat = 0; flat < job.tasks.size(); ++flat) {
        const Task &task = job.tasks[flat];
        if (task.phase == Task::Phase::Active) {
            orderStop(state.agents[task.agent], {taskRef(job, flat), task.run});
        }
    }
}

/// Stops a best-effort job whose callers have stopped waiting. It stays known for resubmitWindow, with its runs and their numbers, as a caller may resubmit it.
void abandonJob(Context &context, Job &job)
{
    OwnerState &state = context.state;
    const auto waitedMs = std::chrono::duration_cast<std::chrono::milliseconds>(state.now - job.arrivedAt).count();
    logDecision(context, "job.unattended", {{"id", formatId(job.id)}, {"queue", job.rules.name}, {"waited_ms", std::to_string(waitedMs)}});
    for (const CallId call : job.waitingForAcceptance) {
        context.effects.push_back(Reply{call, {.kind = CallAnswer::Kind::OutcomeUnknown}});
    }
    job.waitingForAcceptance.clear();
    job.abandoned = true;
    job.mayHaveRun |= job.state != JobState::Queued;
    requeue(context, job);
    stopActiveTasks(state, job);
    extendExpiry(state, job, state.now + job.resubmitWindow);
}

void handleFinalStateRecorded(Context &context, const FinishJob &finish)
{
    // The store holds no job that is withdrawn. One that the owner knows under its id is a later submission.
    Job *job = finish.state == JobState::Withdrawn ? nullptr : findJob(context.state, finish.job);
    if (job != nullptr) {
        handleJobFinished(context, *job, finish.state);
    } else {
        keepFinalState(context.state, finish.job, finish.state);
    }
}

} // namespace

void removeJob(OwnerState &state, Job &job)
{
    leaveQueue(state, job);
    clearTasksInDoubt(state, job);
    scheduleTimelinessChange(state, job, false);
    updateNextOccurrence(state, job, false);
    dropAdvice(state, job.id);
    if (job.expiresAt) {
        state.expiring.erase({*job.expiresAt, job.id});
    }
    const JobId id = job.id;
    state.jobs.erase(id);
}

void handleJobFinished(Context &context, Job &job, JobState state)
{
    OwnerState &owner = context.state;
    markStarted(owner, job);
    for (const CallId call : job.waitingForCancel) {
        context.effects.push_back(Reply{call, {.kind = CallAnswer::Kind::Accepted}});
    }
    const CallAnswer::Kind kind = job.bestEffort ? CallAnswer::Kind::State : CallAnswer::Kind::Accepted;
    for (const CallId call : job.waitingForAcceptance) {
        context.effects.push_back(Reply{call, {.kind = kind, .state = state}});
    }
    for (const CallId call : job.waitingForState) {
        context.effects.push_back(Reply{call, {.kind = CallAnswer::Kind::State, .state = state}});
    }
    const auto tookMs = std::chrono::duration_cast<std::chrono::milliseconds>(owner.now - job.arrivedAt).count();
    logDecision(context,
                "job.finished",
                {{"id", formatId(job.id)},
                 {"state",
                  state == JobState::Completed ? "completed"
                  : state == JobState::Failed  ? "failed"
                                               : "cancelled"},
                 {"queue", job.rules.name},
                 {"ms", std::to_string(tookMs)}});
    if (job.bestEffort) {
        owner.recentBestEffort[job.id] = state;
        owner.recentUntil.emplace(owner.now + job.resubmitWindow, job.id);
    } else {
        keepFinalState(owner, job.id, state);
    }
    acknowledgeEnds(context, job.unrecordedEnds);
    removeJob(owner, job);
}

JobRecord makeJobRecord(const Job &job)
{
    JobRecord record{job.id, job.rules, job.spec, {}, {}, {}};
    for (const Task &task : job.tasks) {
        record.done.push_back(task.phase == Task::Phase::Done ? 1 : 0);
        record.failures.push_back(task.failures);
    }
    if (std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task &task) { return !task.checkpoint.empty(); })) {
        for (const Task &task : job.tasks) {
            record.checkpoints.push_back(task.checkpoint);
        }
    }
    return record;
}

/// A job whose occurrences are at the positions of their numbers is encoded as a JobRecord, which also earlier versions can read.
std::string encodeJob(const Job &job)
{
    const std::vector<std::uint32_t> &numbers = job.occurrences.numbers();
    std::uint32_t expected = 0;
    const bool inOrder = std::all_of(numbers.begin(), numbers.end(), [&expected](std::uint32_t number) { return number == expected++; });
    if (inOrder && job.occurrences.next() == numbers.size()) {
        return encodeRecord(makeJobRecord(job));
    }
    return encodeRecord(RepeatedJobRecord{makeJobRecord(job), job.occurrences.next(), numbers});
}

PutJob makePutJob(const Job &job)
{
    PutJob put{job.id, encodeJob(job)};
    if (!job.failedRuns.empty()) {
        put.failedRuns = encodeRecord(FailedRunsRecord{job.id, {job.failedRuns.begin(), job.failedRuns.end()}});
    }
    return put;
}

Job *findJob(OwnerState &state, JobId id)
{
    const auto found = state.jobs.find(id);
    return found == state.jobs.end() ? nullptr : &found->second;
}

void markStarted(OwnerState &state, Job &job)
{
    if (job.state != JobState::Queued || !job.stored) {
        return;
    }
    auto &count = state.unstarted[job.rules.name];
    count -= count > 0 ? 1 : 0;
    job.state = JobState::Running;
}

void unblockOccurrence(Context &context, Job &job, OccurrencePosition position)
{
    const StepIndex firstStep = firstStepAt(job, position);
    const auto isDone = [&job](StepIndex step) { return job.steps[step].doneTasks == stepSpec(job, step).count; };
    for (StepIndex step = firstStep; step < firstStepAt(job, position + 1); ++step) {
        const StepSpec &spec = stepSpec(job, step);
        const std::uint32_t blocked = job.steps[step].blockedTasks;
        // The members of a gang start together, once no earlier run of any member is left.
        if (blocked == 0 || (spec.gang && blocked < spec.count)) {
            continue;
        }
        if (!std::all_of(spec.after.begin(), spec.after.end(), [&](std::uint16_t earlier) { return isDone(firstStep + earlier); })) {
            continue;
        }
        job.steps[step].readySince = context.state.now;
        for (std::uint32_t flat = job.firstTask[step]; flat < job.firstTask[step + 1U]; ++flat) {
            if (job.tasks[flat].phase == Task::Phase::Blocked) {
                setReady(context, job, job.tasks[flat]);
            }
        }
    }
    requeue(context, job);
}

void unblockSteps(Context &context, Job &job)
{
    const auto positions = static_cast<OccurrencePosition>(job.occurrences.numbers().size());
    for (OccurrencePosition position = 0; position < positions; ++position) {
        unblockOccurrence(context, job, position);
    }
}

void setReady(Context &context, Job &job, Task &task)
{
    setPhase(context.state, job, task, Task::Phase::Ready);
    task.agent = noAgent;
    context.state.schedulingDue = true;
}

void requeue(Context &context, Job &job)
{
    OwnerState &state = context.state;
    const bool waitsForWorkers = job.readyTasks > 0 && job.stored && !job.finishing && !job.abandoned;
    if (waitsForWorkers) {
        enterQueue(state, job);
        state.schedulingDue = true;
    } else {
        leaveQueue(state, job);
    }
    scheduleTimelinessChange(state, job, waitsForWorkers);
}

void finishJob(Context &context, Job &job, JobState state, std::vector<EndAck> endAcks)
{
    if (job.finishing) {
        return;
    }
    job.finishing = true;
    requeue(context, job);
    updateNextOccurrence(context.state, job, false);
    dropProgress(context.state, job);
    endAcks.insert(endAcks.end(), job.unrecordedEnds.begin(), job.unrecordedEnds.end());
    job.unrecordedEnds.clear();
    clearTasksInDoubt(context.state, job);
    stopActiveTasks(context.state, job);
    if (!job.bestEffort) {
        context.state.recorder.add({FinishJob{job.id, state}, std::move(endAcks)});
        return;
    }
    acknowledgeEnds(context, endAcks);
    handleJobFinished(context, job, state);
}

void answerHeldQueries(Context &context)
{
    auto &held = context.state.heldQueries;
    while (!held.empty() && held.front().until <= context.state.now) {
        // The queries of a job that has ended since are already answered.
        if (Job *job = findJob(context.state, held.front().job)) {
            std::erase(job->waitingForState, held.front().call);
            context.effects.push_back(Reply{held.front().call, {.kind = CallAnswer::Kind::State, .state = job->state}});
        }
        held.pop_front();
    }
}

void extendExpiry(OwnerState &state, Job &job, Base::MonoTime until)
{
    if (job.expiresAt && *job.expiresAt >= until) {
        return;
    }
    if (job.expiresAt) {
        state.expiring.erase({*job.expiresAt, job.id});
    }
    job.expiresAt = until;
    state.expiring.emplace(until, job.id);
}

void expireJobs(Context &context)
{
    OwnerState &state = context.state;
    while (!state.expiring.empty() && state.expiring.begin()->first <= state.now) {
        Job *job = findJob(state, state.expiring.begin()->second);
        if (job == nullptr) {
            state.expiring.erase(state.expiring.begin());
        } else if (job->abandoned) {
            markStarted(state, *job);
            removeJob(state, *job);
        } else {
            abandonJob(context, *job);
        }
    }
    while (!state.finishedOrder.empty() && state.now - state.finishedOrder.front().first > state.settings.finalStateRetention) {
        const auto expired = state.finished.find(state.finishedOrder.front().second);
        state.withdrawnJobs -= expired->second == JobState::Withdrawn ? 1 : 0;
        state.finished.erase(expired);
        state.finishedOrder.pop_front();
    }
    while (!state.recentUntil.empty() && state.recentUntil.begin()->first < state.now) {
        state.recentBestEffort.erase(state.recentUntil.begin()->second);
        state.recentUntil.erase(state.recentUntil.begin());
    }
}

void recordProgress(Context &context, Job &job, Base::MonoTime due)
{
    if (job.progressDue && *job.progressDue <= due) {
        return;
    }
    dropProgress(context.state, job);
    job.progressDue = due;
    context.state.progressDue.emplace(due, job.id);
}

void flushProgress(Context &context)
{
    auto &due = context.state.progressDue;
    while (!due.empty() && due.begin()->first <= context.state.now) {
        Job *job = findJob(context.state, due.begin()->second);
        if (job == nullptr) {
            due.erase(due.begin());
            continue;
        }
        dropProgress(context.state, *job);
        std::vector<EndAck> endAcks = std::move(job->unrecordedEnds);
        job->unrecordedEnds.clear();
        context.state.recorder.add({makePutJob(*job), std::move(endAcks)});
    }
}

void rewriteOldRecords(Context &context)
{
    OwnerState &state = context.state;
    if (state.jobsToRewrite.empty() && state.now - state.packsCheckedAt >= packRewriteInterval) {
        state.packsCheckedAt = state.now;
        const std::vector<JobId> jobs = state.recorder.jobsToRewrite(state.wall);
        state.jobsToRewrite.assign(jobs.begin(), jobs.end());
    }
    // New jobs must not wait until all these records are written.
    while (!state.jobsToRewrite.empty() && state.recorder.waiting() < maxRewritesWaiting) {
        const Job *job = findJob(state, state.jobsToRewrite.front());
        state.jobsToRewrite.pop_front();
        if (job != nullptr && !job->finishing) {
            state.recorder.add({makePutJob(*job), {}});
        }
    }
}

void keepFinalState(OwnerState &state, JobId job, JobState finalState)
{
    state.withdrawing.erase(job);
    const auto [kept, added] = state.finished.emplace(job, finalState);
    if (added) {
        state.finishedOrder.emplace_back(state.now, job);
        state.withdrawnJobs += finalState == JobState::Withdrawn ? 1 : 0;
        return;
    }
    // The job was cancelled again after its final state was recorded.
    if (finalState == JobState::Withdrawn) {
        return;
    }
    state.withdrawnJobs -= kept->second == JobState::Withdrawn ? 1 : 0;
    kept->second = finalState;
}

void handleRecordedChanges(Context &context, const std::vector<Change> &changes)
{
    for (const Change &change : changes) {
        acknowledgeEnds(context, change.endAcks);
        if (const auto *put = std::get_if<PutJob>(&change.operation)) {
            if (Job *job = findJob(context.state, put->job)) {
                handleJobStored(context, *job);
            }
        } else {
            handleFinalStateRecorded(context, std::get<FinishJob>(change.operation));
        }
        for (const AnswerWhenRecorded &waiting : change.answers) {
            reply(context, waiting.call, waiting.answer);
        }
    }
}

} // namespace Internal

} // namespace LaburnumFlow::Jobs
