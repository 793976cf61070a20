#include "presence.h"

#include "agentconstants.h"
#include "slots.h"

#include <algorithm>
#include <string>
#include <vector>

namespace LaburnumFlow::Agent::Internal {

using Protocol::AgentReason;

namespace {

Protocol::AgentState currentAgentState(const AgentState &state)
{
    if (state.draining || state.backendState == BackendState::Leaving) {
        return Protocol::AgentState::Leaving;
    }
    return state.backendState == BackendState::Unreachable ? Protocol::AgentState::Draining : Protocol::AgentState::Active;
}

std::string backendStateName(BackendState backend)
{
    switch (backend) {
    case BackendState::Serving:
        return "serving";
    case BackendState::Leaving:
        return "leaving";
    case BackendState::Unreachable:
        break;
    }
    return "unreachable";
}

std::vector<Base::Endpoint> knownEndpoints(const AgentState &state)
{
    std::vector<Base::Endpoint> known = state.seedEndpoints;
    known.insert(known.end(), state.mapEndpoints.begin(), state.mapEndpoints.end());
    std::sort(known.begin(), known.end());
    known.erase(std::unique(known.begin(), known.end()), known.end());
    return known;
}

void sendHeartbeats(AgentState &state, Step &step)
{
    Protocol::AgentHeartbeat heartbeat;
    heartbeat.from = state.self;
    heartbeat.tcp = state.tcp;
    heartbeat.udp = state.udp;
    heartbeat.failureDomain = state.failureDomain;
    heartbeat.worker = state.worker;
    heartbeat.kinds = state.kinds;
    heartbeat.token = currentToken(state);
    heartbeat.state = state.announcedState;
    heartbeat.load = currentLoad(state);
    for (const Base::Endpoint &entry : knownEndpoints(state)) {
        step.effects.emplace_back(SendHeartbeat{entry, heartbeat});
    }
    state.nextHeartbeatAt = state.now + Protocol::heartbeatInterval;
}

void queryStatusIfDue(AgentState &state, Step &step)
{
    if (state.now < state.nextStatusAt || (state.statusPending && state.now - state.statusRequestedAt < statusResponseTimeout)) {
        return;
    }
    state.statusPending = true;
    state.statusRequestedAt = state.now;
    state.nextStatusAt = state.now + Protocol::heartbeatInterval;
    step.effects.emplace_back(QueryBackendStatus{});
}

} // namespace

void handleLink(AgentState &state, Step &step, const EntryLinkChanged &link)
{
    EntryState &known = state.entries[link.entry.name];
    if (link.up) {
        known.incarnation = link.entry.incarnation;
        known.linked = true;
        sendUnreported(state, step, link.entry.name);
        return;
    }
    // A closed link of a former incarnation says nothing about the link of the current one.
    if (known.incarnation == link.entry.incarnation) {
        known.linked = false;
    }
}

void handleHello(AgentState &state, const EntryHelloReceived &received)
{
    const Protocol::EntryHello &hello = received.hello;
    const Base::MonoTime echoed(hello.echo.agentMonoUs);
    if (hello.echo.agentIncarnation == state.self.incarnation && echoed <= state.now) {
        EntryState &known = state.entries[hello.from.name];
        known.leaseEnd = std::max(known.leaseEnd, echoed + Protocol::leaseDuration);
    }
    if (hello.mapEpoch >= state.mapEpoch && !hello.entries.empty()) {
        state.mapEpoch = hello.mapEpoch;
        state.mapEndpoints = hello.entries;
    }
}

void handleBackendStatus(AgentState &state, Step &step, const BackendStatus &status)
{
    state.statusPending = false;
    if (status.state == BackendState::Unreachable) {
        ++state.statusFailures;
    } else {
        state.statusFailures = 0;
        state.backendSlots = status.slots;
        state.kinds = status.kinds;
    }
    if (status.state == BackendState::Unreachable && state.statusFailures < statusFailureThreshold) {
        return;
    }
    if (status.state != state.backendState) {
        state.backendState = status.state;
        step.effects.emplace_back(LogLine{"backend-state", {{"state", backendStateName(status.state)}}});
    }
    if (status.state == BackendState::Leaving) {
        refuseAllQueued(state, step, AgentReason::Draining);
    } else if (status.state == BackendState::Unreachable) {
        refuseAllQueued(state, step, AgentReason::BackendUnreachable);
    }
}

void handleDrain(AgentState &state, Step &step)
{
    if (state.draining) {
        return;
    }
    state.draining = true;
    state.drainingSince = state.now;
    refuseAllQueued(state, step, AgentReason::Draining);
}

void announce(AgentState &state, Step &step)
{
    const Protocol::AgentState current = currentAgentState(state);
    if (current != state.announcedState) {
        state.announcedState = current;
        step.effects.emplace_back(LogLine{"agent-state", {{"state", std::string(toString(current))}}});
        sendHeartbeats(state, step);
    } else if (state.now >= state.nextHeartbeatAt) {
        sendHeartbeats(state, step);
    }
    queryStatusIfDue(state, step);
}

void forgetEntries(AgentState &state)
{
    std::erase_if(state.entries, [&](const auto &named) { return !named.second.linked && state.now - named.second.leaseEnd > ledgerRetention; });
}

void exitIfDrained(AgentState &state, Step &step)
{
    if (!state.draining || state.exitSent || !state.running.empty() || state.now - state.drainingSince < minDrainDuration) {
        return;
    }
    if (state.ledger.unreported.empty() || state.now - state.drainingSince >= drainReportTimeout) {
        state.exitSent = true;
        step.effects.emplace_back(LogLine{"agent-exit", {{"unreported", std::to_string(state.ledger.unreported.size())}}});
        step.effects.emplace_back(Exit{});
    }
}

} // namespace LaburnumFlow::Agent::Internal
