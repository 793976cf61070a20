#include "agentsteps.h"

#include "taskagentconstants.h"

#include <algorithm>

namespace LaburnumFlow::TaskAgent::Internal {

namespace {

bool isBackground(const LocalRun &run)
{
    return run.need.backgroundMilli > 0;
}

/// Returns the highest ratio of tail latency to latency target among the listed runs.
double worstLatencyRatio(const AgentState &state, const HoldAnswered &event)
{
    double worst = 0.0;
    for (const ListedRun &listed : event.running) {
        const auto found = state.runs.find(listed.run);
        if (listed.usage && found != state.runs.end() && found->second.latencyTargetMs > 0) {
            worst = std::max(worst, static_cast<double>(*listed.usage) / found->second.latencyTargetMs);
        }
    }
    return worst;
}

/// Halves the pace of background runs when a latency target is missed, as users wait meanwhile. Raises it in small steps, as the
/// latency reacts with a delay.
void updateBackgroundPercent(Context &context, double worst)
{
    AgentState &state = context.state;
    if (worst >= paceRaiseLatencyRatio) {
        state.lastElevatedLatencyAt = state.now;
    }
    int percent = state.backgroundPercent;
    if (worst > slowDownLatencyRatio && state.now - state.paceChangedAt >= paceChangeInterval) {
        percent = percent / 2 < minPacePercent ? 0 : percent / 2;
    } else if (state.now - std::max(state.paceChangedAt, state.lastElevatedLatencyAt) >= paceRaiseDelay) {
        percent = std::min(fullPacePercent, percent + paceRaiseStepPercent);
    }
    if (percent == state.backgroundPercent) {
        return;
    }
    logDecision(context, "background.paced", {{"percent", std::to_string(percent)}, {"latency", std::to_string(worst)}});
    state.backgroundPercent = percent;
    state.paceChangedAt = state.now;
}

} // namespace

void adjustBackgroundPace(Context &context, const HoldAnswered &event)
{
    AgentState &state = context.state;
    if (std::none_of(state.runs.begin(), state.runs.end(), [](const auto &run) { return isBackground(run.second); })) {
        return;
    }
    updateBackgroundPercent(context, worstLatencyRatio(state, event));
    for (auto &[run, local] : state.runs) {
        const bool differs = isBackground(local) && local.pacePercent != state.backgroundPercent;
        if (differs && local.phase == LocalRun::Phase::Running && !local.stopping && !local.paceCallInProgress) {
            local.paceCallInProgress = true;
            context.effects.push_back(CallPace{run, state.backgroundPercent, callFence(state), state.callTimeout.current()});
        }
    }
}

void handlePaceAnswer(Context &context, const PaceAnswered &event)
{
    const auto found = context.state.runs.find(event.run);
    if (found == context.state.runs.end()) {
        return;
    }
    found->second.paceCallInProgress = false;
    if (event.answered) {
        found->second.pacePercent = event.percent;
    }
}

} // namespace LaburnumFlow::TaskAgent::Internal
