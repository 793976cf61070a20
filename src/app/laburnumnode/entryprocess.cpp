#include "entryprocess.h"

#include "nodeconstants.h"

#include "base/earliest.h"
#include "base/timerservice.h"
#include "jobs/jobtext.h"
#include "platform/callerdialect.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <random>
#include <type_traits>

namespace LaburnumFlow::Node {

namespace {

std::uint32_t linkKbps(const Settings::NodeSettings &settings)
{
    constexpr double kilobitsPerMegabit = 1000.0;
    return settings.linkMbps ? static_cast<std::uint32_t>(std::lround(*settings.linkMbps * kilobitsPerMegabit)) : std::numeric_limits<std::uint32_t>::max();
}

Jobs::EntryRecord makeEntryRecord(const Settings::NodeSettings &settings)
{
    std::random_device random;
    const std::uint64_t incarnation = (static_cast<std::uint64_t>(random()) << 32U) | random();
    return {settings.name, incarnation, settings.peers, settings.processorPercent, linkKbps(settings)};
}

std::string formatEndpoint(const Base::Endpoint &endpoint)
{
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

std::string adviceAddress(const Settings::JobEntrySettings &settings)
{
    return settings.advice ? formatEndpoint(*settings.advice) : std::string();
}

struct CallName {
    std::string_view operator()(const Jobs::SubmitCall &) const
    {
        return "submit";
    }

    std::string_view operator()(const Jobs::QueryCall &) const
    {
        return "query";
    }

    std::string_view operator()(const Jobs::CancelCall &) const
    {
        return "cancel";
    }

    std::string_view operator()(const Jobs::CountCall &) const
    {
        return "count";
    }
};

/// Returns how long the caller says that it waits; empty if it doesn't say, or nothing plausible.
std::optional<Base::Duration> statedTimeout(const HttpIo::ServerRequest &request)
{
    constexpr std::int64_t maxTimeoutMs = 3'600'000;
    const bool isPlausible = request.deadlineMs && *request.deadlineMs > 0 && *request.deadlineMs < maxTimeoutMs;
    return isPlausible ? std::optional<Base::Duration>(std::chrono::milliseconds(*request.deadlineMs)) : std::nullopt;
}

/// Returns the id of the job that the call is about; empty if it is about none.
std::string jobOf(const Jobs::Call &call)
{
    return std::visit(
        [](const auto &what) {
            if constexpr (std::is_same_v<std::decay_t<decltype(what)>, Jobs::CountCall>) {
                return std::string();
            } else {
                return Jobs::formatId(what.job);
            }
        },
        call);
}

} // namespace

EntryProcess::EntryProcess(const Settings::NodeSettings &settings, std::string settingsFile)
    : NodeProcess(settings, std::move(settingsFile))
    , storeCalls_(loop_, maxStoreConnections)
    , rulesCalls_(loop_, 1)
    , adviceCalls_(loop_, 1)
    , callers_(loop_, {std::get<Settings::JobEntrySettings>(settings.role).callers}, [this](const HttpIo::ServerRequest &request) { handleRequest(request); })
    , ready_(loop_, {std::get<Settings::JobEntrySettings>(settings.role).ready}, [this](const HttpIo::ServerRequest &request) { handleReady(request); })
    , links_(loop_, *this)
    , storeAddress_(formatEndpoint(settings.store.endpoint))
    , adviceAddress_(adviceAddress(std::get<Settings::JobEntrySettings>(settings.role)))
    , storeWatch_(storeLossReportDelay)
    , ownership_(EntryNode::makeOwnership(makeEntryRecord(settings), std::chrono::milliseconds(settings.store.shortestLeaseMs), Base::monoNow()))
    , timer_(
          loop_,
          [this] { return nextDue(); },
          [this] { onTimer(); })
    , ownerTurns_(loop_, ownerTurnInterval, [this] { endOwnerTurn(); })
{
}

bool EntryProcess::listen()
{
    return callers_.start() && ready_.start() && links_.listen(settings_.peers);
}

void EntryProcess::begin()
{
    feedRules(EntryNode::TimePassed{Base::monoNow()});
    feedOwnership(EntryNode::TimePassed{Base::monoNow()});
}

std::string EntryProcess::status() const
{
    const NodeStatus::EntryInfo entry{processInfo(), rules_.id().version, ownerName_, requests_.size()};
    return NodeStatus::entryStatus(entry, ownership_, owner_ ? &*owner_ : nullptr).dump();
}

NodeProcess::LogFields EntryProcess::identity() const
{
    return {{"role", "entry"}, {"incarnation", std::to_string(ownership_.self.incarnation)}};
}

void EntryProcess::handleRequest(const HttpIo::ServerRequest &request)
{
    // A request that has waited for newer rules comes here again.
    OpenRequest &open = requests_.try_emplace(request.id, OpenRequest{Base::monoNow(), "unreadable"}).first->second;
    if (mayGetRoute(request)) {
        awaitingRules_.add(request, open.startedAt);
        timer_.arm();
        return;
    }
    Platform::Decoded decoded = Platform::decodeCall(request, rules_.table());
    if (auto *response = std::get_if<HttpIo::ServerResponse>(&decoded)) {
        answerCaller(request.id, std::move(*response));
        return;
    }
    auto &call = std::get<Jobs::Call>(decoded);
    open.kind = std::visit(CallName{}, call);
    const EntryNode::Attendance attendance{callers_.isClientGone(request.id), request.waited + (Base::monoNow() - open.startedAt), statedTimeout(request)};
    if (const auto reason = EntryNode::whyUnattended(call, attendance)) {
        logDropped(call, *reason);
        answerCaller(request.id, Platform::encodeAnswer(EntryNode::answerWithoutOwner(call)));
        return;
    }
    if (auto *submit = std::get_if<Jobs::SubmitCall>(&call); submit != nullptr && stopping_ && !endsBeforeStop(*submit)) {
        answerCaller(request.id, Platform::encodeAnswer(EntryNode::answerWithoutOwner(call)));
        return;
    }
    if (auto *submit = std::get_if<Jobs::SubmitCall>(&call); submit != nullptr && submit->rules.advice && adviceAddress_.empty()) {
        answerCaller(request.id, Platform::encodeAnswer({.kind = Jobs::CallAnswer::Kind::Unsupported}));
        return;
    }
    const std::optional<Base::Duration> callerTimeout = EntryNode::remainingTimeout(attendance);
    if (auto *submit = std::get_if<Jobs::SubmitCall>(&call); submit != nullptr && callerTimeout) {
        submit->callerTimeoutMs = static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(*callerTimeout).count());
    }
    carryOut(router_.accept(request.id, std::move(call), callerTimeout, loop_.now()));
    timer_.arm();
}

void EntryProcess::logDropped(const Jobs::Call &call, EntryNode::Unattended reason)
{
    logDecision("call.dropped",
                {{"call", std::string(std::visit(CallName{}, call))}, {"id", jobOf(call)}, {"reason", std::string(EntryNode::toString(reason))}});
}

void EntryProcess::answerCaller(HttpIo::RequestId request, HttpIo::ServerResponse response)
{
    if (const auto open = requests_.find(request); open != requests_.end()) {
        metrics_.observeAnswer(open->second.kind, response.status, Base::monoNow() - open->second.startedAt);
        requests_.erase(open);
    }
    callers_.answer(request, std::move(response));
}

void EntryProcess::handleReady(const HttpIo::ServerRequest &request)
{
    const bool ready = rules_.table() != nullptr && hasRoute() && !stopping_;
    ready_.answer(request.id, {ready ? 200 : 503, {}, {}});
}

/// Returns whether a best-effort job that is accepted now would be answered before this process stops.
bool EntryProcess::endsBeforeStop(const Jobs::SubmitCall &submit) const
{
    const std::uint32_t expectedMs = submit.bestEffort ? Jobs::longestChainMs(submit.spec) : 0;
    // Without a successor nothing is answered once this entry has stepped down.
    const Base::MonoTime end = EntryNode::hasSuccessor(ownership_) ? stopBy_ : stopBy_ - stepDownTimeout;
    return Base::monoNow() + std::chrono::milliseconds(drainEstimateFactor * expectedMs) + drainReserve < end;
}

void EntryProcess::carryOut(EntryNode::RouterEffects effects)
{
    for (EntryNode::RouterEffect &effect : effects) {
        std::visit([this](auto &what) { carryOut(what); }, effect);
    }
}

void EntryProcess::carryOut(EntryNode::HandleLocally &call)
{
    forwardToOwner(LocalCaller{call.forwardId}, std::move(call.call));
}

void EntryProcess::carryOut(EntryNode::SendToPeer &call)
{
    const auto link = peerLinks_.find(call.name);
    if (link != peerLinks_.end()) {
        links_.send(link->second, Jobs::encodeMessage(std::move(call.call)));
    }
}

void EntryProcess::carryOut(EntryNode::AnswerCaller &answer)
{
    answerCaller(answer.number, Platform::encodeAnswer(answer.answer));
}

bool EntryProcess::hasRoute() const
{
    const auto owner = ownership_.peers.find(ownerName_);
    return owner_ || (owner != ownership_.peers.end() && owner->second.linked && peerLinks_.contains(ownerName_));
}

void EntryProcess::updateRoute()
{
    EntryNode::Route route = EntryNode::NoRoute{};
    if (owner_) {
        if (!steppingDown_) {
            route = EntryNode::LocalRoute{};
        }
    } else if (hasRoute()) {
        route = EntryNode::PeerRoute{ownerName_};
    }
    dropUnattendedCalls();
    carryOut(router_.route(std::move(route), Base::monoNow()));
}

void EntryProcess::dropUnattendedCalls()
{
    for (const EntryNode::DroppedCall &dropped : router_.dropUnattended([this](EntryNode::CallNumber number) { return callers_.isClientGone(number); })) {
        answerDropped(dropped);
    }
}

void EntryProcess::answerDropped(const EntryNode::DroppedCall &dropped)
{
    logDropped(dropped.call, EntryNode::Unattended::CallerGone);
    answerCaller(dropped.number, Platform::encodeAnswer(dropped.answer));
}

void EntryProcess::retryCall(EntryNode::ForwardId forwardId)
{
    const std::optional<EntryNode::CallNumber> number = router_.callOf(forwardId);
    if (number && callers_.isClientGone(*number)) {
        if (const auto dropped = router_.drop(*number)) {
            answerDropped(*dropped);
            return;
        }
    }
    carryOut(router_.retry(forwardId, Base::monoNow()));
}

std::optional<Base::MonoTime> EntryProcess::nextDue() const
{
    Base::Earliest due;
    due.consider(EntryNode::nextDue(ownership_));
    due.consider(EntryNode::nextDue(rulesFeed_));
    due.consider(EntryNode::nextDue(rulesExchange_));
    due.consider(router_.nextDue());
    due.consider(awaitingRules_.nextDue());
    // The end of a turn that is requested handles what is due.
    if (owner_ && !ownerTurns_.isRequested()) {
        due.consider(Jobs::nextDue(*owner_));
    }
    return due.time();
}

void EntryProcess::onTimer()
{
    carryOut(router_.expire(loop_.now()));
    answerExpiredRequests();
    feedRules(EntryNode::TimePassed{Base::monoNow()});
    feedOwnership(EntryNode::TimePassed{Base::monoNow()});
    connectRulesFeedAndExchange();
    if (owner_) {
        feedOwner(Jobs::TimePassed{Base::monoNow(), Base::wallNow()});
    }
    timer_.arm();
}

void EntryProcess::beginStop()
{
    stopNotBefore_ = Base::monoNow() + minEntryDrainTime;
    callers_.closeConnectionsAfterAnswers();
    feedOwnership(EntryNode::StopRequested{});
    if (ownership_.lease != 0) {
        callStore("lease-end", Platform::endLeaseRequest(storeAddress_, ownership_.lease), [](const HttpIo::ClientResponse & /*response*/) {});
    }
    finishWhenIdle();
}

/// Vacates the ownership once all pending changes are recorded or stepDownBy_ has passed, so that the next owner need not wait for a
/// timeout.
void EntryProcess::stepDownWhenRecorded()
{
    if (!owner_) {
        return;
    }
    if (owner_->recorder.waiting() > 0 && Base::monoNow() < stepDownBy_) {
        loop_.callAfter(stepDownCheckInterval, [this] { stepDownWhenRecorded(); });
        return;
    }
    const Jobs::OwnerRecord &record = owner_->recorder.owner();
    const Jobs::OwnerRecord vacant{record.epoch, record.sequence + 1, {}, 0, record.agents};
    const Jobs::Commit vacate{owner_->recorder.revision(), {{std::string(Jobs::ownerKey), Jobs::encodeRecord(vacant)}}, {}};
    callStore("vacate", Platform::commitRequest(storeAddress_, vacate), [this, epoch = record.epoch](const HttpIo::ClientResponse & /*response*/) {
        stepDown("stopping");
        for (const auto &[name, link] : peerLinks_) {
            links_.send(link, Jobs::encodeMessage(Jobs::EntryBeat{epoch, true, true}));
        }
    });
}

void EntryProcess::finishWhenIdle()
{
    const Base::MonoTime now = Base::monoNow();
    const bool mayStepDown = EntryNode::hasSuccessor(ownership_) || now >= stopBy_ - stepDownTimeout;
    if (owner_ && !steppingDown_ && mayStepDown) {
        steppingDown_ = true;
        stepDownBy_ = now + stepDownTimeout;
        updateRoute();
        stepDownWhenRecorded();
    }
    const bool idle = callers_.openRequests() == 0 && !owner_;
    if (idle && now >= stopNotBefore_) {
        loop_.defer([this] { loop_.stop(); });
        return;
    }
    if (now >= stopBy_) {
        carryOut(router_.answerAll());
        loop_.callAfter(lastAnswersTimeout, [this] { loop_.stop(); });
        return;
    }
    loop_.callAt(std::min<Base::MonoTime>(now + drainCheckInterval, stopBy_), [this] { finishWhenIdle(); });
}

void EntryProcess::refreshMetrics()
{
    metrics_.set(Metrics::Gauge::OwnerEpoch, owner_ ? static_cast<double>(owner_->epoch) : 0);
    metrics_.set(Metrics::Gauge::OpenJobs, owner_ ? static_cast<double>(owner_->jobs.size()) : 0);
    metrics_.set(Metrics::Gauge::WaitingJobs, owner_ ? static_cast<double>(owner_->ready.size()) : 0);
    metrics_.set(Metrics::Gauge::OwnerTurnSeconds, std::chrono::duration<double>(std::exchange(longestOwnerTurn_, {})).count());
    metrics_.set(Metrics::Gauge::LinkedAgents, static_cast<double>(agentLinks_.size()));
    metrics_.set(Metrics::Gauge::LinkedEntries, static_cast<double>(peerLinks_.size()));
    metrics_.set(Metrics::Gauge::OpenRequests, static_cast<double>(requests_.size()));
    metrics_.set(Metrics::Gauge::RulesVersion, static_cast<double>(rules_.id().version));
    metrics_.set(Metrics::Gauge::RulesNewestVersion, static_cast<double>(EntryNode::newestVersion(rulesExchange_)));
    const Base::Duration behind = rulesExchange_.behindSince ? Base::monoNow() - *rulesExchange_.behindSince : Base::Duration{};
    metrics_.set(Metrics::Gauge::RulesBehindSeconds, std::chrono::duration<double>(behind).count());
}

int runEntry(const Settings::NodeSettings &settings, const std::string &settingsFile)
{
    return EntryProcess(settings, settingsFile).run();
}

} // namespace LaburnumFlow::Node
