#pragma once

#include "base/types.h"

#include <optional>

namespace LaburnumFlow::Runtime {

/// Tells when a process that others depend on is lost and when it is back, from the results of calls to it.
class DependencyWatch
{
public:
    /// The dependency counts as lost once calls have failed for the time, with none answered between.
    explicit DependencyWatch(Base::Duration failureTimeout) : failureTimeout_(failureTimeout) { }

    /// Returns how long the dependency was lost if the answer ends that.
    std::optional<Base::Duration> answered(Base::MonoTime now);

    /// Returns whether the failure makes the dependency lost.
    bool failed(Base::MonoTime now);

private:
    Base::Duration failureTimeout_;
    std::optional<Base::MonoTime> failingSince_;
    bool lost_ = false;
};

} // namespace LaburnumFlow::Runtime
