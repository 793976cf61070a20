#pragma once

#include "ownerstate.h"

#include <vector>

namespace LaburnumFlow::Jobs {

/// Workers that are kept free for work which needs much room at once; by agent.
using ReservedWorkers = std::vector<bool>;

/// Chooses the worker on which a task is expected to end first. Returns noAgent if none has room for it now.
/// flat: the task's position in the job.
AgentIndex chooseWorker(const OwnerState &state, const Job &job, std::uint32_t flat, const ReservedWorkers &reservedWorkers);

/// Chooses a worker for each task of the step, so that all can start now. Empty if there is no room for all.
/// For a step that runs fastest on one rack, allowsRackSplit allows several racks.
std::vector<AgentIndex>
chooseGangWorkers(const OwnerState &state, const Job &job, StepIndex step, bool allowsRackSplit, const ReservedWorkers &reservedWorkers);

/// Chooses workers that could run all tasks of the step if nothing else ran there, those with the most room first.
/// Empty if there are none.
std::vector<AgentIndex> workersToReserve(const OwnerState &state, const Job &job, StepIndex step);

/// Whether one rack could run all tasks of the step if nothing else ran there.
bool fitsOnOneRack(const OwnerState &state, const Job &job, StepIndex step);

/// Room that lasting tasks may still take from the service, in thousandths of a core.
double longRunningFreeMilli(const OwnerState &state, const std::string &service);

/// The advice service's ticket for the worker, which may run the step; empty if there is none or it ends soon.
std::string validTicket(const OwnerState &state, const Job &job, StepIndex step, AgentIndex index);

/// Workers that might run the step and of which the advice service has not said yet whether they may. The best come first.
std::vector<AgentIndex> workersToAsk(const OwnerState &state, const Job &job, StepIndex step);

} // namespace LaburnumFlow::Jobs
