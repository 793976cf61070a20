#pragma once

#include "step.h"

#include <cstdint>

namespace LaburnumFlow::Agent::Internal {

/// Until when the owner's newest echo allows the attempt to run.
Base::MonoTime echoLeaseEnd(const AgentState &state, const RecordedAttempt &record, const LiveAttempt &live);

/// Notes the longest lease that the attempt may have now and returns its length in ms.
std::uint32_t grantLease(const AgentState &state, const RecordedAttempt &record, LiveAttempt &live);

/// Asks the backend server to stop a running attempt. It is reported once it has ended.
void stopAttempt(AgentState &state, Step &step, const Base::AttemptKey &key, Protocol::AgentReason reason);

/// Renews leases, stops attempts whose lease or run time has ended, demotes those that outlive their class.
void superviseRunning(AgentState &state, Step &step);

/// Handles the end of an attempt at the backend server.
void handleTaskEnded(AgentState &state, Step &step, const BackendTaskEnded &ended);

} // namespace LaburnumFlow::Agent::Internal
