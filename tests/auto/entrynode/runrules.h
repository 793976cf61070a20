#pragma once

#include "jobs/messages.h"

#include <map>
#include <set>
#include <string>

namespace LaburnumFlow::EntryNode::Testing {

/// Checks the starts and the acknowledged ends of the tasks of stored jobs, as workers see them.
class RunRules
{
public:
    static constexpr std::uint32_t maxAttempts = 3; ///< Failed runs of a task that fail its job.

    /// Returns a violation of the rules by a start, or an empty string.
    std::string checkStart(const Jobs::RunRef &run, Base::MonoTime now);

    /// Returns a violation of the rules by the acknowledgement of an end, or an empty string.
    std::string checkAcknowledgedEnd(const Jobs::RunEnd &end, Base::MonoTime endedAt);

    /// Adds a job whose second step may start only after all tasks of the first.
    void addTwoStepJob(Jobs::JobId job, std::uint32_t firstStepTasks)
    {
        firstStepTasks_[job] = firstStepTasks;
    }

    /// Takes note of an end at a worker, whether or not it is acknowledged later.
    void noteEnd(const Jobs::RunEnd &end);

    /// Returns a violation of the order of steps by a start, or an empty string.
    std::string checkOrder(const Jobs::RunRef &run) const;

    /// Takes note of a run that ended failed and whose end was acknowledged without a lapse of the worker's lease since.
    void noteAcknowledgedFailure(const Jobs::TaskRef &task, Base::MonoTime endedAt)
    {
        failures_[task].insert(endedAt);
    }

    /// Returns a violation if the latest start of the task came after as many acknowledged failures as a task may have, or an empty string.
    std::string checkBudget(const Jobs::TaskRef &task) const;

private:
    std::map<Jobs::JobId, std::uint32_t> firstStepTasks_; ///< Of jobs with two steps.
    std::map<Jobs::TaskRef, std::multiset<Base::MonoTime>> failures_; ///< When runs ended failed whose ends were acknowledged.
    std::set<Jobs::TaskRef> endedDone_; ///< Tasks with a run that ended done at a worker.
    std::map<Jobs::TaskRef, Base::MonoTime> latestStarts_;
    std::set<Jobs::TaskRef> doneTasks_; ///< Tasks with a run that was done and whose end was acknowledged.
};

} // namespace LaburnumFlow::EntryNode::Testing
