#include "workerhealth.h"

#include "dispatchconstants.h"

#include <algorithm>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

void logHealthChange(Context &context, std::string_view event, const std::string &agent)
{
    context.effects.emplace_back(Events::LogLine{std::string(event), {{"agent", agent}}});
}

/// True if one more agent may be ejected. One may be ejected from any fleet of two or more; maxEjectedShare alone would never
/// allow an ejection in a small fleet.
bool mayEject(const DispatchState &state)
{
    const double limit = state.knownAgentCount > 1 ? std::max(1.0, maxEjectedShare * state.knownAgentCount) : 0;
    return state.ejectedCount + 1 <= limit;
}

/// True if the agent fails far more often than the others. Needs at least minOutcomes of the agent and of the others.
bool isFailureOutlier(const DispatchState &state, const AgentRecord &record, double minOutcomes)
{
    const double others = state.decayedOutcomes - record.decayedOutcomes;
    if (record.decayedOutcomes < minOutcomes || others < minOutcomes) {
        return false;
    }
    const double ratio = record.decayedFailures / record.decayedOutcomes;
    const double otherRatio = std::max(0.0, state.decayedFailures - record.decayedFailures) / others;
    return ratio >= minEjectionFailureRatio && ratio >= otherRatio + minEjectionRatioMargin;
}

void scheduleProbe(const DispatchState &state, AgentRecord &record)
{
    record.probesPassed = 0;
    record.probeDelay = std::clamp<Base::Duration>(record.probeDelay * 2, probeIntervalInitial, probeIntervalMax);
    record.nextProbeAt = state.now + record.probeDelay;
}

void recordProbeOutcome(Context &context, const std::string &agent, AgentRecord &record, bool ok)
{
    record.probeInFlight = false;
    if (!ok) {
        scheduleProbe(context.state, record);
        return;
    }
    record.nextProbeAt = context.state.now;
    if (++record.probesPassed < probesForReadmission) {
        return;
    }
    record.health = Health::SlowStart;
    record.readmittedAt = context.state.now;
    record.decayedOutcomes = 0;
    record.decayedFailures = 0;
    --context.state.ejectedCount;
    context.count("agent.readmitted");
    logHealthChange(context, "agent-readmitted", agent);
}

} // namespace

void recordOutcome(Context &context, const std::string &agent, bool ok, bool probe)
{
    DispatchState &state = context.state;
    AgentRecord &record = state.agents[agent];
    if (record.health == Health::Ejected) {
        if (probe) {
            recordProbeOutcome(context, agent, record, ok);
        }
        return;
    }
    // The totals are the sums over the agents, so they decay by the same amounts as the agent's own counts.
    state.decayedOutcomes += 1 - record.decayedOutcomes * (1 - outcomeDecayFactor);
    state.decayedFailures += (ok ? 0 : 1) - record.decayedFailures * (1 - outcomeDecayFactor);
    record.decayedOutcomes = record.decayedOutcomes * outcomeDecayFactor + 1;
    record.decayedFailures = record.decayedFailures * outcomeDecayFactor + (ok ? 0 : 1);
    if (ok || !isFailureOutlier(state, record, minOutcomesForEjection)) {
        return;
    }
    if (!mayEject(state)) {
        context.count("agent.ejection-refused");
        return;
    }
    state.decayedOutcomes -= record.decayedOutcomes;
    state.decayedFailures = std::max(0.0, state.decayedFailures - record.decayedFailures);
    record.health = Health::Ejected;
    record.probeDelay = {};
    ++state.ejectedCount;
    scheduleProbe(state, record);
    context.count("agent.ejected");
    logHealthChange(context, "agent-ejected", agent);
}

bool isLimitedToOneTask(const DispatchState &state, const AgentRecord &record)
{
    return record.health == Health::Healthy && isFailureOutlier(state, record, minOutcomesForTaskLimit);
}

double capacityShare(const DispatchState &state, const AgentRecord &record)
{
    if (record.health == Health::Ejected) {
        return 0;
    }
    if (record.health == Health::SlowStart && state.now - record.readmittedAt < slowStartDuration) {
        return static_cast<double>((state.now - record.readmittedAt).count()) / static_cast<double>(Base::Duration(slowStartDuration).count());
    }
    return 1;
}

bool isProbeDue(const DispatchState &state, const AgentRecord &record)
{
    return record.health == Health::Ejected && !record.probeInFlight && state.now >= record.nextProbeAt;
}

} // namespace LaburnumFlow::Dispatch::Internal
