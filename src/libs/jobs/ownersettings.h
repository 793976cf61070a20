#pragma once

#include "jobsconstants.h"

#include "base/types.h"

namespace LaburnumFlow::Jobs {

/// What the owner knows of its deployment.
struct OwnerSettings {
    double remoteFactor = defaultRemoteFactor; ///< Slowdown of a task that runs away from the rack of its data or of the other tasks of its step.
    Base::Duration finalStateRetention = defaultFinalStateRetention; ///< How long callers may ask for final states.
    Base::Duration resubmitDelayMax = defaultResubmitDelayMax; ///< Longest time after which a caller that got no answer submits the job again.
};

} // namespace LaburnumFlow::Jobs
