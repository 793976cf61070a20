#include "ownersteps.h"

namespace LaburnumFlow::Jobs::Internal {

namespace {

/// Returns the run as Job::failedRuns names it.
FailedRun failedRun(const Job &job, const RunRef &run)
{
    const StepIndex step = findStepIndex(job, run.task);
    return {stepSpec(job, step).gang ? job.firstTask[step] : flatIndex(job, run.task), run.run};
}

} // namespace

void countFailedRun(Job &job, const RunRef &run)
{
    const FailedRun failed = failedRun(job, run);
    if (!job.failedRuns.insert(failed).second) {
        return;
    }
    const StepIndex step = findStepIndex(job, run.task);
    const std::uint32_t last = stepSpec(job, step).gang ? job.firstTask[step + 1U] : failed.task + 1;
    for (std::uint32_t flat = failed.task; flat < last; ++flat) {
        ++job.tasks[flat].failures;
    }
}

bool isOtherAttempt(const Job &job, const RunEnd &end)
{
    if (end.outcome != RunOutcome::Failed || job.bestEffort || !hasTask(job, end.run.task)) {
        return false;
    }
    const std::uint32_t flat = flatIndex(job, end.run.task);
    const bool limited = !stepSpecOfTask(job, flat).longRunning;
    return limited && job.tasks[flat].phase != Task::Phase::Done && !job.failedRuns.contains(failedRun(job, end.run));
}

void handleOtherAttempt(Context &context, Job &job, AgentIndex agent, const RunEnd &end, const EndAck &endAck)
{
    countFailedRun(job, end.run);
    if (job.tasks[flatIndex(job, end.run.task)].failures >= job.rules.maxAttempts) {
        finishJob(context, job, JobState::Failed, {endAck});
        return;
    }
    acknowledgeWithRecord(context, job, agent, endAck, context.state.now);
}

} // namespace LaburnumFlow::Jobs::Internal
