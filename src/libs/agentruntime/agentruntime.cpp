#include "agentruntime.h"

#include "agent/agent.h"
#include "agent/backendclient.h"
#include "net/network.h"
#include "runtime/countercache.h"
#include "runtime/logline.h"
#include "runtime/processidentity.h"
#include "runtime/reducerthread.h"

#include <utility>
#include <variant>

namespace LaburnumFlow::Agent {

namespace leaf = boost::leaf;

namespace {

Net::NetworkConfig networkConfig(const Settings::AgentSettings &settings, const Base::ProcessId &self, std::uint64_t seed)
{
    Net::NetworkConfig config;
    config.self = self;
    config.isAgent = true;
    config.listen = settings.listen;
    config.seed = seed;
    return config;
}

} // namespace

struct AgentRuntime::Private : public Net::NetworkHandler {
    Private(Settings::AgentSettings &&agentSettings, Base::CounterRegistry &counterRegistry, Runtime::Lifecycle &&lifecycleCallbacks)
        : settings(std::move(agentSettings))
        , self(Runtime::makeProcessId(settings.name))
        , seed(Runtime::seedOrRandom(settings.seed))
        , counters(counterRegistry)
        , lifecycle(std::move(lifecycleCallbacks))
        , counterCache(counters)
        , reducer([this](const Event &event) { reduce(event); })
        , network(networkConfig(settings, self, seed), *this, counters)
    {
    }

    AgentConfig agentConfig() const;
    void reduce(const Event &event);

    void linkChanged(const Base::ProcessId &from, bool isAgent, bool up) override;
    void message(const Base::ProcessId &from, bool isAgent, Protocol::LinkMessage message) override;
    void datagram(const Base::Endpoint &from, Protocol::Datagram datagram) override;

    void carryOut(SendToEntry &effect);
    void carryOut(SendHeartbeat &effect);
    void carryOut(BackendStart &effect);
    void carryOut(BackendRenew &effect);
    void carryOut(BackendStop &effect);
    void carryOut(BackendThrottle &effect);
    void carryOut(BackendCheckpoint &effect);
    void carryOut(QueryBackendStatus &effect);
    void carryOut(Count &effect);
    void carryOut(LogLine &effect);
    void carryOut(Exit &effect);

    const Settings::AgentSettings settings;
    const Base::ProcessId self;
    const std::uint64_t seed;
    Base::CounterRegistry &counters;
    const Runtime::Lifecycle lifecycle;
    Base::Endpoint boundEndpoint;

    AgentState state; ///< Used on the reducer thread only, once that has started
    Runtime::CounterCache counterCache; ///< Used on the reducer thread only
    Runtime::ReducerThread<Event, TimePassed> reducer;
    Net::Network network;
    std::unique_ptr<BackendServer> backend; ///< Used on the reducer thread only. Destroyed before the reducer, to which it posts.
    bool started = false;
};

AgentConfig AgentRuntime::Private::agentConfig() const
{
    AgentConfig config;
    config.self = self;
    const bool advertised = !settings.advertised.address.empty();
    config.tcp = Runtime::withPort(advertised ? settings.advertised : settings.listen, boundEndpoint.port);
    config.udp = config.tcp;
    config.failureDomain = settings.failureDomain;
    config.worker = settings.worker;
    config.seedEndpoints = settings.entries;
    config.slots = settings.slots;
    config.reservedShortSlots = settings.reservedShortSlots;
    config.seed = seed;
    return config;
}

void AgentRuntime::Private::reduce(const Event &event)
{
    if (std::holds_alternative<DrainRequested>(event)) {
        lifecycle.drainStarted();
    }
    for (Effect &effect : Agent::reduce(state, event)) {
        std::visit([this](auto &concrete) { carryOut(concrete); }, effect);
    }
}

void AgentRuntime::Private::linkChanged(const Base::ProcessId &from, bool isAgent, bool up)
{
    if (!isAgent) {
        reducer.post(EntryLinkChanged{from, up});
    }
}

void AgentRuntime::Private::message(const Base::ProcessId &from, bool isAgent, Protocol::LinkMessage message)
{
    auto *request = std::get_if<Protocol::AgentRequest>(&message);
    if (request == nullptr || isAgent) {
        counters.counter("net.messages.unexpected").add();
        return;
    }
    reducer.post(EntryRequestReceived{from, std::move(*request)});
}

void AgentRuntime::Private::datagram(const Base::Endpoint &from, Protocol::Datagram datagram)
{
    auto *hello = std::get_if<Protocol::EntryHello>(&datagram);
    if (hello == nullptr) {
        counters.counter("net.datagrams.unexpected").add();
        return;
    }
    reducer.post(EntryHelloReceived{from, std::move(*hello)});
}

void AgentRuntime::Private::carryOut(SendToEntry &effect)
{
    network.send(effect.entry, false, std::move(effect.reply));
}

void AgentRuntime::Private::carryOut(SendHeartbeat &effect)
{
    network.sendDatagram(effect.to, std::move(effect.heartbeat));
}

void AgentRuntime::Private::carryOut(BackendStart &effect)
{
    backend->start(effect);
}

void AgentRuntime::Private::carryOut(BackendRenew &effect)
{
    backend->renew(effect);
}

void AgentRuntime::Private::carryOut(BackendStop &effect)
{
    backend->stop(effect);
}

void AgentRuntime::Private::carryOut(BackendThrottle &effect)
{
    backend->throttle(effect);
}

void AgentRuntime::Private::carryOut(BackendCheckpoint &effect)
{
    backend->checkpoint(effect);
}

void AgentRuntime::Private::carryOut(QueryBackendStatus & /*effect*/)
{
    backend->queryStatus();
}

void AgentRuntime::Private::carryOut(Count &effect)
{
    counterCache.add(effect.counter, effect.increment);
}

void AgentRuntime::Private::carryOut(LogLine &effect)
{
    Runtime::writeLogLine(effect.event, effect.fields);
}

void AgentRuntime::Private::carryOut(Exit & /*effect*/)
{
    lifecycle.finished();
}

AgentRuntime::AgentRuntime(Settings::AgentSettings settings, Base::CounterRegistry &counters, Runtime::Lifecycle lifecycle)
    : d_(std::make_unique<Private>(std::move(settings), counters, std::move(lifecycle)))
{
}

AgentRuntime::~AgentRuntime()
{
    stop();
}

leaf::result<void> AgentRuntime::start()
{
    BOOST_LEAF_AUTO(port, d_->network.bind());
    d_->boundEndpoint = Runtime::withPort(d_->settings.listen, port);
    d_->started = true;
    d_->state = initialState(d_->agentConfig());
    d_->backend = makeBackendClient(d_->settings.backend, d_->counters, [this](Event event) { d_->reducer.post(std::move(event)); });
    d_->network.start();
    d_->reducer.start();
    return {};
}

void AgentRuntime::stop()
{
    if (!std::exchange(d_->started, false)) {
        return;
    }
    d_->reducer.stop();
    d_->backend.reset();
    d_->network.stop();
}

void AgentRuntime::requestDrain()
{
    d_->reducer.post(DrainRequested{});
}

Base::Endpoint AgentRuntime::listen() const
{
    return d_->boundEndpoint;
}

} // namespace LaburnumFlow::Agent
