#pragma once

#include "ownerstate.h"

#include "base/types.h"

#include <cstdint>

namespace LaburnumFlow::Jobs {

/// The decision whether to accept a job.
struct Admission {
    bool accepted = true;
    Base::Duration expectedWait{}; ///< Expected time until the job's tasks can start.
    std::uint32_t retryAfterS = 0; ///< Seconds after which a similar job is expected to be accepted; 0 if accepted.
};

/// Returns the latest time at which the job should start in order to end within \a objectives times its objective.
Base::MonoTime latestStart(const Job &job, double objectives);

/// Adds the job's work to the demand for its service.
void addDemand(OwnerState &state, const Job &job);

/// Decides whether the job can still end early enough for its caller, given the work that is queued before it.
Admission admit(const OwnerState &state, const Job &job);

} // namespace LaburnumFlow::Jobs
