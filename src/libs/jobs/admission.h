#pragma once

#include "ownerstate.h"

#include "base/types.h"

#include <cstdint>

namespace LaburnumFlow::Jobs {

struct Admission {
    bool accepted = true;
    Base::Duration expectedWait{}; ///< until the job's tasks can start
    std::uint32_t retryAfterS = 0; ///< when a job like it is expected to be in time; 0 if accepted
};

/// The last moment at which the job should begin to end within so many objectives.
Base::MonoTime latestStart(const Job &job, double objectives);

/// Counts the job's work among what comes.
void addDemand(OwnerState &state, const Job &job);

/// Whether the job can still be of use to its caller behind the work that is queued before it.
Admission admit(const OwnerState &state, const Job &job);

} // namespace LaburnumFlow::Jobs
