#pragma once

#include "agentevents.h"
#include "agentstate.h"

namespace LaburnumFlow::Agent {

struct AgentConfig {
    Base::ProcessId self;
    Base::Endpoint tcp;
    Base::Endpoint udp;
    std::string failureDomain;
    std::string worker;
    std::vector<Base::Endpoint> seedEndpoints; ///< Peer endpoints of entries, from the settings
    std::uint16_t slots = 8;
    std::uint16_t reservedShortSlots = 2; ///< Number of slots that long tasks may not use
    std::uint64_t seed = 0;
};

/// Returns the state of an agent that has no link to an entry and has not reached its backend server yet.
AgentState initialState(const AgentConfig &config);

/// Applies the event to the state and returns the effects to carry out, in order. Reads no clock, does no I/O
/// and writes no log; time advances with TimePassed only.
Effects reduce(AgentState &state, const Event &event);

} // namespace LaburnumFlow::Agent
