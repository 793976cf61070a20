#include "membership.h"

#include <xxhash.h>

namespace LaburnumFlow::Protocol {

Partition partitionForSubmission(const Base::Uuid &submission, std::string_view team, std::string_view orderingKey)
{
    if (orderingKey.empty()) {
        return static_cast<Partition>(XXH64(submission.bytes.data(), submission.bytes.size(), 0) % partitionCount);
    }
    std::string key(team);
    key.push_back('/');
    key.append(orderingKey);
    return static_cast<Partition>(XXH64(key.data(), key.size(), 0) % partitionCount);
}

std::string_view toString(AgentState state)
{
    switch (state) {
    case AgentState::Active:
        return "active";
    case AgentState::Draining:
        return "draining";
    case AgentState::Leaving:
        return "leaving";
    }
    return "leaving";
}

} // namespace LaburnumFlow::Protocol
