#include "agentsteps.h"

#include <algorithm>

namespace LaburnumFlow::TaskAgent::Internal {

bool isLapsing(const AgentState &state)
{
    return state.endsToLapse > state.endsLapsed;
}

void beginLapse(Context &context, std::uint64_t endsToLapse)
{
    AgentState &state = context.state;
    const bool pending = !state.ends.empty() && state.ends.begin()->first <= endsToLapse;
    if (endsToLapse <= state.endsToLapse || !pending) {
        return;
    }
    state.endsToLapse = endsToLapse;
    state.nextReportDue = true;
    logDecision(context, "lease.lapsing", {{"ends", std::to_string(endsToLapse)}, {"runs", std::to_string(state.runs.size())}});
}

void endLapse(Context &context)
{
    AgentState &state = context.state;
    if (!isLapsing(state) || state.now <= state.leaseEndsAt) {
        return;
    }
    state.endsLapsed = state.endsToLapse;
    state.nextReportDue = true;
    state.holdNotBefore = state.now;
    logDecision(context, "lease.lapsed", {{"ends", std::to_string(state.endsLapsed)}});
}

std::uint64_t acknowledgeableEnds(const AgentState &state)
{
    if (!isLapsing(state)) {
        return state.endsRecorded;
    }
    // Ends that were acknowledged before the lapse began have no lower number that waits.
    const std::uint64_t firstListed = state.firstEndListed.value_or(0);
    return firstListed > 0 ? std::min(state.endsRecorded, firstListed - 1) : 0;
}

} // namespace LaburnumFlow::TaskAgent::Internal
