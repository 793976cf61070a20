#pragma once

#include "ownerstate.h"

namespace LaburnumFlow::Jobs::Internal {

/// Moves the task to another phase and updates all counts of tasks by phase. If its step has begun or ceased to have ready tasks, requeue() must follow.
void setPhase(OwnerState &state, Job &job, Task &task, Task::Phase phase);

} // namespace LaburnumFlow::Jobs::Internal
