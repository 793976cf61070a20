#pragma once

#include "step.h"

namespace LaburnumFlow::Agent::Internal {

/// Updates the state of an entry's link and sends the updates kept for an entry that has linked.
void handleLink(AgentState &state, Step &step, const EntryLinkChanged &link);
/// Extends the entry's lease by the echoed token and learns the endpoints of the entries.
void handleHello(AgentState &state, const EntryHelloReceived &received);
/// Adopts the reported status. Refuses all queued tasks if the backend server leaves or is unreachable.
void handleBackendStatus(AgentState &state, Step &step, const BackendStatus &status);
void handleDrain(AgentState &state, Step &step);

/// Sends heartbeats and queries the backend server's status when due. Sends heartbeats at once when the state to announce
/// has changed.
void announce(AgentState &state, Step &step);

/// Forgets entries whose link is down and whose last lease ended more than ledgerRetention ago.
void forgetEntries(AgentState &state);

/// Emits Exit when a draining agent has no running task, minDrainDuration is over, and all updates were sent or
/// drainReportTimeout is over.
void exitIfDrained(AgentState &state, Step &step);

} // namespace LaburnumFlow::Agent::Internal
