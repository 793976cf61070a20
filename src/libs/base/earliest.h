#pragma once

#include "types.h"

#include <optional>

namespace LaburnumFlow::Base {

/// The earliest of several times, some of which may be absent.
class Earliest
{
public:
    void consider(const std::optional<MonoTime> &time)
    {
        if (time && (!time_ || *time < *time_)) {
            time_ = time;
        }
    }

    /// Nothing if no time was considered.
    const std::optional<MonoTime> &time() const
    {
        return time_;
    }

private:
    std::optional<MonoTime> time_;
};

} // namespace LaburnumFlow::Base
