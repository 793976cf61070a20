#include "runrules.h"

#include "jobs/jobtext.h"

namespace LaburnumFlow::EntryNode::Testing {

std::string RunRules::checkStart(const Jobs::RunRef &run, Base::MonoTime now)
{
    latestStarts_[run.task] = now;
    return doneTasks_.contains(run.task) ? Jobs::formatRun(run) + " starts after an acknowledged end of its task" : std::string();
}

std::string RunRules::checkAcknowledgedEnd(const Jobs::RunEnd &end, Base::MonoTime endedAt)
{
    if (end.outcome != Jobs::RunOutcome::Done) {
        return {};
    }
    doneTasks_.insert(end.run.task);
    const auto started = latestStarts_.find(end.run.task);
    const bool startedAfterEnd = started != latestStarts_.end() && started->second > endedAt;
    return startedAfterEnd ? "the end of " + Jobs::formatRun(end.run) + " is acknowledged although its task has started after it" : std::string();
}

void RunRules::noteEnd(const Jobs::RunEnd &end)
{
    if (end.outcome == Jobs::RunOutcome::Done) {
        endedDone_.insert(end.run.task);
    }
}

std::string RunRules::checkOrder(const Jobs::RunRef &run) const
{
    const auto job = firstStepTasks_.find(run.task.job);
    if (run.task.step == 0 || job == firstStepTasks_.end()) {
        return {};
    }
    for (std::uint32_t index = 0; index < job->second; ++index) {
        const Jobs::TaskRef first{run.task.job, 0, index};
        if (!endedDone_.contains(first)) {
            return Jobs::formatRun(run) + " starts before " + Jobs::formatRun({first, 0}) + " has ended done";
        }
    }
    return {};
}

} // namespace LaburnumFlow::EntryNode::Testing
