#pragma once

#include "ownerstate.h"

#include <vector>

namespace LaburnumFlow::Jobs {

/// For each agent, whether its worker is reserved in this scheduling round for a gang or a long-running task that can't be placed yet.
using ReservedWorkers = std::vector<bool>;

/// Returns the worker on which the task is expected to end first, or noAgent if none can take it now. \a flat is the task's position in Job::tasks.
AgentIndex chooseWorker(const OwnerState &state, const Job &job, std::uint32_t flat, const ReservedWorkers &reservedWorkers);

/// Returns a worker for each task of the step, so that all can start now; empty if the workers can't take all of them.
/// \a allowsRackSplit permits several racks for a step that runs fastest on one.
std::vector<AgentIndex>
chooseGangWorkers(const OwnerState &state, const Job &job, StepIndex step, bool allowsRackSplit, const ReservedWorkers &reservedWorkers);

/// Returns workers that could run all tasks of the step if nothing else ran there, preferring those with the lowest load; empty if there are none.
std::vector<AgentIndex> workersToReserve(const OwnerState &state, const Job &job, StepIndex step);

/// Returns whether one rack could run all tasks of the step if nothing else ran there.
bool fitsOnOneRack(const OwnerState &state, const Job &job, StepIndex step);

/// Returns the capacity that is left for further long-running tasks of the service, in thousandths of a core.
double longRunningFreeMilli(const OwnerState &state, const std::string &service);

/// Returns the advice service's ticket to run the step on the worker; empty if there is none or it expires soon.
std::string validTicket(const OwnerState &state, const Job &job, StepIndex step, AgentIndex index);

/// Returns the suitable workers for which there is no valid decision of the advice service yet, the best first.
std::vector<AgentIndex> workersToAsk(const OwnerState &state, const Job &job, StepIndex step);

} // namespace LaburnumFlow::Jobs
