#include "agents.h"

#include "clusterconstants.h"
#include "ownership.h"
#include "steps.h"
#include "takeover.h"

#include <algorithm>
#include <utility>

namespace LaburnumFlow::Cluster {

namespace Internal {

namespace {

/// Returns when the last lease expires that an echo of the agent's tokens can have renewed.
Base::MonoTime leasesExpireAt(const AgentInfo &agent)
{
    return agent.lastEchoedTokenReceivedAt + Protocol::leaseDuration + Protocol::leaseMargin;
}

bool mayEcho(const ClusterState &state, const AgentInfo &agent)
{
    return agent.linkUp || state.now - agent.linkDownSince <= echoPeriodAfterLinkLoss;
}

bool isHeartbeatRecent(const ClusterState &state, const AgentInfo &agent)
{
    return state.now - agent.tokenReceivedAt < Protocol::agentSilenceTimeout;
}

void recordToken(const ClusterState &state, AgentInfo &agent, const Protocol::ClockToken &token)
{
    if (token.agentIncarnation != agent.id.incarnation || token.agentMonoUs <= agent.token.agentMonoUs) {
        return;
    }
    agent.token = token;
    agent.tokenReceivedAt = state.now;
    if (mayEcho(state, agent)) {
        // Counts as echoed at once, since a start may carry the token before the next EntryHello does.
        agent.lastEchoedToken = token;
        agent.lastEchoedTokenReceivedAt = state.now;
        agent.fenced = false;
    }
}

void updateReachability(const ClusterState &state, Step &step, AgentInfo &agent)
{
    const bool reachable = agent.linkUp && isHeartbeatRecent(state, agent) && !agent.fenced;
    if (reachable == agent.reachable) {
        return;
    }
    agent.reachable = reachable;
    if (reachable) {
        step.changes.emplace_back(AgentReachable{agent.id.name});
        log(step, "agent-usable", {{"agent", agent.id.name}});
    } else {
        count(step, agent.linkUp ? "agents.suspect-silent" : "agents.suspect-link-down");
        step.changes.emplace_back(AgentSuspected{agent.id.name});
        log(step, "agent-suspect", {{"agent", agent.id.name}, {"reason", agent.linkUp ? "silent" : "link-down"}});
    }
}

/// Records that this entry can't ask for all attempts that other entries may have started until now.
void recordLedgerLoss(ClusterState &state)
{
    state.ledgerLostWall = state.wall;
}

/// Handles the end of the agent's process: its ledger is lost, and its attempts are lost once their leases have expired.
void retireProcess(ClusterState &state, Step &step, AgentInfo &agent)
{
    count(step, "agents.restarted");
    log(step, "agent-restarted", {{"agent", agent.id.name}, {"former", std::to_string(agent.id.incarnation)}});
    recordLedgerLoss(state);
    resetFenceQuery(state, agent.id.name);
    if (state.takeover) {
        state.takeover->agentsQueried.erase(agent.id.name);
        state.takeover->agentsReplied.erase(agent.id.name);
    }
    if (!agent.fenced) {
        state.formerAgents.push_back({agent.id, leasesExpireAt(agent)});
    }
    if (agent.reachable) {
        step.changes.emplace_back(AgentSuspected{agent.id.name});
    }
    step.effects.emplace_back(Events::DisconnectAgent{agent.id.name});
}

/// Returns the agent that sent the heartbeat, or null if a later process has replaced the sender.
AgentInfo *findOrAddAgent(ClusterState &state, Step &step, const Protocol::AgentHeartbeat &heartbeat)
{
    AgentInfo &agent = state.agents[heartbeat.from.name];
    if (agent.id == heartbeat.from) {
        return &agent;
    }
    // A former incarnation is accepted once the current one is silent: a delayed heartbeat of an unknown former process may have replaced the live one.
    if (contains(agent.formerIncarnations, heartbeat.from.incarnation) && isHeartbeatRecent(state, agent)) {
        count(step, "agents.former-incarnation");
        return nullptr;
    }
    std::vector<std::uint64_t> former = std::move(agent.formerIncarnations);
    if (agent.id.name.empty()) {
        // Another entry may have known a former process of this agent.
        recordLedgerLoss(state);
    } else {
        retireProcess(state, step, agent);
        rememberIncarnation(former, agent.id.incarnation, maxFormerIncarnations);
    }
    agent = AgentInfo{};
    agent.id = heartbeat.from;
    agent.linkDownSince = state.now;
    agent.linkUp = state.agentLinks.contains(agent.id);
    agent.formerIncarnations = std::move(former);
    count(step, "agents.known");
    log(step, "agent-known", {{"agent", agent.id.name}, {"incarnation", std::to_string(agent.id.incarnation)}, {"worker", heartbeat.worker}});
    return &agent;
}

void sendEntryHello(const ClusterState &state, Step &step, const AgentInfo &agent)
{
    Protocol::EntryHello hello;
    hello.from = state.self.id;
    hello.mapEpoch = state.map ? state.map->epoch : 0;
    hello.echo = agent.lastEchoedToken;
    if (state.map) {
        for (const Protocol::EntryRecord &entry : state.map->entries) {
            hello.entries.push_back(entry.peer);
        }
    }
    if (std::find(hello.entries.begin(), hello.entries.end(), state.self.peer) == hello.entries.end()) {
        hello.entries.push_back(state.self.peer);
    }
    step.effects.emplace_back(Events::SendDatagram{agent.udp, std::move(hello)});
}

void updateAgent(AgentInfo &agent, const Protocol::AgentHeartbeat &heartbeat)
{
    agent.tcp = heartbeat.tcp;
    agent.udp = heartbeat.udp;
    agent.failureDomain = heartbeat.failureDomain;
    agent.worker = heartbeat.worker;
    agent.kinds = heartbeat.kinds;
    agent.load = heartbeat.load;
    agent.state = heartbeat.state;
}

void fenceIfLeasesExpired(ClusterState &state, Step &step, AgentInfo &agent)
{
    if (agent.fenced || state.now < leasesExpireAt(agent)) {
        return;
    }
    agent.fenced = true;
    updateReachability(state, step, agent);
    count(step, "agents.fenced");
    log(step, "agent-fenced", {{"agent", agent.id.name}, {"incarnation", std::to_string(agent.id.incarnation)}});
    step.changes.emplace_back(AgentFenced{agent.id});
}

void fenceFormerAgents(ClusterState &state, Step &step)
{
    std::erase_if(state.formerAgents, [&](const FormerAgent &former) {
        if (state.now < former.leasesExpireAt) {
            return false;
        }
        count(step, "agents.fenced-former");
        step.changes.emplace_back(AgentFenced{former.id});
        return true;
    });
}

void removeSilentAgents(ClusterState &state, Step &step)
{
    std::erase_if(state.agents, [&](const auto &each) {
        const AgentInfo &agent = each.second;
        if (!agent.fenced || state.now - agent.tokenReceivedAt <= agentRetention) {
            return false;
        }
        // Silent to this entry only, it may have gone on running tasks for another one.
        recordLedgerLoss(state);
        log(step, "agent-forgotten", {{"agent", agent.id.name}});
        step.effects.emplace_back(Events::DisconnectAgent{agent.id.name});
        return true;
    });
}

} // namespace

void handleAgentHeartbeat(ClusterState &state, Step &step, const Protocol::AgentHeartbeat &heartbeat)
{
    AgentInfo *agent = findOrAddAgent(state, step, heartbeat);
    if (agent == nullptr) {
        return;
    }
    if (heartbeat.token.agentMonoUs <= agent->token.agentMonoUs) {
        // A reply on the link arrived first. The heartbeat is answered all the same, as the echo renews leases.
        count(step, "agents.heartbeat-out-of-order");
        sendEntryHello(state, step, *agent);
        return;
    }
    if (agent->state != heartbeat.state) {
        log(step, "agent-state", {{"agent", agent->id.name}, {"state", std::string(Protocol::toString(heartbeat.state))}});
    }
    updateAgent(*agent, heartbeat);
    recordToken(state, *agent, heartbeat.token);
    updateReachability(state, step, *agent);
    sendEntryHello(state, step, *agent);
    if (!agent->linkUp) {
        step.effects.emplace_back(Events::ConnectAgent{agent->id, agent->tcp});
    }
}

void handleAgentLink(ClusterState &state, Step &step, const Events::AgentLinkChanged &change)
{
    if (change.up) {
        state.agentLinks.insert(change.agent);
    } else {
        state.agentLinks.erase(change.agent);
    }
    const auto found = state.agents.find(change.agent.name);
    if (found == state.agents.end() || found->second.id != change.agent || found->second.linkUp == change.up) {
        return;
    }
    AgentInfo &agent = found->second;
    agent.linkUp = change.up;
    if (!change.up) {
        agent.linkDownSince = state.now;
        resetFenceQuery(state, change.agent.name);
    }
    updateReachability(state, step, agent);
}

void recordAgentReply(ClusterState &state, const Base::ProcessId &id, const Protocol::ClockToken &token, const Protocol::AgentLoad *load)
{
    const auto found = state.agents.find(id.name);
    if (found == state.agents.end() || found->second.id != id) {
        return;
    }
    recordToken(state, found->second, token);
    if (load != nullptr) {
        found->second.load = *load;
    }
}

void agentsTick(ClusterState &state, Step &step)
{
    for (auto &[name, agent] : state.agents) {
        updateReachability(state, step, agent);
        fenceIfLeasesExpired(state, step, agent);
    }
    fenceFormerAgents(state, step);
    removeSilentAgents(state, step);
}

} // namespace Internal

bool acceptsWork(const ClusterState &state, const AgentInfo &agent)
{
    return agent.state == Protocol::AgentState::Active && agent.linkUp && !agent.fenced && Internal::isHeartbeatRecent(state, agent);
}

} // namespace LaburnumFlow::Cluster
