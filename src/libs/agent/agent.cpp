#include "agent.h"

#include "admission.h"
#include "leases.h"
#include "ledger.h"
#include "presence.h"
#include "requests.h"
#include "slots.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace LaburnumFlow::Agent {

namespace {

class RequestHandler
{
public:
    RequestHandler(AgentState &state, Internal::Step &step, const std::string &entry) : state_(state), step_(step), entry_(entry) { }

    void operator()(const Protocol::StartBatch &batch) const
    {
        Internal::handleStart(state_, step_, entry_, batch);
    }

    void operator()(const Protocol::CancelTasks &cancel) const
    {
        Internal::handleCancel(state_, step_, entry_, cancel);
    }

    void operator()(const Protocol::QueryAttempts &query) const
    {
        Internal::handleQuery(state_, step_, entry_, query);
    }

    void operator()(const Protocol::FenceQuery &query) const
    {
        Internal::handleFenceQuery(state_, step_, entry_, query);
    }

private:
    AgentState &state_;
    Internal::Step &step_;
    const std::string &entry_;
};

class EventHandler
{
public:
    EventHandler(AgentState &state, Internal::Step &step) : state_(state), step_(step) { }

    void operator()(const TimePassed &time) const
    {
        state_.now = std::max(state_.now, time.mono);
        Internal::refuseOutdated(state_, step_);
        Internal::superviseRunning(state_, step_);
        Internal::expireRecords(state_);
        Internal::forgetEntries(state_);
    }

    void operator()(const EntryLinkChanged &link) const
    {
        Internal::handleLink(state_, step_, link);
    }

    void operator()(const EntryRequestReceived &received) const
    {
        Internal::handleLink(state_, step_, {received.entry, true});
        std::visit(RequestHandler(state_, step_, received.entry.name), received.request);
    }

    void operator()(const EntryHelloReceived &hello) const
    {
        Internal::handleHello(state_, hello);
    }

    void operator()(const BackendTaskEnded &ended) const
    {
        Internal::handleTaskEnded(state_, step_, ended);
    }

    void operator()(const BackendStatus &status) const
    {
        Internal::handleBackendStatus(state_, step_, status);
    }

    void operator()(const DrainRequested &) const
    {
        Internal::handleDrain(state_, step_);
    }

private:
    AgentState &state_;
    Internal::Step &step_;
};

} // namespace

AgentState initialState(const AgentConfig &config)
{
    AgentState state;
    state.self = config.self;
    state.tcp = config.tcp;
    state.udp = config.udp;
    state.failureDomain = config.failureDomain;
    state.worker = config.worker;
    state.seedEndpoints = config.seedEndpoints;
    state.configuredSlots = config.slots;
    state.reservedShortSlots = config.reservedShortSlots;
    return state;
}

Effects reduce(AgentState &state, const Event &event)
{
    Internal::Step step;
    std::visit(EventHandler(state, step), event);
    Internal::fillSlots(state, step);
    Internal::announce(state, step);
    Internal::flushUpdates(state, step);
    Internal::exitIfDrained(state, step);
    return std::move(step.effects);
}

} // namespace LaburnumFlow::Agent
