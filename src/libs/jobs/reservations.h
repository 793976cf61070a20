#pragma once

#include "ownerstate.h"

#include <map>
#include <span>

namespace LaburnumFlow::Jobs {

/// Room that is kept on a worker for tasks that can't be placed yet: a gang's, or long-running ones.
struct Reservation {
    Resources room;
    Resources staying; ///< Needs of the runs that are expected to be there still when the room is free.
    Base::MonoTime freeAt{}; ///< When the room is expected to be free, on all workers of a gang.
};

/// Which runs make room for a reservation.
enum class RoomSource : std::uint8_t {
    Preemption, ///< Runs are stopped soon; which ones isn't known before.
    Ends, ///< Runs end as estimated. Nothing is expected of runs that take longer: they may end at any time.
    LateEnds, ///< The same, but a run that takes longer than estimated is expected to take as long again as it has taken so far.
};

/// The reservations of one scheduling round.
class Reservations
{
public:
    /// Reserves room for tasks of the step. \a agents names the worker of each task.
    void add(const OwnerState &state, const StepSpec &step, std::span<const AgentIndex> agents, RoomSource source);

    /// Returns the room that is reserved on the worker.
    Resources room(AgentIndex index) const;

    /// Returns whether a task of the step may start on the worker: it leaves the reserved room free, or it ends before that is expected to be free. \a planned is
    /// what else is to start there.
    bool allow(const OwnerState &state, const StepSpec &step, AgentIndex index, const Resources &planned) const;

    /// Takes into account that a task with this need starts on the worker.
    void noteStart(AgentIndex index, const Resources &need);

private:
    std::map<AgentIndex, Reservation> byAgent_;
};

} // namespace LaburnumFlow::Jobs
