#pragma once

#include "step.h"

#include <cstdint>

namespace LaburnumFlow::Agent::Internal {

/// Returns the time until which the newest echoes of the owner, and of former owners that may still have authority, allow the attempt to run.
Base::MonoTime echoLeaseEnd(const AgentState &state, const RecordedAttempt &record, const LiveAttempt &live);

/// Sets the lease of the attempt to the longest that is allowed now and returns its length in milliseconds.
std::uint32_t grantLease(const AgentState &state, const RecordedAttempt &record, LiveAttempt &live);

/// Asks the backend server to stop a running attempt. The end is reported when it is known.
void stopAttempt(AgentState &state, Step &step, const Base::AttemptKey &key, Protocol::AgentReason reason);

/// Renews leases, stops attempts at the end of their lease or their run time limit, and demotes those that run too long for
/// a short task.
void superviseRunning(AgentState &state, Step &step);

void handleTaskEnded(AgentState &state, Step &step, const BackendTaskEnded &ended);

} // namespace LaburnumFlow::Agent::Internal
