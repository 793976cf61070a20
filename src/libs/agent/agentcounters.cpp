#include "agentcounters.h"

#include <array>
#include <cstddef>
#include <string>

namespace LaburnumFlow::Agent::Internal {

namespace {

constexpr std::size_t reasonCount = static_cast<std::size_t>(Protocol::AgentReason::Duplicate) + 1;

using Names = std::array<std::string, reasonCount>;

Names makeNames(std::string_view prefix)
{
    Names names;
    for (std::size_t i = 0; i < names.size(); ++i) {
        names[i] = std::string(prefix) + std::string(toString(static_cast<Protocol::AgentReason>(i)));
    }
    return names;
}

} // namespace

std::string_view refusedCounter(Protocol::AgentReason reason)
{
    static const Names names = makeNames("agent.refused.");
    return names.at(static_cast<std::size_t>(reason));
}

std::string_view stoppedCounter(Protocol::AgentReason reason)
{
    static const Names names = makeNames("agent.stopped.");
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace LaburnumFlow::Agent::Internal
