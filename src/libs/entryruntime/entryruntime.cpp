#include "entryruntime.h"

#include "mapworker.h"
#include "settingswatcher.h"

#include "entry/entryreducer.h"
#include "net/network.h"
#include "runtime/countercache.h"
#include "runtime/logline.h"
#include "runtime/processidentity.h"
#include "runtime/reducerthread.h"
#include "store/settingsservice.h"

#include <chrono>
#include <optional>
#include <utility>
#include <variant>

namespace LaburnumFlow::Entry {

namespace leaf = boost::leaf;

namespace {

constexpr std::uint32_t embeddedCallDeadlineMs = 1000;

Base::Duration callDeadlineOf(const Settings::StoreSettings &settings)
{
    const auto *etcd = std::get_if<Settings::EtcdStoreSettings>(&settings);
    return std::chrono::milliseconds(etcd != nullptr ? etcd->callDeadlineMs : embeddedCallDeadlineMs);
}

Dispatch::PlacementPolicy placementOf(std::string_view name)
{
    if (name == "random") {
        return Dispatch::Random{};
    }
    if (name == "round-robin") {
        return Dispatch::RoundRobin{};
    }
    if (name == "power-of-two") {
        return Dispatch::PowerOfTwo{};
    }
    return Dispatch::ExpectedWait{};
}

Net::NetworkConfig networkConfig(const Settings::EntrySettings &settings, const Base::ProcessId &self, std::uint64_t seed)
{
    Net::NetworkConfig config;
    config.self = self;
    config.listen = settings.peer;
    config.seed = seed;
    return config;
}

HttpApi::HttpConfig httpConfig(const Settings::EntrySettings &settings)
{
    HttpApi::HttpConfig config;
    config.listen = settings.http;
    return config;
}

} // namespace

struct EntryRuntime::Private : public Net::NetworkHandler {
    Private(Settings::EntrySettings &&entrySettings,
            std::unique_ptr<Store::PlatformStore> platformStore,
            Base::CounterRegistry &counterRegistry,
            Runtime::Lifecycle &&lifecycleCallbacks,
            HttpApi::EventSink &sink)
        : settings(std::move(entrySettings))
        , self(Runtime::makeProcessId(settings.name))
        , seed(Runtime::seedOrRandom(settings.seed))
        , counters(counterRegistry)
        , lifecycle(std::move(lifecycleCallbacks))
        , store(std::move(platformStore))
        , settingsService(*store)
        , counterCache(counters)
        , reducer([this](const Events::Event &event) { reduce(event); })
        , network(networkConfig(settings, self, seed), *this, counters)
        , httpServer(httpConfig(settings), sink, settingsService, counters)
    {
    }

    Entry::EntryState initialState() const;
    void reduce(const Events::Event &event);
    void post(Events::Event event);

    void linkChanged(const Base::ProcessId &from, bool isAgent, bool up) override;
    void message(const Base::ProcessId &from, bool isAgent, Protocol::LinkMessage message) override;
    void datagram(const Base::Endpoint &from, Protocol::Datagram datagram) override;

    void carryOut(Events::SendDatagram &effect);
    void carryOut(Events::ConnectPeer &effect);
    void carryOut(Events::SendToPeer &effect);
    void carryOut(Events::ConnectAgent &effect);
    void carryOut(Events::DisconnectAgent &effect);
    void carryOut(Events::SendToAgent &effect);
    void carryOut(Events::ReadMap &effect);
    void carryOut(Events::WriteMap &effect);
    void carryOut(Events::AnswerJob &effect);
    void carryOut(Events::AnswerStatus &effect);
    void carryOut(Events::AnswerOperator &effect);
    void carryOut(Events::Count &effect);
    void carryOut(Events::LogLine &effect);
    void carryOut(Events::Exit &effect);

    const Settings::EntrySettings settings;
    const Base::ProcessId self;
    const std::uint64_t seed;
    Base::CounterRegistry &counters;
    const Runtime::Lifecycle lifecycle;
    const std::unique_ptr<Store::PlatformStore> store;
    Store::SettingsService settingsService;
    Base::Endpoint httpEndpoint;
    Base::Endpoint peerEndpoint;

    Entry::EntryState state; ///< used on the reducer thread only, once that has started
    Runtime::CounterCache counterCache; ///< likewise
    std::optional<MapWorker> mapWorker;
    std::optional<SettingsWatcher> settingsWatcher;
    Runtime::ReducerThread<Events::Event, Events::TimePassed> reducer;
    Net::Network network;
    HttpApi::HttpServer httpServer;
    bool started = false;
};

Entry::EntryState EntryRuntime::Private::initialState() const
{
    Cluster::ClusterConfig cluster;
    cluster.self.id = self;
    cluster.self.http = httpEndpoint;
    const bool advertised = !settings.advertisedPeer.address.empty();
    cluster.self.peer = Runtime::withPort(advertised ? settings.advertisedPeer : settings.peer, peerEndpoint.port);
    cluster.self.failureDomain = settings.failureDomain;
    cluster.seedEndpoints = settings.entries;
    cluster.embeddedStore = std::holds_alternative<Settings::EmbeddedStoreSettings>(settings.store);
    cluster.seed = seed;

    Dispatch::DispatchConfig dispatch;
    dispatch.self = settings.name;
    dispatch.seed = seed + 1; // not the same sequence as cluster's
    dispatch.placement = placementOf(settings.placement);
    dispatch.incarnation = self.incarnation;
    return {Cluster::initialState(cluster), Dispatch::initialState(dispatch)};
}

void EntryRuntime::Private::reduce(const Events::Event &event)
{
    if (std::holds_alternative<Events::DrainRequested>(event)) {
        lifecycle.drainStarted();
        httpServer.beginDrain();
    }
    for (Events::Effect &effect : Entry::reduce(state, event)) {
        std::visit([this](auto &concrete) { carryOut(concrete); }, effect);
    }
}

void EntryRuntime::Private::post(Events::Event event)
{
    reducer.post(std::move(event));
}

void EntryRuntime::Private::linkChanged(const Base::ProcessId &from, bool isAgent, bool up)
{
    if (isAgent) {
        post(Events::AgentLinkChanged{from, up});
    } else {
        post(Events::PeerLinkChanged{from, up});
    }
}

void EntryRuntime::Private::message(const Base::ProcessId &from, bool isAgent, Protocol::LinkMessage message)
{
    if (auto *peerMessage = std::get_if<Protocol::PeerMessage>(&message); peerMessage != nullptr && !isAgent) {
        post(Events::PeerMessageReceived{from, std::move(*peerMessage)});
    } else if (auto *reply = std::get_if<Protocol::AgentReply>(&message); reply != nullptr && isAgent) {
        post(Events::AgentReplyReceived{from, std::move(*reply)});
    } else {
        counters.counter("net.messages.unexpected").add();
    }
}

void EntryRuntime::Private::datagram(const Base::Endpoint &from, Protocol::Datagram datagram)
{
    post(Events::DatagramReceived{from, std::move(datagram)});
}

void EntryRuntime::Private::carryOut(Events::SendDatagram &effect)
{
    network.sendDatagram(effect.to, std::move(effect.datagram));
}

void EntryRuntime::Private::carryOut(Events::ConnectPeer &effect)
{
    network.connect(effect.peer, false, effect.to);
}

void EntryRuntime::Private::carryOut(Events::SendToPeer &effect)
{
    network.send(effect.peer, false, std::move(effect.message));
}

void EntryRuntime::Private::carryOut(Events::ConnectAgent &effect)
{
    network.connect(effect.agent, true, effect.to);
}

void EntryRuntime::Private::carryOut(Events::DisconnectAgent &effect)
{
    network.disconnect(effect.agent, true);
}

void EntryRuntime::Private::carryOut(Events::SendToAgent &effect)
{
    network.send(effect.agent, true, std::move(effect.request));
}

void EntryRuntime::Private::carryOut(Events::ReadMap &effect)
{
    mapWorker->queue(effect);
}

void EntryRuntime::Private::carryOut(Events::WriteMap &effect)
{
    mapWorker->queue(effect);
}

void EntryRuntime::Private::carryOut(Events::AnswerJob &effect)
{
    httpServer.answer(effect);
}

void EntryRuntime::Private::carryOut(Events::AnswerStatus &effect)
{
    httpServer.answer(effect);
}

void EntryRuntime::Private::carryOut(Events::AnswerOperator &effect)
{
    httpServer.answer(effect);
}

void EntryRuntime::Private::carryOut(Events::Count &effect)
{
    counterCache.add(effect.counter, effect.increment);
}

void EntryRuntime::Private::carryOut(Events::LogLine &effect)
{
    Runtime::writeLogLine(effect.event, effect.fields);
}

void EntryRuntime::Private::carryOut(Events::Exit & /*effect*/)
{
    lifecycle.finished();
}

EntryRuntime::EntryRuntime(Settings::EntrySettings settings,
                           std::unique_ptr<Store::PlatformStore> store,
                           Base::CounterRegistry &counters,
                           Runtime::Lifecycle lifecycle)
    : d_(std::make_unique<Private>(std::move(settings), std::move(store), counters, std::move(lifecycle), *this))
{
}

EntryRuntime::~EntryRuntime()
{
    stop();
}

leaf::result<void> EntryRuntime::start()
{
    BOOST_LEAF_AUTO(peerPort, d_->network.bind());
    d_->peerEndpoint = Runtime::withPort(d_->settings.peer, peerPort);
    leaf::result<void> listening = d_->httpServer.start();
    if (!listening) {
        return listening.error();
    }
    d_->httpEndpoint = Runtime::withPort(d_->settings.http, d_->httpServer.port());
    d_->started = true;

    const PostEvent postEvent = [this](Events::Event event) { post(std::move(event)); };
    const Base::Duration deadline = callDeadlineOf(d_->settings.store);
    d_->state = d_->initialState();
    d_->mapWorker.emplace(*d_->store, deadline, d_->counters, postEvent);
    d_->settingsWatcher.emplace(*d_->store, deadline, d_->counters, postEvent);
    d_->network.start();
    d_->reducer.start();
    return {};
}

void EntryRuntime::stop()
{
    if (!std::exchange(d_->started, false)) {
        return;
    }
    d_->httpServer.stop();
    d_->reducer.stop();
    d_->settingsWatcher->stop();
    d_->mapWorker->stop();
    d_->network.stop();
}

void EntryRuntime::post(Events::Event event)
{
    d_->post(std::move(event));
}

Base::Endpoint EntryRuntime::http() const
{
    return d_->httpEndpoint;
}

Base::Endpoint EntryRuntime::peer() const
{
    return d_->peerEndpoint;
}

} // namespace LaburnumFlow::Entry
