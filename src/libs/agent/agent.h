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
    std::vector<Base::Endpoint> seedEndpoints; ///< peer endpoints from the settings
    std::uint16_t slots = 8;
    std::uint16_t reservedShortSlots = 2; ///< kept free of long tasks
    std::uint64_t seed = 0;
};

AgentState initialState(const AgentConfig &config);

/// Pure: no clock, socket or log call.
Effects reduce(AgentState &state, const Event &event);

} // namespace LaburnumFlow::Agent
