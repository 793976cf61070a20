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
    /// Returns a violation of the rules by a start, or an empty string.
    std::string checkStart(const Jobs::RunRef &run, Base::MonoTime now);

    /// Returns a violation of the rules by the acknowledgement of an end, or an empty string.
    std::string checkAcknowledgedEnd(const Jobs::RunEnd &end, Base::MonoTime endedAt);

private:
    std::map<Jobs::TaskRef, Base::MonoTime> latestStarts_;
    std::set<Jobs::TaskRef> doneTasks_; ///< Tasks with a run that was done and whose end was acknowledged.
};

} // namespace LaburnumFlow::EntryNode::Testing
