#pragma once

#include "job.h"

#include <cstdint>
#include <vector>

namespace LaburnumFlow::Jobs {

/// What a scheduling round has found out about the room on the workers that meet certain requirements. It holds for the rest of the round, as workers only get
/// fuller, and for all tasks that need as much or more, for as long or longer.
class KnownRoom
{
public:
    /// No worker has room for a task with this need.
    void noteMissing(const Resources &need);

    /// No worker with room for a task with this need has a lower cost.
    void noteLeastCost(const Resources &need, double cost);

    /// Reservations keep a task with this need and estimate out of all workers with room.
    void noteKeptOut(const Resources &need, std::uint32_t estimateMs);

    /// Returns whether it is known that no worker has room for a task with this need.
    bool isMissingFor(const Resources &need) const;

    /// Returns whether it is known that reservations keep out a task with this need and estimate.
    bool isKeptOut(const Resources &need, std::uint32_t estimateMs) const;

    /// Returns a lower bound of the cost of a task with this need; 0 if none is known.
    double leastCost(const Resources &need) const;

private:
    struct Cost {
        Resources need;
        double least = 0.0;
    };

    struct KeptOut {
        Resources need;
        std::uint32_t estimateMs = 0;
    };

    std::vector<Resources> missing_;
    std::vector<KeptOut> keptOut_;
    std::vector<Cost> costs_;
};

} // namespace LaburnumFlow::Jobs
