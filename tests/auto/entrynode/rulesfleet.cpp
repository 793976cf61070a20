#include "rulesfleet.h"

#include <algorithm>
#include <string>

namespace LaburnumFlow::EntryNode::Testing {

namespace {

using namespace std::chrono_literals;

constexpr Base::Duration stepTime = 5ms;
constexpr Base::Duration stallTimeout = 200ms; ///< after which a call without an answer has failed, beyond the time for which it may wait
constexpr std::size_t bytesPerRoute = 256; ///< of the document in the store's answer
constexpr std::size_t bytesPerAnswer = 200; ///< without a document
constexpr std::size_t bytesPerAnnouncement = 100;
constexpr Base::Duration maxDocumentDelay = 20s; ///< time for the first document
constexpr std::uint32_t bytesPerKilobit = 125;

Rules::QueueRoute makeRoute(std::size_t number)
{
    const std::string digits = std::to_string(number * 2654435761U);
    return {{"host" + std::to_string(number % 40) + ".example", "/path" + digits + "/"}, {"queue-" + digits, "service", 0, 1, 1.5, 60}};
}

double seconds(Base::Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

std::uint64_t ModelLink::transfer(std::size_t bytes, std::function<void()> done)
{
    transfers_[++lastTransfer_] = {static_cast<double>(bytes), std::move(done)};
    return lastTransfer_;
}

void ModelLink::cancel(std::uint64_t transfer)
{
    transfers_.erase(transfer);
}

void ModelLink::advance(Base::Duration time)
{
    if (transfers_.empty()) {
        return;
    }
    const double share = static_cast<double>(bytesPerSecond_) * seconds(time) / static_cast<double>(transfers_.size());
    std::vector<std::function<void()>> done;
    for (auto it = transfers_.begin(); it != transfers_.end();) {
        Transfer &transfer = it->second;
        const double carried = std::min(share, transfer.bytesLeft);
        bytes_ += carried;
        transfer.bytesLeft -= carried;
        if (transfer.bytesLeft > 0) {
            ++it;
            continue;
        }
        done.push_back(std::move(transfer.done));
        it = transfers_.erase(it);
    }
    for (const std::function<void()> &ended : done) {
        ended();
    }
}

RulesFleet::RulesFleet(const std::vector<std::size_t> &bandwidths, std::size_t routes, unsigned seed) : random(seed)
{
    versions_.push_back({1, Rules::makeRouteTable(1, {}), now_});
    change(routes);
    versions_.erase(versions_.begin());
    entries_.reserve(bandwidths.size());
    for (const std::size_t bandwidth : bandwidths) {
        Entry &entry = entries_.emplace_back(bandwidth);
        entry.name = "entry-" + std::to_string(entries_.size());
        entry.ownership.self = {entry.name, 1, {}, 100, static_cast<std::uint32_t>(bandwidth / bytesPerKilobit)};
    }
    for (Entry &entry : entries_) {
        for (const Entry &other : entries_) {
            if (&other != &entry) {
                Peer &peer = entry.ownership.peers[other.name];
                peer.record = other.ownership.self;
                peer.linked = true;
                peer.present = true;
            }
        }
    }
    run(maxDocumentDelay);
    resetDelays();
}

void RulesFleet::change(std::size_t addedRoutes)
{
    const Rules::RouteTable &table = versions_.back().table;
    std::vector<Rules::QueueRoute> routes = table.routes;
    if (!routes.empty()) {
        routes[random() % routes.size()].rules.targetMs += 1;
    }
    for (std::size_t i = 0; i < addedRoutes; ++i) {
        routes.push_back(makeRoute(++lastRoute_));
    }
    versions_.push_back({versions_.back().revision + 1, Rules::makeRouteTable(table.id.version + 1, std::move(routes)), now_});
}

void RulesFleet::silenceStoreCall(std::size_t entry)
{
    std::optional<StoreCall> &call = entries_[entry].call;
    if (!call || call->failsAt) {
        return;
    }
    if (call->transfer) {
        entries_[entry].downlink.cancel(*call->transfer);
    }
    call->transfer.reset();
    call->failsAt = std::max(now_, call->answerBy) + stallTimeout;
}

void RulesFleet::dropHistory()
{
    historyStart_ = versions_.back().revision;
    for (Entry &entry : entries_) {
        if (entry.call && entry.call->watchAfter && !entry.call->transfer) {
            entry.call->failsAt = now_;
        }
    }
}

void RulesFleet::setCutOff(std::size_t entry, bool cutOff)
{
    entries_[entry].cutOff = cutOff;
}

void RulesFleet::restart(std::size_t entry)
{
    Entry &restarted = entries_[entry];
    if (restarted.call && restarted.call->transfer) {
        restarted.downlink.cancel(*restarted.call->transfer);
    }
    restarted.call.reset();
    restarted.feed = {};
    restarted.exchange = {};
    restarted.rules = {};
    ++restarted.process;
    for (Entry &other : entries_) {
        exchange(other, RulesSourceLost{restarted.name});
    }
}

void RulesFleet::run(Base::Duration time)
{
    for (const Base::MonoTime end = now_ + time; now_ < end;) {
        step();
    }
}

void RulesFleet::step()
{
    now_ += stepTime;
    for (Entry &entry : entries_) {
        entry.downlink.advance(stepTime);
        entry.uplink.advance(stepTime);
        feed(entry, TimePassed{now_});
        stepCall(entry);
        stepExchange(entry);
    }
    recordDelays();
}

void RulesFleet::stepCall(Entry &entry)
{
    if (!entry.call || entry.call->transfer) {
        return;
    }
    StoreCall &call = *entry.call;
    if (call.failsAt) {
        if (now_ >= *call.failsAt) {
            endCall(entry, call.watchAfter ? RulesFeedEvent(RulesWatched{}) : RulesFeedEvent(RulesRead{}));
        }
        return;
    }
    if (call.watchAfter && *call.watchAfter < historyStart_) {
        endCall(entry, RulesWatched{RulesWatched::Outcome::HistoryLost, 0, {}, 0});
        return;
    }
    if (!call.watchAfter || versions_.back().revision > *call.watchAfter) {
        sendDocument(entry);
        return;
    }
    if (now_ >= call.answerBy) {
        entry.downlink.transfer(bytesPerAnswer, [] {});
        endCall(entry, RulesWatched{RulesWatched::Outcome::Answered, 0, {}, versions_.back().revision});
    }
}

void RulesFleet::sendDocument(Entry &entry)
{
    const ModelVersion &version = versions_.back();
    const RulesText document{std::to_string(versions_.size() - 1), version.revision};
    const bool watched = entry.call->watchAfter.has_value();
    entry.call->transfer = entry.downlink.transfer(bytesPerAnswer + version.table.routes.size() * bytesPerRoute, [this, &entry, document, watched] {
        if (watched) {
            endCall(entry, RulesWatched{RulesWatched::Outcome::Answered, document.revision, document, document.revision});
        } else {
            endCall(entry, RulesRead{document, document.revision});
        }
    });
}

void RulesFleet::endCall(Entry &entry, const RulesFeedEvent &event)
{
    entry.call.reset();
    feed(entry, event);
}

void RulesFleet::feed(Entry &entry, const RulesFeedEvent &event)
{
    for (const RulesFeedEffect &effect : reduce(entry.feed, event)) {
        std::visit([this, &entry](const auto &what) { carryOut(entry, what); }, effect);
    }
}

void RulesFleet::exchange(Entry &entry, const RulesExchangeEvent &event)
{
    for (const RulesExchangeEffect &effect : reduce(entry.exchange, event)) {
        std::visit([this, &entry](const auto &what) { carryOut(entry, what); }, effect);
    }
}

void RulesFleet::stepExchange(Entry &entry)
{
    exchange(entry, TimePassed{now_});
    exchange(entry, RulesReader{isRulesReader(entry.ownership), entry.feed.storeAnswers});
    Jobs::RulesAnnouncement own = entry.exchange.own;
    own.watchAfter = entry.feed.watchAfter;
    exchange(entry, OwnRules{own});
    feed(entry, RulesRole{followsPeers(entry.exchange), entry.exchange.reader});
}

void RulesFleet::adopted(Entry &entry, std::int64_t revision)
{
    const Rules::TableId id = entry.rules.id();
    const auto version = std::find_if(versions_.begin(), versions_.end(), [&id](const ModelVersion &known) { return known.table.id == id; });
    entry.version = static_cast<std::size_t>(version - versions_.begin());
    exchange(entry, OwnRules{{id.version, id.digest, revision, entry.feed.watchAfter, false}});
}

/// Transfers a message between two entries unless either is cut off. It is lost if either restarts meanwhile.
void RulesFleet::send(Entry &from, Entry &to, std::size_t bytes, std::function<void()> arrived)
{
    if (from.cutOff || to.cutOff) {
        return;
    }
    const auto deliver = [&from, &to, arrived = std::move(arrived), sender = from.process, receiver = to.process] {
        if (from.process == sender && to.process == receiver) {
            arrived();
        }
    };
    from.uplink.transfer(bytes, [&to, bytes, deliver] { to.downlink.transfer(bytes, deliver); });
}

RulesFleet::Entry &RulesFleet::entryOf(const std::string &name)
{
    return *std::find_if(entries_.begin(), entries_.end(), [&name](const Entry &entry) { return entry.name == name; });
}

void RulesFleet::carryOut(Entry &entry, const ReadRules & /*read*/)
{
    entry.call = StoreCall{{}, now_, {}, {}};
}

void RulesFleet::carryOut(Entry &entry, const WatchRules &watch)
{
    entry.call = StoreCall{watch.after, now_ + watch.wait, {}, {}};
}

void RulesFleet::carryOut(Entry &entry, const AdoptRules &adopt)
{
    if (entry.rules.adopt(versions_[std::stoul(adopt.document.text)].table)) {
        adopted(entry, adopt.document.revision);
    }
}

void RulesFleet::carryOut(Entry &entry, const AnnounceRules &announce)
{
    for (Entry &other : entries_) {
        if (&other != &entry) {
            send(entry, other, bytesPerAnnouncement, [this, &entry, &other, announcement = announce.announcement] {
                exchange(other, RulesAnnounced{entry.name, announcement});
            });
        }
    }
}

void RulesFleet::carryOut(Entry &entry, const RequestRulesUpdate &request)
{
    Entry &source = entryOf(request.name);
    send(entry, source, bytesPerAnnouncement, [this, &source, &entry, asked = request.request] { answer(source, entry, asked); });
}

void RulesFleet::carryOut(Entry &entry, const RulesConfirmed &confirmed)
{
    feed(entry, RulesLearned{confirmed.announcement.revision, confirmed.announcement.watchAfter});
}

void RulesFleet::carryOut(Entry & /*entry*/, const RulesBehind & /*behind*/) { }

void RulesFleet::answer(Entry &source, Entry &asking, const Jobs::RulesRequest &request)
{
    const std::vector<std::uint8_t> update = source.rules.updateSince({request.version, request.digest});
    send(source, asking, update.size() + bytesPerAnnouncement, [this, &source, &asking, update, own = source.exchange.own] {
        const auto result = asking.rules.apply(update);
        if (result == Rules::Replica::UpdateResult::Applied) {
            feed(asking, RulesLearned{own.revision, own.watchAfter});
            adopted(asking, own.revision);
        }
        exchange(asking, RulesUpdateArrived{source.name, result != Rules::Replica::UpdateResult::Mismatch});
    });
}

Base::Duration RulesFleet::delay(std::size_t entry) const
{
    const Entry &delayed = entries_[entry];
    const bool behind = delayed.rules.table() != nullptr && delayed.version + 1 < versions_.size();
    return behind ? now_ - versions_[delayed.version + 1].acknowledgedAt : Base::Duration{};
}

void RulesFleet::recordDelays()
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        longestDelay_ = std::max(longestDelay_, delay(i));
    }
}

} // namespace LaburnumFlow::EntryNode::Testing
