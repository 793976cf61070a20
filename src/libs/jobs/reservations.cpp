#include "reservations.h"

#include "jobsconstants.h"
#include "jobshape.h"
#include "placement.h"

#include <algorithm>
#include <vector>

namespace LaburnumFlow::Jobs {

namespace {

/// A run on a worker and when it is expected to end.
struct ExpectedEnd {
    Base::MonoTime at{};
    Resources need;
};

Base::MonoTime expectedEnd(const OwnerState &state, const Agent &agent, const RunRef &run, const ActiveRun &active, RoomSource source)
{
    const auto job = state.jobs.find(run.task.job);
    if (active.stopping || job == state.jobs.end()) {
        return state.now;
    }
    if (isLongRunning(state, run, active) || source == RoomSource::Preemption) {
        return Base::MonoTime::max();
    }
    const Base::MonoTime estimated = active.since + expectedRunTime(state, job->second.spec.steps[run.task.step], agent);
    if (estimated > state.now || source == RoomSource::Ends) {
        return std::max(estimated, state.now);
    }
    return state.now + (state.now - active.since);
}

/// Returns the runs on the worker, those first that are expected to end first.
std::vector<ExpectedEnd> expectedEnds(const OwnerState &state, const Agent &agent, RoomSource source)
{
    std::vector<ExpectedEnd> ends;
    for (const auto &[run, active] : agent.runs) {
        ends.push_back({expectedEnd(state, agent, run, active, source), active.need});
    }
    std::sort(ends.begin(), ends.end(), [](const ExpectedEnd &left, const ExpectedEnd &right) { return left.at < right.at; });
    return ends;
}

/// Returns when the worker is expected to have the room free.
Base::MonoTime roomFreeAt(const OwnerState &state, const Agent &agent, const Resources &room, std::span<const ExpectedEnd> ends)
{
    Resources used = agent.used;
    Base::MonoTime freeAt = state.now;
    for (const ExpectedEnd &end : ends) {
        if (isWithin(used + room, agent.worker->capacity)) {
            break;
        }
        used -= end.need;
        freeAt = end.at;
    }
    return freeAt;
}

Resources needsAfter(std::span<const ExpectedEnd> ends, Base::MonoTime time)
{
    Resources needs;
    for (const ExpectedEnd &end : ends) {
        if (end.at > time) {
            needs += end.need;
        }
    }
    return needs;
}

} // namespace

void Reservations::add(const OwnerState &state, const StepSpec &step, std::span<const AgentIndex> agents, RoomSource source)
{
    std::map<AgentIndex, std::vector<ExpectedEnd>> ends;
    for (const AgentIndex index : agents) {
        byAgent_[index].room += step.need;
        ends.try_emplace(index, expectedEnds(state, state.agents[index], source));
    }
    Base::MonoTime freeAt = state.now;
    for (const auto &[index, endsOfAgent] : ends) {
        if (source == RoomSource::Preemption) {
            break;
        }
        freeAt = std::max(freeAt, roomFreeAt(state, state.agents[index], byAgent_[index].room, endsOfAgent));
    }
    for (const auto &[index, endsOfAgent] : ends) {
        Reservation &reservation = byAgent_[index];
        reservation.freeAt = std::max(reservation.freeAt, freeAt);
        reservation.staying = needsAfter(endsOfAgent, reservation.freeAt);
    }
}

Resources Reservations::room(AgentIndex index) const
{
    const auto found = byAgent_.find(index);
    return found == byAgent_.end() ? Resources() : found->second.room;
}

bool Reservations::allow(const OwnerState &state, const StepSpec &step, AgentIndex index, const Resources &planned) const
{
    const auto found = byAgent_.find(index);
    if (found == byAgent_.end()) {
        return true;
    }
    const Agent &agent = state.agents[index];
    const auto &[room, staying, freeAt] = found->second;
    if (isWithin(staying + planned + step.need + room, agent.worker->capacity)) {
        return true;
    }
    return !step.longRunning && state.now + runTimeMargin * expectedRunTime(state, step, agent) <= freeAt;
}

void Reservations::noteStart(AgentIndex index, const Resources &need)
{
    const auto found = byAgent_.find(index);
    if (found != byAgent_.end()) {
        found->second.staying += need;
    }
}

} // namespace LaburnumFlow::Jobs
