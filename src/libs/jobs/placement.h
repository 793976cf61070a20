#pragma once

#include "ownerstate.h"
#include "reservations.h"

#include <vector>

namespace LaburnumFlow::Jobs {

/// The worker for a task, or why there is none.
struct WorkerChoice {
    AgentIndex agent = noAgent; ///< The worker on which the task is expected to end first; noAgent if none can take it now.
    /// A worker has room for tasks like this one. If none is chosen, this task has failed there or would end too late.
    bool othersMayFit = false;
    bool keptOut = false; ///< No worker is chosen as all room is reserved until the task would have ended. A shorter one may run there.
    double leastCost = 0.0; ///< If othersMayFit or keptOut: no worker with room has a lower cost, as for maxCostInTime(), reserved room included.
};

/// Chooses a worker for the task. \a flat is the task's position in Job::tasks. A cost above \a maxCost is too high.
WorkerChoice chooseWorker(const OwnerState &state, const Job &job, std::uint32_t flat, double maxCost, const Reservations &reservations);

/// Returns whether workers have room now for all tasks of a gang, or for one task of another step. Tickets and reservations are left out of account.
bool hasRoomNow(const OwnerState &state, const Job &job, StepIndex step);

/// Returns whether a worker may run steps with these requirements once it has room for one of their tasks.
bool isServed(const OwnerState &state, const PlacementRequirements &requirements);

/// Returns the highest cost at which the job still ends in time. It is infinite for a job that has started, is late or has waited for maxPlacementWait, and for a
/// background task, as the idle capacity that it uses changes all the time. A cost is the expected run time relative to that on an idle worker of speed 1 on the rack of the data.
double maxCostInTime(const OwnerState &state, const Job &job, const StepSpec &step);

/// Returns a worker for each task of the step, so that all can start now; empty if the workers can't take all of them.
/// \a allowsRackSplit permits several racks for a step that runs fastest on one.
std::vector<AgentIndex> chooseGangWorkers(const OwnerState &state, const Job &job, StepIndex step, bool allowsRackSplit, const Reservations &reservations);

/// Returns workers that can run all ready tasks of the step once the runs there have ended that end by themselves, preferring those with the lowest load; empty
/// if there are none. Room that is reserved already is left out of account. For a long-running step that is no gang, returns workers for as many tasks as possible.
std::vector<AgentIndex> workersToReserve(const OwnerState &state, const Job &job, StepIndex step, const Reservations &reservations);

/// Returns whether the run goes on until its job is cancelled.
bool isLongRunning(const OwnerState &state, const RunRef &run, const ActiveRun &active);

/// Returns the expected run time of a task of the step on the worker.
Base::Duration expectedRunTime(const OwnerState &state, const StepSpec &step, const Agent &agent);

/// Returns whether one rack can run all ready tasks of the step once the runs there have ended that end by themselves.
bool fitsOnOneRack(const OwnerState &state, const Job &job, StepIndex step);

/// Returns the capacity that is left for further long-running tasks of the service, in thousandths of a core.
double longRunningFreeMilli(const OwnerState &state, const std::string &service);

/// Returns the advice service's ticket to run the step on the worker; empty if there is none or it expires soon.
std::string validTicket(const OwnerState &state, const Job &job, StepIndex step, AgentIndex index);

/// Returns the suitable workers for which there is no valid decision of the advice service yet, the best first.
std::vector<AgentIndex> workersToAsk(const OwnerState &state, const Job &job, StepIndex step);

} // namespace LaburnumFlow::Jobs
