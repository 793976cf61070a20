#pragma once

#include "jobshape.h"
#include "ownerstate.h"

namespace LaburnumFlow::Jobs {

/// Returns what decides which workers may run the step.
PlacementRequirements placementRequirements(const Job &job, StepIndex step);

/// Adds those steps of the job that have ready tasks to the waiting ones and removes the others. Keeps the job's place in the queue up to date.
void enterQueue(OwnerState &state, Job &job);

/// Removes the job and its steps from the waiting ones. Must be called before its rules change.
void leaveQueue(OwnerState &state, Job &job);

/// Drops the placement groups in which no step waits any more.
void dropEmptyGroups(OwnerState &state);

} // namespace LaburnumFlow::Jobs
