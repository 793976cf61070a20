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
constexpr Base::Duration maxDocumentDelay = 5s; ///< time for the first document

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
    versions_.push_back({1, routes, now_});
    for (const std::size_t bandwidth : bandwidths) {
        entries_.emplace_back(bandwidth);
    }
    run(maxDocumentDelay);
    resetDelays();
}

void RulesFleet::change(std::size_t addedRoutes)
{
    versions_.push_back({versions_.back().revision + 1, versions_.back().routes + addedRoutes, now_});
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
        feed(entry, TimePassed{now_});
        stepCall(entry);
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
    entry.call->transfer = entry.downlink.transfer(bytesPerAnswer + version.routes * bytesPerRoute, [this, &entry, document, watched] {
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
    entry.version = std::stoul(adopt.document.text);
}

void RulesFleet::recordDelays()
{
    for (const Entry &entry : entries_) {
        if (entry.version + 1 < versions_.size()) {
            longestDelay_ = std::max(longestDelay_, now_ - versions_[entry.version + 1].acknowledgedAt);
        }
    }
}

} // namespace LaburnumFlow::EntryNode::Testing
