#pragma once

#include "job.h"

#include <vector>

namespace LaburnumFlow::Jobs {

/// What a scheduling round has found out about the room on the workers that meet certain requirements. It holds for the rest of the round, as workers only get
/// fuller, and for all tasks that need as much or more.
class KnownRoom
{
public:
    /// No worker has room for a task with this need.
    void noteMissing(const Resources &need);

    /// No worker with room for a task with this need has a lower cost.
    void noteLeastCost(const Resources &need, double cost);

    /// Returns whether it is known that no worker has room for a task with this need.
    bool isMissingFor(const Resources &need) const;

    /// Returns a lower bound of the cost of a task with this need; 0 if none is known.
    double leastCost(const Resources &need) const;

private:
    struct Cost {
        Resources need;
        double least = 0.0;
    };

    std::vector<Resources> missing_;
    std::vector<Cost> costs_;
};

} // namespace LaburnumFlow::Jobs
