#include "workerhealth.h"

#include "dispatchconstants.h"

#include <algorithm>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

void logHealth(Context &context, std::string_view event, const std::string &agent)
{
    context.effects.emplace_back(Events::LogLine{std::string(event), {{"agent", agent}}});
}

/// One agent may be ejected from any fleet that keeps another: a share alone would never eject from a small fleet.
bool mayEject(const DispatchState &state)
{
    const double limit = state.knownAgents > 1 ? std::max(1.0, maxEjectedShare * state.knownAgents) : 0;
    return state.ejected + 1 <= limit;
}

/// True if the agent fails far more often than the others, by at least minOutcomes on either side.
bool failsAlone(const DispatchState &state, const AgentWork &work, double minOutcomes)
{
    const double others = state.outcomes - work.outcomes;
    if (work.outcomes < minOutcomes || others < minOutcomes) {
        return false;
    }
    const double ratio = work.failures / work.outcomes;
    const double otherRatio = std::max(0.0, state.failures - work.failures) / others;
    return ratio >= ejectFailureRatio && ratio >= otherRatio + ejectRatioMargin;
}

void scheduleProbe(const DispatchState &state, AgentWork &work)
{
    work.probesPassed = 0;
    work.probeWait = std::clamp<Base::Duration>(work.probeWait * 2, probeInterval, probeIntervalLimit);
    work.nextProbe = state.now + work.probeWait;
}

void recordProbe(Context &context, const std::string &agent, AgentWork &work, bool ok)
{
    work.probing = false;
    if (!ok) {
        scheduleProbe(context.state, work);
        return;
    }
    work.nextProbe = context.state.now;
    if (++work.probesPassed < probesToReturn) {
        return;
    }
    work.health = Health::Returning;
    work.returnedAt = context.state.now;
    work.outcomes = 0;
    work.failures = 0;
    --context.state.ejected;
    context.count("agent.readmitted");
    logHealth(context, "agent-readmitted", agent);
}

} // namespace

void recordOutcome(Context &context, const std::string &agent, bool ok, bool probe)
{
    DispatchState &state = context.state;
    AgentWork &work = state.agents[agent];
    if (work.health == Health::Ejected) {
        if (probe) {
            recordProbe(context, agent, work, ok);
        }
        return;
    }
    // The totals of all agents are the sums of the agents' own, so both decay by the same amounts.
    state.outcomes += 1 - work.outcomes * (1 - healthDecay);
    state.failures += (ok ? 0 : 1) - work.failures * (1 - healthDecay);
    work.outcomes = work.outcomes * healthDecay + 1;
    work.failures = work.failures * healthDecay + (ok ? 0 : 1);
    if (ok || !failsAlone(state, work, ejectMinOutcomes)) {
        return;
    }
    if (!mayEject(state)) {
        context.count("agent.ejection-refused");
        return;
    }
    state.outcomes -= work.outcomes;
    state.failures = std::max(0.0, state.failures - work.failures);
    work.health = Health::Ejected;
    work.probeWait = {};
    ++state.ejected;
    scheduleProbe(state, work);
    context.count("agent.ejected");
    logHealth(context, "agent-ejected", agent);
}

bool suspected(const DispatchState &state, const AgentWork &work)
{
    return work.health == Health::Good && failsAlone(state, work, suspectMinOutcomes);
}

double healthShare(const DispatchState &state, const AgentWork &work)
{
    if (work.health == Health::Ejected) {
        return 0;
    }
    if (work.health == Health::Returning && state.now - work.returnedAt < slowStart) {
        return static_cast<double>((state.now - work.returnedAt).count()) / static_cast<double>(Base::Duration(slowStart).count());
    }
    return 1;
}

bool probeDue(const DispatchState &state, const AgentWork &work)
{
    return work.health == Health::Ejected && !work.probing && state.now >= work.nextProbe;
}

} // namespace LaburnumFlow::Dispatch::Internal
