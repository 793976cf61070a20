#include "ownersteps.h"

#include "jobsconstants.h"

#include <algorithm>
#include <span>

namespace LaburnumFlow::Jobs::Internal {

namespace {

bool isGang(const Job &job, StepIndex step)
{
    return stepSpec(job, step).gang;
}

std::span<Task> gangMembers(Job &job, StepIndex step)
{
    return std::span(job.tasks).subspan(job.firstTask[step], stepSpec(job, step).count);
}

void stopMembers(Context &context, Job &job, StepIndex step)
{
    for (std::uint32_t flat = job.firstTask[step]; flat < job.firstTask[step + 1U]; ++flat) {
        const Task &task = job.tasks[flat];
        if (task.phase == Task::Phase::Active) {
            orderStop(context.state.agents[task.agent], {taskRef(job, flat), task.run});
        }
    }
}

/// Handles the end of a member's run. Until all runs of former owners are resolved, another run of it may be running, so the member is in doubt.
void releaseMember(Context &context, Job &job, Task &task)
{
    task.agent = noAgent;
    setPhase(context.state, job, task, formerRunsResolved(context.state) ? Task::Phase::Blocked : Task::Phase::InDoubt);
}

} // namespace

void handleGangDone(Context &context, Job &job, StepIndex step, AgentIndex agent, const EndAck &endAck)
{
    for (Task &task : gangMembers(job, step)) {
        if (task.phase != Task::Phase::Done) {
            setPhase(context.state, job, task, Task::Phase::Done);
        }
    }
    handleProgress(context, job, step, agent, endAck);
}

void handleGangFailure(Context &context, Job &job, const RunRef &run, AgentIndex agent, const EndAck &endAck)
{
    Task &failed = job.tasks[flatIndex(job, run.task)];
    avoidAgent(context.state, failed, agent);
    countFailedRun(job, run);
    if (failed.failures >= job.rules.maxAttempts) {
        releaseMember(context, job, failed);
        finishJob(context, job, JobState::Failed, {endAck});
        return;
    }
    acknowledgeWithRecord(context, job, agent, endAck, context.state.now);
    handleGangMemberLost(context, job, run.task);
}

void handleGangMemberLost(Context &context, Job &job, const TaskRef &task)
{
    releaseMember(context, job, job.tasks[flatIndex(job, task)]);
    for (Task &member : gangMembers(job, findStepIndex(job, task))) {
        if (member.phase == Task::Phase::Ready) {
            setPhase(context.state, job, member, Task::Phase::Blocked);
        }
    }
    stopMembers(context, job, findStepIndex(job, task));
    unblockOccurrence(context, job, positionOfStep(job, findStepIndex(job, task)));
}

void breakPartialGangs(Context &context, Job &job)
{
    for (StepIndex step = 0; step < job.steps.size(); ++step) {
        const std::span<Task> members = gangMembers(job, step);
        const auto isActive = [](const Task &task) { return task.phase == Task::Phase::Active; };
        if (isGang(job, step) && !std::all_of(members.begin(), members.end(), isActive)) {
            stopMembers(context, job, step);
        }
    }
}

bool mayJoinGang(const Job &job, const RunRef &run)
{
    const StepIndex step = findStepIndex(job, run.task);
    if (!isGang(job, step)) {
        return true;
    }
    const auto first = job.tasks.begin() + job.firstTask[step];
    const auto last = job.tasks.begin() + job.firstTask[step + 1U];
    return std::all_of(first, last, [&run](const Task &task) {
        if (task.phase == Task::Phase::Active) {
            return task.run == run.run;
        }
        return task.phase == Task::Phase::InDoubt || task.phase == Task::Phase::Blocked;
    });
}

} // namespace LaburnumFlow::Jobs::Internal
