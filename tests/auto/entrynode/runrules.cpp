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

} // namespace LaburnumFlow::EntryNode::Testing
