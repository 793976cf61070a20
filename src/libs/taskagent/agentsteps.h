#pragma once

#include "agentstate.h"

#include <string>
#include <utility>
#include <vector>

/// Steps of the agent's reducer that its parts share.
namespace LaburnumFlow::TaskAgent::Internal {

struct Context {
    AgentState &state;
    AgentEffects &effects;
};

void logDecision(Context &context, std::string event, std::vector<std::pair<std::string, std::string>> fields);

/// The time up to which the worker's lease may be renewed, on the worker's clock; nothing without authority.
std::optional<std::chrono::milliseconds> renewableUntil(const AgentState &state);

/// How long to wait for the worker's answer to a call.
Base::Duration callTimeout(const AgentState &state);

/// The worker has answered.
void clearSilence(AgentState &state);

void updateClockOffset(AgentState &state, const std::optional<std::chrono::milliseconds> &workerClock);
void recordLeaseRenewal(AgentState &state);

void startRun(Context &context, const Jobs::RunRef &run, const Jobs::StartOrder &order);
void stopRun(Context &context, const Jobs::RunRef &run);
void reportRefusal(AgentState &state, const Jobs::RunRef &run, Jobs::RunRefusal::Reason reason);
void reportEnd(AgentState &state, const Jobs::RunEnd &end);

void handleStartAnswer(Context &context, const StartAnswered &event);
void handleStopAnswer(Context &context, const StopAnswered &event);
void handleHoldAnswer(Context &context, const HoldAnswered &event);

// Pace of background runs.

/// Decides on it by what the worker has listed last.
void adjustBackgroundPace(Context &context, const HoldAnswered &event);

void handlePaceAnswer(Context &context, const PaceAnswered &event);

/// Reports all runs as lapsed: their worker has none of them any more.
void reportRunsLapsed(Context &context, const std::string &reason);

/// Forgets what belongs to a former incarnation of the worker.
void resetWorker(Context &context);

} // namespace LaburnumFlow::TaskAgent::Internal
