#include "dispatch.h"

#include "attempts.h"
#include "jobs.h"
#include "ledger.h"
#include "placement.h"
#include "recovery.h"
#include "relay.h"
#include "retries.h"
#include "scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace LaburnumFlow::Dispatch {

namespace {

using namespace Internal;

template<typename Messages>
void sendToAgents(Context &context, Messages &messages)
{
    for (auto &[agent, message] : messages) {
        message.epoch = context.epoch();
        context.effects.emplace_back(Events::SendToAgent{agent, std::move(message)});
    }
}

/// Starts queued tasks and returns all effects. Starts come before cancellations, as one call may start and cancel a task.
Events::Effects scheduleAndSend(Context &context)
{
    startQueuedTasks(context);
    sendToAgents(context, context.starts);
    sendToAgents(context, context.queries);
    sendToAgents(context, context.cancels);
    return std::move(context.effects);
}

void handleTimer(Context &context, const Timer &timer)
{
    switch (timer.kind) {
    case TimerKind::JobStop:
        handleStopTimer(context, timer.task.submission);
        break;
    case TimerKind::JobDeadline:
        handleJobDeadline(context, timer.task.submission);
        break;
    case TimerKind::RequestDeadline:
        handleRequestDeadline(context, timer.number);
        break;
    case TimerKind::StatusDeadline:
        handleStatusDeadline(context, timer.number);
        break;
    case TimerKind::TaskRetry:
        handleRetryTimer(context, timer.task, timer.number);
        break;
    case TimerKind::TaskHedge:
        handleHedgeTimer(context, timer.task, timer.number);
        break;
    case TimerKind::OrderRelease:
        handleOrderReleaseTimer(context, timer.task);
        break;
    case TimerKind::LedgerExpiry:
        expireRecord(context, timer.task.submission);
        break;
    }
}

struct EventHandler {
    Context &context;

    void operator()(const Events::TimePassed &event) const
    {
        DispatchState &state = context.state;
        state.now = std::max(state.now, event.mono);
        state.wall = event.wall;
        if (state.now >= state.nextAgentRefreshAt) {
            refreshAgents(context);
            resumeSuspendedTasks(context);
            pruneExpiredRelays(state);
        }
        while (!state.timers.empty() && state.timers.top().at <= state.now) {
            const Timer timer = state.timers.top();
            state.timers.pop();
            handleTimer(context, timer);
        }
    }

    void operator()(const Events::JobSubmitted &event) const
    {
        submitJob(context, event);
    }

    void operator()(const Events::JobStatusRequested &event) const
    {
        requestStatus(context, event);
    }

    void operator()(const Events::JobCancelRequested &event) const
    {
        requestCancel(context, event);
    }

    void operator()(const Events::RequestAbandoned &event) const
    {
        abandonRequest(context, event.request);
    }

    void operator()(const Events::DrainRequested &) const
    {
        context.state.draining = true;
    }

    void operator()(const Events::DatagramReceived &event) const
    {
        if (const auto *heartbeat = std::get_if<Protocol::AgentHeartbeat>(&event.datagram)) {
            relistAgent(context, heartbeat->from.name);
        }
    }

    void operator()(const Events::PeerMessageReceived &event) const
    {
        const std::string &peer = event.peer.name;
        if (const auto *job = std::get_if<Protocol::RelayJob>(&event.message)) {
            handleRelayJob(context, peer, *job);
        } else if (const auto *answer = std::get_if<Protocol::RelayAnswer>(&event.message)) {
            handleRelayAnswer(context, *answer);
        } else if (const auto *cancel = std::get_if<Protocol::RelayCancel>(&event.message)) {
            handleRelayCancel(context, peer, *cancel);
        } else if (const auto *request = std::get_if<Protocol::RelayStatus>(&event.message)) {
            handleRelayStatus(context, peer, *request);
        } else if (const auto *status = std::get_if<Protocol::RelayStatusAnswer>(&event.message)) {
            handleRelayStatusAnswer(context, *status);
        }
    }

    void operator()(const Events::AgentReplyReceived &event) const
    {
        if (const auto *updates = std::get_if<Protocol::TaskUpdates>(&event.reply)) {
            handleUpdates(context, event.agent, *updates);
        }
    }

    template<typename Other>
    void operator()(const Other &) const
    {
    }
};

struct ChangeHandler {
    Context &context;

    void operator()(const Cluster::PartitionsGained &change) const
    {
        queryRecoveredAttempts(context, change.partitions);
        rerouteRequests(context, change.partitions);
        resumeSuspendedTasks(context);
    }

    void operator()(const Cluster::PartitionsLost &change) const
    {
        detachRequests(context, change.partitions);
        forgetPartitions(context, change.partitions);
        rerouteRequests(context, change.partitions);
    }

    void operator()(const Cluster::AttemptsRecovered &change) const
    {
        recoverAttempts(context, change);
    }

    void operator()(const Cluster::LedgerReceived &change) const
    {
        receiveLedger(context, change);
    }

    void operator()(const Cluster::AgentReachable &change) const
    {
        queryAgent(context, change.agent);
        refreshAgents(context);
    }

    void operator()(const Cluster::AgentFenced &change) const
    {
        endFencedAttempts(context, change.agent);
    }

    void operator()(const Cluster::OwnerChanged &change) const
    {
        rerouteRequests(context, change.partitions);
    }

    template<typename Other>
    void operator()(const Other &) const
    {
    }
};

} // namespace

DispatchState initialState(const DispatchConfig &config)
{
    DispatchState state;
    state.self = config.self;
    state.placement = config.placement;
    state.random.seed(config.seed);
    state.lastRelayId = config.incarnation;
    return state;
}

Events::Effects reduce(DispatchState &state, const Cluster::ClusterState &cluster, const Events::Event &event)
{
    Context context{state, cluster, {}, {}, {}, {}};
    std::visit(EventHandler{context}, event);
    return scheduleAndSend(context);
}

Events::Effects applyChange(DispatchState &state, const Cluster::ClusterState &cluster, const Cluster::Change &change)
{
    Context context{state, cluster, {}, {}, {}, {}};
    std::visit(ChangeHandler{context}, change);
    return scheduleAndSend(context);
}

std::vector<Protocol::LedgerRecord> ledgerRecords(const DispatchState &state, std::span<const Protocol::Partition> partitions)
{
    std::vector<Protocol::LedgerRecord> records;
    for (const Protocol::Partition partition : partitions) {
        const auto found = state.submissionsByPartition.find(partition);
        if (found == state.submissionsByPartition.end()) {
            continue;
        }
        for (const Base::Uuid &id : found->second) {
            records.push_back(makeHandoverRecord(state, state.ledger.at(id)));
        }
    }
    return records;
}

bool isIdle(const DispatchState &state)
{
    return state.requests.empty() && state.openJobs == 0 && state.liveAttemptCount == 0;
}

std::vector<Events::StatusRow> statusRows(const DispatchState &state)
{
    std::vector<Events::StatusRow> rows;
    for (const auto &[name, team] : state.teams) {
        rows.push_back({"queue", name, {{"queued", std::to_string(team.waitingCount)}, {"running", std::to_string(team.liveAttemptCount)}}});
    }
    return rows;
}

} // namespace LaburnumFlow::Dispatch
