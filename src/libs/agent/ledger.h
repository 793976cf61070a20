#pragma once

#include "step.h"

#include <string>

namespace LaburnumFlow::Agent::Internal {

/// Records an attempt as queued and adds it to the queue.
void recordQueued(AgentState &state, const Protocol::StartTask &task, const Protocol::ClockToken &token);

/// Refuses a start request on arrival and sends the update to the entry that sent it.
void refuseStart(AgentState &state, Step &step, const std::string &entry, const Protocol::StartTask &task, Protocol::AgentReason reason);

/// Records an unknown attempt as fenced, so that its start is refused if it arrives later.
void recordFenced(AgentState &state, Step &step, const Base::AttemptKey &key);

/// Ends a live attempt and reports it to its owner.
void endAttempt(AgentState &state,
                Step &step,
                const Base::AttemptKey &key,
                Protocol::AttemptState ended,
                Protocol::AgentReason reason,
                std::string result = {});

/// Erases the records of attempts whose retention has ended.
void expireRecords(AgentState &state);

} // namespace LaburnumFlow::Agent::Internal
