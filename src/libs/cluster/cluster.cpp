#include "cluster.h"

#include "agents.h"
#include "clusterconstants.h"
#include "handover.h"
#include "mapproposal.h"
#include "mapstore.h"
#include "ownership.h"
#include "peers.h"
#include "settingsspread.h"
#include "steps.h"
#include "takeover.h"

#include <algorithm>

namespace LaburnumFlow::Cluster {

namespace Internal {

namespace {

void logAuthority(ClusterState &state, Step &step)
{
    const bool member = state.map && isMember(*state.map, state.self.id);
    const bool suspended = member && !confirmedByStore(state) && !backedByMajority(state);
    if (suspended == state.suspensionLogged) {
        return;
    }
    state.suspensionLogged = suspended;
    if (suspended) {
        count(step, "authority.suspended");
    }
    log(step, suspended ? "authority-suspended" : "authority-restored", {{"epoch", std::to_string(state.map ? state.map->epoch : 0)}});
}

std::vector<Events::StatusRow> settingsRows(const ClusterState &state)
{
    std::vector<Events::StatusRow> rows = statusRows(state);
    std::erase_if(rows, [](const Events::StatusRow &row) { return row.section != "settings"; });
    return rows;
}

/// Answers at once, since the store may be down for long. Whether the confirmation was written shows in the map.
void handleConfirmDead(ClusterState &state, Step &step, const Events::ConfirmDeadRequested &request)
{
    const std::vector<std::string> dead = state.map ? deadProcesses(state, request.entry) : std::vector<std::string>{};
    state.pendingConfirmedDead.insert(dead.begin(), dead.end());
    if (!dead.empty()) {
        state.nextStoreReadAt = state.now;
        log(step, "entry-confirmed-dead", {{"entry", request.entry}});
    }
    count(step, dead.empty() ? "entries.confirm-dead-refused" : "entries.confirm-dead");
    Events::AnswerOperator answer;
    answer.request = request.request;
    answer.rows.push_back({"entry", request.entry, {{"confirmedDead", dead.empty() ? "refused" : "pending"}}});
    step.effects.emplace_back(std::move(answer));
}

/// Applies an event to the state. The template ignores events that concern only dispatch.
class Reducer
{
public:
    Reducer(ClusterState &state, Step &step) : state_(state), step_(step) { }

    template<class Other>
    void operator()(const Other &)
    {
    }

    void operator()(const Events::TimePassed &time)
    {
        const bool wasSuspended = state_.startedWall && time.mono - state_.now > processSuspensionThreshold;
        state_.now = std::max(state_.now, time.mono);
        state_.wall = time.wall;
        if (!state_.startedWall) {
            state_.startedWall = time.wall;
        }
        if (wasSuspended) {
            restartWatch(state_);
        }
        storeTick(state_, step_);
        peersTick(state_, step_);
        agentsTick(state_, step_);
        takeoverTick(state_, step_);
        handoverTick(state_, step_);
        leaveTick(state_, step_);
        logAuthority(state_, step_);
    }

    void operator()(const Events::SettingsStatusRequested &request)
    {
        step_.effects.emplace_back(Events::AnswerOperator{request.request, settingsRows(state_)});
    }

    void operator()(const Events::DrainRequested &)
    {
        if (!state_.leaving) {
            state_.leaving = true;
            state_.leaveRequestedAt = state_.now;
            state_.nextStoreReadAt = state_.now;
            state_.nextHeartbeatAt = state_.now;
            log(step_, "leaving", {});
        }
    }

    void operator()(const Events::ConfirmDeadRequested &request)
    {
        handleConfirmDead(state_, step_, request);
    }

    void operator()(const Events::DatagramReceived &received)
    {
        std::visit(*this, received.datagram);
    }

    void operator()(const Protocol::EntryHeartbeat &heartbeat)
    {
        handleEntryHeartbeat(state_, step_, heartbeat);
    }

    void operator()(const Protocol::AgentHeartbeat &heartbeat)
    {
        handleAgentHeartbeat(state_, step_, heartbeat);
    }

    void operator()(const Events::PeerLinkChanged &change)
    {
        handlePeerLink(state_, step_, change);
        handoverTick(state_, step_);
    }

    void operator()(const Events::AgentLinkChanged &change)
    {
        handleAgentLink(state_, step_, change);
        takeoverTick(state_, step_);
    }

    void operator()(const Events::PeerMessageReceived &received)
    {
        sender_ = received.peer;
        std::visit(*this, received.message);
    }

    void operator()(const Protocol::MapAnnounce &announce)
    {
        handleMapAnnounce(state_, step_, sender_, announce);
    }

    void operator()(const Protocol::MapAck &ack)
    {
        Protocol::EntryRecord record;
        record.id = ack.from;
        record.peer = ack.peer;
        recordAcknowledgement(state_, record, ack.epoch);
        recordAgentsOfPeer(state_, ack);
        takeoverTick(state_, step_);
    }

    void operator()(const Protocol::SettingsFetch &fetch)
    {
        handleSettingsFetch(state_, step_, sender_, fetch);
    }

    void operator()(const Protocol::SettingsContents &contents)
    {
        handleSettingsContents(state_, step_, sender_, contents);
    }

    void operator()(const Protocol::SettingsAck &ack)
    {
        handleSettingsAck(state_, ack);
    }

    void operator()(const Protocol::LedgerHandover &handover)
    {
        handleLedgerHandover(state_, step_, sender_, handover);
    }

    void operator()(const Protocol::HandoverAck &ack)
    {
        handleHandoverAck(state_, ack);
        leaveTick(state_, step_);
    }

    void operator()(const Events::AgentReplyReceived &received)
    {
        sender_ = received.agent;
        std::visit(*this, received.reply);
    }

    void operator()(const Protocol::TaskUpdates &updates)
    {
        recordAgentReply(state_, sender_, updates.token, &updates.load);
    }

    void operator()(const Protocol::FenceReply &reply)
    {
        recordAgentReply(state_, sender_, reply.token, nullptr);
        handleFenceReply(state_, step_, sender_, reply);
    }

    void operator()(const Events::MapRead &read)
    {
        handleMapRead(state_, step_, read);
    }

    void operator()(const Events::MapWritten &written)
    {
        handleMapWritten(state_, step_, written);
    }

    void operator()(const Events::SettingsRead &read)
    {
        applySubtrees(state_, step_, read.subtrees);
    }

private:
    ClusterState &state_;
    Step &step_;
    Base::ProcessId sender_; ///< of the message being handled
};

} // namespace

} // namespace Internal

ClusterState initialState(const ClusterConfig &config)
{
    ClusterState state;
    state.self = config.self;
    state.seedEndpoints = config.seedEndpoints;
    state.embeddedStore = config.embeddedStore;
    state.random.seed(config.seed);
    return state;
}

Step reduce(ClusterState &state, const Events::Event &event)
{
    Step step;
    Internal::Reducer reducer(state, step);
    std::visit(reducer, event);
    return step;
}

} // namespace LaburnumFlow::Cluster
