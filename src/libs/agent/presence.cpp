#include "presence.h"

#include "agentconstants.h"
#include "slots.h"

#include <algorithm>
#include <string>
#include <vector>

namespace LaburnumFlow::Agent::Internal {

using Protocol::AgentReason;

namespace {

Protocol::AgentState stateNow(const AgentState &state)
{
    if (state.draining || state.backend == BackendState::Leaving) {
        return Protocol::AgentState::Leaving;
    }
    return state.backend == BackendState::Unreachable ? Protocol::AgentState::Draining : Protocol::AgentState::Active;
}

std::string nameOf(BackendState backend)
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

std::vector<Base::Endpoint> knownEntries(const AgentState &state)
{
    std::vector<Base::Endpoint> known = state.settingsEntries;
    known.insert(known.end(), state.mapEntries.begin(), state.mapEntries.end());
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
    heartbeat.token = tokenNow(state);
    heartbeat.state = state.announced;
    heartbeat.load = loadOf(state);
    for (const Base::Endpoint &entry : knownEntries(state)) {
        step.effects.emplace_back(SendHeartbeat{entry, heartbeat});
    }
    state.nextHeartbeat = state.now + Protocol::heartbeatInterval;
}

void queryStatusIfDue(AgentState &state, Step &step)
{
    if (state.now < state.nextStatus || (state.statusPending && state.now - state.statusAskedAt < statusLimit)) {
        return;
    }
    state.statusPending = true;
    state.statusAskedAt = state.now;
    state.nextStatus = state.now + Protocol::heartbeatInterval;
    step.effects.emplace_back(QueryBackendStatus{});
}

} // namespace

void handleLink(AgentState &state, Step &step, const EntryLinkChanged &link)
{
    EntryView &view = state.entries[link.entry.name];
    if (link.up) {
        view.incarnation = link.entry.incarnation;
        view.linkUp = true;
        reportKept(state, step, link.entry.name);
        return;
    }
    // The end of a former incarnation's link says nothing about the present one's.
    if (view.incarnation == link.entry.incarnation) {
        view.linkUp = false;
    }
}

void handleHello(AgentState &state, const EntryHelloReceived &received)
{
    const Protocol::EntryHello &hello = received.hello;
    const Base::MonoTime echoed(hello.echo.agentMonoUs);
    if (hello.echo.agentIncarnation == state.self.incarnation && echoed <= state.now) {
        EntryView &view = state.entries[hello.from.name];
        view.leaseEnd = std::max(view.leaseEnd, echoed + Protocol::leaseDuration);
    }
    if (hello.mapEpoch >= state.mapEpoch && !hello.entries.empty()) {
        state.mapEpoch = hello.mapEpoch;
        state.mapEntries = hello.entries;
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
    if (status.state == BackendState::Unreachable && state.statusFailures < unreachableAfter) {
        return;
    }
    if (status.state != state.backend) {
        state.backend = status.state;
        step.effects.emplace_back(LogLine{"backend-state", {{"state", nameOf(status.state)}}});
    }
    if (status.state == BackendState::Leaving) {
        handBackQueue(state, step, AgentReason::Draining);
    } else if (status.state == BackendState::Unreachable) {
        handBackQueue(state, step, AgentReason::BackendUnreachable);
    }
}

void handleDrain(AgentState &state, Step &step)
{
    if (state.draining) {
        return;
    }
    state.draining = true;
    state.drainingSince = state.now;
    handBackQueue(state, step, AgentReason::Draining);
}

void announce(AgentState &state, Step &step)
{
    const Protocol::AgentState current = stateNow(state);
    if (current != state.announced) {
        state.announced = current;
        step.effects.emplace_back(LogLine{"agent-state", {{"state", std::string(toString(current))}}});
        sendHeartbeats(state, step);
    } else if (state.now >= state.nextHeartbeat) {
        sendHeartbeats(state, step);
    }
    queryStatusIfDue(state, step);
}

void forgetEntries(AgentState &state)
{
    std::erase_if(state.entries, [&](const auto &named) { return !named.second.linkUp && state.now - named.second.leaseEnd > ledgerRetention; });
}

void exitIfDrained(AgentState &state, Step &step)
{
    if (!state.draining || state.exitSent || !state.running.empty() || state.now - state.drainingSince < drainLinger) {
        return;
    }
    if (state.ledger.unreported.empty() || state.now - state.drainingSince >= drainUpdateLimit) {
        state.exitSent = true;
        step.effects.emplace_back(LogLine{"agent-exit", {{"unreported", std::to_string(state.ledger.unreported.size())}}});
        step.effects.emplace_back(Exit{});
    }
}

} // namespace LaburnumFlow::Agent::Internal
