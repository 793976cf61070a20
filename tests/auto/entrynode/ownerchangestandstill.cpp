#include "ownerchangemodel.h"

#include <algorithm>
#include <utility>

namespace LaburnumFlow::EntryNode::Testing {

namespace {

constexpr Base::Duration agentStandStillMin = 500ms;
constexpr Base::Duration agentStandStillMax = 6s;

} // namespace

void OwnerChangeModel::suspendAgent(NodeIndex index)
{
    Agent &agent = agentAt(index);
    agent.standsStillUntil = std::max(agent.standsStillUntil, now_ + randomTime(agentStandStillMin, agentStandStillMax));
    note(agent.name + " stands still until " + std::to_string(agent.standsStillUntil.count() / 1000));
}

/// Events wait while the agent stands still, and are lost when it is killed.
void OwnerChangeModel::deliverToAgent(NodeIndex index, Action action)
{
    Agent &agent = agentAt(index);
    if (now_ >= agent.standsStillUntil && agent.held.empty()) {
        action();
        return;
    }
    if (agent.held.empty()) {
        post(agent.standsStillUntil - now_, [this, index, incarnation = agent.incarnation] { releaseHeldByAgent(index, incarnation); });
    }
    agent.held.push_back(std::move(action));
}

/// Delivers what has waited for the agent, in order.
void OwnerChangeModel::releaseHeldByAgent(NodeIndex index, std::uint64_t incarnation)
{
    Agent &agent = agentAt(index);
    if (agent.incarnation != incarnation) {
        return;
    }
    if (now_ < agent.standsStillUntil) {
        post(agent.standsStillUntil - now_, [this, index, incarnation] { releaseHeldByAgent(index, incarnation); });
        return;
    }
    for (const Action &action : std::exchange(agent.held, {})) {
        action();
    }
}

} // namespace LaburnumFlow::EntryNode::Testing
