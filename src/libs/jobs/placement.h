#pragma once

#include "ownerstate.h"

namespace LaburnumFlow::Jobs {

/// Chooses the worker on which a task is expected to end first. Returns noAgent if none has room for it now.
/// flat: the task's position in the job.
AgentIndex place(const OwnerState &state, const Job &job, std::uint32_t flat);

} // namespace LaburnumFlow::Jobs
