#pragma once

#include "step.h"

namespace LaburnumFlow::Agent::Internal {

void handleLink(AgentState &state, Step &step, const EntryLinkChanged &link);
void handleHello(AgentState &state, const EntryHelloReceived &received);
void handleBackendStatus(AgentState &state, Step &step, const BackendStatus &status);
void handleDrain(AgentState &state, Step &step);

/// Sends heartbeats and status calls that are due, and heartbeats at once on a change of state.
void announce(AgentState &state, Step &step);

/// Forgets entries that have been gone for the ledger's retention.
void forgetEntries(AgentState &state);

/// Ends a drained agent once its updates were sent.
void exitIfDrained(AgentState &state, Step &step);

} // namespace LaburnumFlow::Agent::Internal
