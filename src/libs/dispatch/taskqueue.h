#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

TeamState &teamState(DispatchState &state, const Settings::TeamRules *rules, const std::string &name);

/// Run time at reference speed in ms: learned, or declared while there are few samples.
double expectedRunMs(const DispatchState &state, const Settings::TeamRules *rules, std::string_view team, std::string_view kind);

/// Long work waits behind short work; urgent kinds never count as long.
bool isLongTask(const DispatchState &state, const Settings::TeamRules *rules, std::string_view team, std::string_view kind);

/// Counts a task that waits for its start in the team's bounds. Every waiting phase counts, not only Queued.
void addWaitingTask(Context &context, Submission &submission, std::uint16_t index);
void removeWaitingTask(DispatchState &state, const Submission &submission, std::uint16_t index);

/// Puts a waiting task into the queue of its kind, in front for tasks that were queued before.
void enqueue(Context &context, Submission &submission, std::uint16_t index, bool front = false);

/// Takes a task out of the phase Queued; its entry in the queue is dropped later.
void dequeue(DispatchState &state, Submission &submission, std::uint16_t index, TaskPhase next);

struct Selection {
    std::string team;
    std::string kind;
    Base::TaskKey key;
};

/// The next task by weighted fair queueing between teams, short before aged long work within a team.
/// Teams at their quota and kinds blocked in this round are left out. The task stays queued.
std::optional<Selection> selectNext(Context &context);

/// Charges a start to the team's virtual time.
void chargeStart(DispatchState &state, const Settings::TeamRules *rules, TeamState &team, double costMs);

/// Learns from an ended run.
void updateRunTimeEstimate(DispatchState &state, std::string_view teamName, std::string_view kindName, double runMs);

} // namespace LaburnumFlow::Dispatch::Internal
