#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Returns the state of a team; creates it at first use.
TeamState &teamState(DispatchState &state, const Settings::TeamRules *rules, const std::string &name);

/// Returns the expected run time in milliseconds at reference speed: estimated, or declared while there are few samples.
double expectedRunMs(const DispatchState &state, const Settings::TeamRules *rules, std::string_view team, std::string_view kind);

/// True for kinds that wait behind short tasks: long expected run time and not urgent.
bool isLongTask(const DispatchState &state, const Settings::TeamRules *rules, std::string_view team, std::string_view kind);

/// Adds a task that waits for its start to the team's totals, and removes it. Every waiting phase counts, not only Queued.
void addWaitingTask(Context &context, Submission &submission, std::uint16_t index);
void removeWaitingTask(DispatchState &state, const Submission &submission, std::uint16_t index);

/// Puts a waiting task into the queue of its kind; at the front if it was queued before.
void enqueue(Context &context, Submission &submission, std::uint16_t index, bool front = false);

/// Moves a task from the phase Queued to another one. Its entry in the queue is dropped later.
void dequeue(DispatchState &state, Submission &submission, std::uint16_t index, TaskPhase next);

struct Selection {
    std::string team;
    std::string kind;
    Base::TaskKey key;
};

/// Selects the next task by weighted fair queueing between teams. Within a team, short tasks and long tasks that waited
/// longer than longTaskAgeThreshold come first, by age. Leaves out teams at their quota and kinds blocked in this round.
/// The task stays queued.
std::optional<Selection> selectNext(Context &context);

/// Adds the cost of a start to the team's virtual time, and refills its buckets of retry and hedge tokens.
void chargeStart(DispatchState &state, const Settings::TeamRules *rules, TeamState &team, double costMs);

/// Updates the estimates of a kind with the run time of an ended attempt.
void updateRunTimeEstimate(DispatchState &state, std::string_view teamName, std::string_view kindName, double runMs);

} // namespace LaburnumFlow::Dispatch::Internal
