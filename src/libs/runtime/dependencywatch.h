#pragma once

#include "base/types.h"

#include <optional>

namespace LaburnumFlow::Runtime {

/// Detects when a service that this process depends on is lost and when it is back, by the results of calls to it.
class DependencyWatch
{
public:
    /// The dependency counts as lost once calls have failed for failureTimeout without a response in between. A single failed call is thus not reported.
    explicit DependencyWatch(Base::Duration failureTimeout) : failureTimeout_(failureTimeout) { }

    /// Handles a response. If the dependency was lost, returns the time since the first failed call.
    std::optional<Base::Duration> answered(Base::MonoTime now);

    /// Handles a failed call. Returns true once, when the dependency becomes lost.
    bool failed(Base::MonoTime now);

private:
    Base::Duration failureTimeout_;
    std::optional<Base::MonoTime> failingSince_;
    bool lost_ = false;
};

} // namespace LaburnumFlow::Runtime
