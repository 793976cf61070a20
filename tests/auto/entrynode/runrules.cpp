#include "runrules.h"

#include "jobs/jobtext.h"

#include <iterator>

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

std::string RunRules::checkBudget(const Jobs::TaskRef &task) const
{
    const auto failures = failures_.find(task);
    const auto started = latestStarts_.find(task);
    if (failures == failures_.end() || failures->second.size() < maxAttempts || started == latestStarts_.end()) {
        return {};
    }
    const Base::MonoTime lastAllowed = *std::next(failures->second.begin(), maxAttempts - 1);
    return started->second > lastAllowed
               ? "the task of " + Jobs::formatRun({task, 0}) + " starts after " + std::to_string(maxAttempts) + " acknowledged failures"
               : std::string();
}

} // namespace LaburnumFlow::EntryNode::Testing
