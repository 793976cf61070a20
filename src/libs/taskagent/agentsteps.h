#pragma once

#include "agentstate.h"

#include <string>
#include <utility>
#include <vector>

/// Steps that the source files of the agent's reducer share.
namespace LaburnumFlow::TaskAgent::Internal {

struct Context {
    AgentState &state;
    AgentEffects &effects;
};

void logDecision(Context &context, std::string event, std::vector<std::pair<std::string, std::string>> fields);

/// Returns the time up to which the worker's lease may be renewed, on the worker's clock. Returns no value without an owner, with an
/// echoed token that is too old, with a silent worker or before its clock is known.
std::optional<std::chrono::milliseconds> renewableUntil(const AgentState &state);

/// Ends the silence of the worker after a response to any call, and reports so if the silence was reported.
void clearSilence(AgentState &state);

void updateClockOffset(AgentState &state, const std::optional<std::chrono::milliseconds> &workerClock);

/// Returns the start time of the worker's known incarnation, or 0 if there is none.
std::int64_t workerStartTimeMs(const AgentState &state);

/// Returns whether the lease isn't renewed for now, so that it ends before some ends are acknowledged.
bool isLapsing(const AgentState &state);

/// Lets the lease end before the ends up to the number are acknowledged.
void beginLapse(Context &context, std::uint64_t endsToLapse);

/// Goes on with renewals and acknowledgements once the lease has ended.
void endLapse(Context &context);

/// Returns the number up to which ends may be acknowledged to the worker now.
std::uint64_t acknowledgeableEnds(const AgentState &state);

/// Moves the time by which all runs have ended to the latest end that a renewal sent now can have.
void recordLeaseRenewal(AgentState &state);

void startRun(Context &context, const Jobs::RunRef &run, const Jobs::StartOrder &order);

/// Sends a stop call unless one is in progress or was answered. A run that the worker doesn't have is reported as refused.
void stopRun(Context &context, const Jobs::RunRef &run);

void reportRefusal(AgentState &state, const Jobs::RunRef &run, Jobs::RunRefusal::Reason reason);
void reportEnd(AgentState &state, const Jobs::RunEnd &end);

/// Returns for how long the run has worked, in milliseconds; 0 if its start is unknown.
std::uint32_t runTimeMs(const LocalRun &run, Base::MonoTime now);

/// Forgets what the lists of an incarnation of the worker have shown. The numbers of ends and the clock of the next one begin anew.
void forgetLists(AgentState &state);

void handleStartAnswer(Context &context, const StartAnswered &event);
void handleStopAnswer(Context &context, const StopAnswered &event);
void handleHoldAnswer(Context &context, const HoldAnswered &event);

// Start calls that the worker may execute late.

/// Returns the fence for calls to the worker.
std::uint64_t callFence(const AgentState &state);

/// Raises the fence above that of all calls so far. The worker executes none of them any more once a call with the new fence has reached it.
void raiseFence(AgentState &state);

/// Raises the fence further if the worker has refused the current one.
void handleRefusedFence(AgentState &state, std::uint64_t fence);

/// Returns whether the worker may execute a start call late that this process knows of.
bool hasUnansweredStarts(const AgentState &state);

/// Makes a start without a response impossible by a stop call. The run counts as possible until the stop is answered and a newer list lacks
/// it.
void cancelStart(Context &context, const Jobs::RunRef &run, LocalRun &local);

/// Stops a run that this process hasn't started. A former process may have sent a start call that the worker has yet to execute.
void stopUnknownRun(Context &context, const Jobs::RunRef &run);

/// Records that the start call of the run has no response that proves where it was executed.
void recordUnansweredStart(AgentState &state, const Jobs::RunRef &run, const LocalRun &local);

/// Records all runs whose start calls another incarnation of the worker than the known one may have executed or may still execute.
void recordUnansweredStarts(AgentState &state);

/// Cancels all starts that the worker's new incarnation may execute late.
void cancelUnansweredStarts(Context &context);

/// Returns the time up to which the worker may execute a start call of a former incarnation late. Returns no value without such a call.
std::optional<Base::MonoTime> lateStartsPossibleUntil(const AgentState &state);

/// Sends calls that bar late starts at a worker that may have restarted a moment ago. One of them suffices; more are sent as some may get lost.
void barLateStarts(Context &context);

/// Drops cancelled starts that a list of the worker lacks which is newer than the cancellation: they never ran.
void dropCancelledStarts(Context &context, const HoldAnswered &event);

// Pace of background runs.

/// Adapts the pace of background runs to the latencies in the worker's list.
void adjustBackgroundPace(Context &context, const HoldAnswered &event);

void handlePaceAnswer(Context &context, const PaceAnswered &event);

/// Drops the state of a worker that has ended and reports its runs as lapsed.
void handleWorkerTerminated(Context &context, const std::string &reason);

/// Reports all runs as lapsed, as the worker has none of them any more.
void reportRunsLapsed(Context &context, const std::string &reason);

/// Reports the runs as lapsed that have ended with the worker's lease. Starts that the worker may still execute late are kept.
void lapseRuns(Context &context, const std::string &reason);

/// Drops all state of the worker's previous incarnation. Starts that the new one may execute late must then be cancelled.
void resetWorker(Context &context);

} // namespace LaburnumFlow::TaskAgent::Internal
