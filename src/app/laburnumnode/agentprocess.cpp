#include "agentprocess.h"

#include "duetimer.h"
#include "nodeconstants.h"
#include "nodeprocess.h"

#include "base/timerservice.h"
#include "httpio/httpclient.h"
#include "httpio/httpfront.h"
#include "platform/heartbeats.h"
#include "platform/storedialect.h"
#include "platform/workerdialect.h"
#include "taskagent/agentreducer.h"
#include "taskagent/taskagentconstants.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace LaburnumFlow::Node {

namespace {

using namespace TaskAgent;

std::string formatEndpoint(const Base::Endpoint &endpoint)
{
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

class AgentProcess : public NodeProcess
{
public:
    AgentProcess(const Settings::NodeSettings &settings, std::string settingsFile);

private:
    struct EntryLink {
        Base::Endpoint endpoint;
        bool connected = false;
        Base::MonoTime lastReceivedAt{};
    };

    bool listen() override;
    void begin() override;
    void beginStop() override;
    void refreshMetrics() override;
    std::string status() const override;
    LogFields identity() const override;

    void linkConnected(Net::LinkId link) override;
    void linkAccepted(Net::LinkId link) override;
    void linkFrame(Net::LinkId link, std::span<const std::uint8_t> frame) override;
    void linkClosed(Net::LinkId link, Net::LinkEnd reason) override;

    void feed(const AgentEvent &event);
    void carryOut(AgentEffect &effect);
    void carryOut(CallStart &call);
    void carryOut(CallStop &call);
    void carryOut(CallPace &call);
    void carryOut(CallHold &call);
    void carryOut(SendReport &report);
    void carryOut(UpdateEntries &update);
    void carryOut(Decision &decision);
    void onTimer();
    /// Sends a request to the worker and feeds the event that read makes of the response to the reducer. name is the call's name in the
    /// metrics.
    template<typename Read>
    void callWorker(std::string_view name, HttpIo::ClientRequest request, Base::Duration timeout, Read read);

    void handleRequest(const HttpIo::ServerRequest &request);
    bool mayOwnerBeReplaced() const;
    bool isEntriesReadDue() const;
    void readEntries();
    void connectTo(const std::vector<Base::Endpoint> &entries);
    void dial(const Base::Endpoint &endpoint);
    void adoptLink(Net::LinkId link, const Base::Endpoint &entry);
    void replaceSilentLink();
    void finishWhenIdle();

    HttpIo::HttpClient workerCalls_;
    HttpIo::HttpClient storeCalls_;
    HttpIo::HttpFront registration_;
    Net::LoopLinks links_;
    AgentState state_;
    std::string workerAddress_;
    std::string storeAddress_;
    std::map<Net::LinkId, EntryLink> entries_;
    std::vector<Base::Endpoint> knownEntries_; ///< entries to which links are maintained
    DueTimer timer_;
    bool entriesReadInProgress_ = false;
    Base::MonoTime entriesReadAt_{}; ///< start of the latest read
};

AgentProcess::AgentProcess(const Settings::NodeSettings &settings, std::string settingsFile)
    : NodeProcess(settings, std::move(settingsFile))
    , workerCalls_(loop_, maxWorkerConnections)
    , storeCalls_(loop_, 1)
    , registration_(loop_,
                    {std::get<Settings::JobAgentSettings>(settings.role).registration},
                    [this](const HttpIo::ServerRequest &request) { handleRequest(request); })
    , links_(loop_, *this)
    , state_(makeAgent(Base::monoNow()))
    , workerAddress_(formatEndpoint(std::get<Settings::JobAgentSettings>(settings.role).worker))
    , storeAddress_(formatEndpoint(settings.store.endpoint))
    , timer_(
          loop_,
          [this] { return nextDue(state_); },
          [this] { onTimer(); })
{
}

bool AgentProcess::listen()
{
    return registration_.start() && (settings_.peers.port == 0 || links_.listen(settings_.peers));
}

void AgentProcess::begin()
{
    readEntries();
}

std::string AgentProcess::status() const
{
    return NodeStatus::agentStatus(processInfo(), state_).dump();
}

NodeProcess::LogFields AgentProcess::identity() const
{
    return {{"role", "agent"}};
}

void AgentProcess::feed(const AgentEvent &event)
{
    AgentEffects effects = reduce(state_, TimePassed{Base::monoNow()});
    for (AgentEffect &effect : effects) {
        carryOut(effect);
    }
    effects = reduce(state_, event);
    for (AgentEffect &effect : effects) {
        carryOut(effect);
    }
    timer_.arm();
}

void AgentProcess::carryOut(AgentEffect &effect)
{
    std::visit([this](auto &what) { carryOut(what); }, effect);
}

void AgentProcess::carryOut(CallStart &call)
{
    HttpIo::ClientRequest request = Platform::startRequest(workerAddress_, call);
    call.payload.clear();
    const Base::Duration timeout = call.timeout;
    callWorker("start", std::move(request), timeout, [call = std::move(call)](const HttpIo::ClientResponse &response) {
        return Platform::startAnswer(call, response);
    });
}

void AgentProcess::carryOut(CallStop &call)
{
    callWorker("stop", Platform::stopRequest(workerAddress_, call), call.timeout, [call](const HttpIo::ClientResponse &response) {
        return Platform::stopAnswer(call, response);
    });
}

void AgentProcess::carryOut(CallPace &call)
{
    callWorker("pace", Platform::paceRequest(workerAddress_, call), call.timeout, [call](const HttpIo::ClientResponse &response) {
        return Platform::paceAnswer(call, response);
    });
}

void AgentProcess::carryOut(CallHold &call)
{
    callWorker("hold", Platform::holdRequest(workerAddress_, call), call.timeout, [call](const HttpIo::ClientResponse &response) {
        return Platform::holdAnswer(call, response);
    });
}

void AgentProcess::carryOut(SendReport &report)
{
    const auto link = static_cast<Net::LinkId>(std::strtoull(report.entry.c_str(), nullptr, 10));
    links_.send(link, Jobs::encodeMessage(std::move(report.report)));
}

void AgentProcess::carryOut(UpdateEntries &update)
{
    connectTo(update.entries);
}

void AgentProcess::carryOut(Decision &decision)
{
    logDecision(decision.event, decision.fields);
}

template<typename Read>
void AgentProcess::callWorker(std::string_view name, HttpIo::ClientRequest request, Base::Duration timeout, Read read)
{
    request.timeout = timeout;
    const Base::MonoTime startedAt = Base::monoNow();
    workerCalls_.send(std::move(request), [this, name, startedAt, read = std::move(read)](const HttpIo::ClientResponse &response) {
        recordCall(name, response, Base::monoNow() - startedAt);
        feed(read(response));
    });
}

void AgentProcess::refreshMetrics()
{
    metrics_.set(Metrics::Gauge::RunningTasks, static_cast<double>(state_.runs.size()));
    metrics_.set(Metrics::Gauge::LinkedEntries,
                 static_cast<double>(std::count_if(entries_.begin(), entries_.end(), [](const auto &entry) { return entry.second.connected; })));
}

void AgentProcess::onTimer()
{
    feed(TimePassed{Base::monoNow()});
    replaceSilentLink();
}

void AgentProcess::replaceSilentLink()
{
    if (state_.ownerEntry.empty()) {
        return;
    }
    const auto link = static_cast<Net::LinkId>(std::strtoull(state_.ownerEntry.c_str(), nullptr, 10));
    const auto found = entries_.find(link);
    if (found != entries_.end() && loop_.now() - found->second.lastReceivedAt > entrySilenceTimeout) {
        links_.close(link);
        linkClosed(link, Net::LinkEnd::Lost);
    }
}

void AgentProcess::handleRequest(const HttpIo::ServerRequest &request)
{
    const auto id = Platform::workerIdFromPath(request.path);
    if (!id) {
        registration_.answer(request.id, {404, {}, {}});
        return;
    }
    if (request.method == "DELETE") {
        feed(WorkerLeft{*id});
        registration_.answer(request.id, {});
        return;
    }
    const auto heartbeat = request.method == "PUT" ? Platform::parseHeartbeat(*id, request.body) : std::nullopt;
    if (!heartbeat) {
        logDecision("heartbeat.unreadable", {{"worker", *id}, {"bytes", std::to_string(request.body.size())}});
        registration_.answer(request.id, {400, {}, {}});
        return;
    }
    feed(*heartbeat);
    registration_.answer(request.id, {200, "{}", {}});
}

bool AgentProcess::mayOwnerBeReplaced() const
{
    return state_.ownerEntry.empty() || !state_.ownerConfirmedByStore;
}

bool AgentProcess::isEntriesReadDue() const
{
    const Base::Duration interval = state_.ownerEntry.empty() ? entriesReadInterval : unconfirmedOwnerReadInterval;
    return mayOwnerBeReplaced() && !entriesReadInProgress_ && loop_.now() - entriesReadAt_ >= interval;
}

/// Reads the entry records from the store at intervals while there is no owner, or one that may have a successor. Stale reads are cheap and
/// sufficient for that.
void AgentProcess::readEntries()
{
    if (stopping_) {
        return;
    }
    loop_.callAfter(entriesReadInterval, [this] { readEntries(); });
    if (!isEntriesReadDue()) {
        return;
    }
    entriesReadInProgress_ = true;
    entriesReadAt_ = loop_.now();
    HttpIo::ClientRequest request = Platform::rangeRequest(storeAddress_, Jobs::clusterPrefix, {}, true);
    request.timeout = maxStoreTimeout;
    const Base::MonoTime startedAt = Base::monoNow();
    storeCalls_.send(std::move(request), [this, startedAt](const HttpIo::ClientResponse &response) {
        recordCall("read-cluster", response, Base::monoNow() - startedAt);
        entriesReadInProgress_ = false;
        const auto page = Platform::parsePageResponse(response);
        if (!page || !mayOwnerBeReplaced()) {
            return;
        }
        std::vector<Base::Endpoint> entries;
        if (!state_.ownerEntry.empty()) {
            entries = knownEntries_;
        }
        const EntryNode::ClusterRead cluster = Platform::clusterFromItems(page->items);
        for (const Jobs::EntryRecord &record : cluster.content->entries) {
            entries.push_back(record.peers);
        }
        // A stale read may lack entries that are already linked.
        for (const auto &[link, entry] : entries_) {
            entries.push_back(entry.endpoint);
        }
        connectTo(entries);
    });
}

void AgentProcess::connectTo(const std::vector<Base::Endpoint> &entries)
{
    knownEntries_ = entries;
    std::sort(knownEntries_.begin(), knownEntries_.end());
    knownEntries_.erase(std::unique(knownEntries_.begin(), knownEntries_.end()), knownEntries_.end());
    for (const Base::Endpoint &endpoint : knownEntries_) {
        dial(endpoint);
    }
}

void AgentProcess::dial(const Base::Endpoint &endpoint)
{
    const auto same = [&endpoint](const auto &entry) { return entry.second.endpoint == endpoint; };
    if (std::any_of(entries_.begin(), entries_.end(), same)) {
        return;
    }
    entries_[links_.dial(endpoint)] = EntryLink{endpoint, false, loop_.now()};
}

void AgentProcess::linkConnected(Net::LinkId link)
{
    EntryLink &entry = entries_[link];
    entry.connected = true;
    entry.lastReceivedAt = loop_.now();
    links_.send(link, Jobs::encodeMessage(Jobs::AgentHello{settings_.name, settings_.peers}));
}

void AgentProcess::linkAccepted(Net::LinkId /*link*/) { }

/// Uses a link that an entry has dialed, unless this process already has one to that entry.
void AgentProcess::adoptLink(Net::LinkId link, const Base::Endpoint &entry)
{
    const auto existing = std::find_if(entries_.begin(), entries_.end(), [&entry](const auto &known) { return known.second.endpoint == entry; });
    if (existing != entries_.end() && (existing->second.connected || stopping_)) {
        links_.close(link);
        return;
    }
    if (existing != entries_.end()) {
        links_.close(existing->first);
        entries_.erase(existing);
    }
    if (std::find(knownEntries_.begin(), knownEntries_.end(), entry) == knownEntries_.end()) {
        knownEntries_.push_back(entry);
    }
    entries_[link] = EntryLink{entry, false, {}};
    linkConnected(link);
}

void AgentProcess::linkFrame(Net::LinkId link, std::span<const std::uint8_t> frame)
{
    auto message = Jobs::decodeMessage(frame);
    if (const auto *hello = message ? std::get_if<Jobs::EntryHello>(&*message) : nullptr) {
        adoptLink(link, hello->peers);
        return;
    }
    auto *orders = message ? std::get_if<Jobs::OwnerOrders>(&*message) : nullptr;
    if (orders == nullptr) {
        return;
    }
    entries_[link].lastReceivedAt = loop_.now();
    feed(OrdersArrived{std::to_string(link), std::move(*orders)});
}

void AgentProcess::linkClosed(Net::LinkId link, Net::LinkEnd /*reason*/)
{
    const auto found = entries_.find(link);
    if (found == entries_.end()) {
        return;
    }
    const Base::Endpoint endpoint = found->second.endpoint;
    entries_.erase(found);
    feed(EntryUnlinked{std::to_string(link)});
    loop_.callAfter(entryDialRetryDelay, [this, endpoint] {
        if (std::find(knownEntries_.begin(), knownEntries_.end(), endpoint) != knownEntries_.end()) {
            dial(endpoint);
        }
    });
}

void AgentProcess::beginStop()
{
    feed(StopRequested{});
    finishWhenIdle();
}

void AgentProcess::finishWhenIdle()
{
    if (isIdle(state_) || Base::monoNow() >= stopBy_) {
        // The last report is sent in one more round of the event loop.
        loop_.defer([this] { loop_.stop(); });
        return;
    }
    loop_.callAt(std::min<Base::MonoTime>(Base::monoNow() + drainCheckInterval, stopBy_), [this] { finishWhenIdle(); });
}

} // namespace

int runAgent(const Settings::NodeSettings &settings, const std::string &settingsFile)
{
    return AgentProcess(settings, settingsFile).run();
}

} // namespace LaburnumFlow::Node
