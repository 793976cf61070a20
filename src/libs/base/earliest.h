#pragma once

#include "types.h"

#include <optional>

namespace LaburnumFlow::Base {

/// Finds the earliest of several times, some of which may be absent.
class Earliest
{
public:
    void consider(const std::optional<MonoTime> &time)
    {
        if (time && (!time_ || *time < *time_)) {
            time_ = time;
        }
    }

    /// Returns the earliest time, or nothing if none was considered.
    const std::optional<MonoTime> &time() const
    {
        return time_;
    }

private:
    std::optional<MonoTime> time_;
};

} // namespace LaburnumFlow::Base
