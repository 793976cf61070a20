#pragma once

#include "step.h"

#include <string>

namespace LaburnumFlow::Agent::Internal {

/// Records an attempt as queued.
void recordQueued(AgentState &state, const Protocol::StartTask &task, const Protocol::ClockToken &token);

/// Refuses a start on arrival and answers the entry that sent it.
void refuseStart(AgentState &state, Step &step, const std::string &entry, const Protocol::StartTask &task, Protocol::AgentReason reason);

/// Records an attempt that the agent does not know, so that its start is refused when it comes.
void recordFenced(AgentState &state, Step &step, const Base::AttemptKey &key);

/// Ends an attempt that is queued or running and reports it to its owner.
void endAttempt(AgentState &state,
                Step &step,
                const Base::AttemptKey &key,
                Protocol::AttemptState ended,
                Protocol::AgentReason reason,
                std::string result = {});

/// Forgets attempts whose retention has ended.
void expireRecords(AgentState &state);

} // namespace LaburnumFlow::Agent::Internal
