#include "storestate.h"

#include <algorithm>

namespace LaburnumFlow::StoreStandIn {

namespace {

constexpr std::size_t maxChanges = 10'000; ///< older ones are compacted, which bounds the memory of long runs

} // namespace

bool KeyRange::contains(std::string_view key) const
{
    if (end.empty()) {
        return key == start;
    }
    return key >= start && (end == std::string_view("\0", 1) || key < end);
}

void StoreState::apply(const Control &control)
{
    {
        const std::lock_guard lock(mutex_);
        control_.down = control.down ? control.down : control_.down;
        control_.delayMs = control.delayMs ? control.delayMs : control_.delayMs;
        control_.loseAnswers = control.loseAnswers ? control.loseAnswers : control_.loseAnswers;
        if (control.silenceWatches) {
            silencedGeneration_ = *control.silenceWatches ? generation_++ : 0;
        }
        if (control.stale && *control.stale != stale_.has_value()) {
            stale_ = *control.stale ? std::optional(current_) : std::nullopt;
        }
        if (control.compact) {
            compact(current_.revision);
        }
    }
    changed_.notify_all();
}

Stats StoreState::stats()
{
    const std::lock_guard lock(mutex_);
    Stats stats = stats_;
    stats.revision = current_.revision;
    return stats;
}

bool StoreState::admit(CallType type)
{
    std::unique_lock lock(mutex_);
    switch (type) {
    case CallType::Range:
        ++stats_.ranges;
        break;
    case CallType::Txn:
        ++stats_.txns;
        break;
    case CallType::Watch:
        ++stats_.watches;
        break;
    case CallType::Lease:
        ++stats_.leases;
        break;
    }
    const auto delay = std::chrono::milliseconds(control_.delayMs.value_or(0));
    changed_.wait_for(lock, delay, [this] { return stopping_; });
    return !stopping_ && !control_.down.value_or(false);
}

RangeReply StoreState::range(const KeyRange &range)
{
    const std::lock_guard lock(mutex_);
    const Snapshot &source = stale_ ? *stale_ : current_;
    RangeReply reply{{}, source.revision};
    for (auto pair = source.pairs.lower_bound(range.start); pair != source.pairs.end() && range.contains(pair->first); ++pair) {
        reply.pairs.push_back(pair->second);
    }
    return reply;
}

TxnReply StoreState::swap(const std::vector<Compare> &compares, const std::vector<KeyValue> &puts)
{
    TxnReply reply;
    {
        const std::lock_guard lock(mutex_);
        const auto holds = [this](const Compare &compare) {
            const auto found = current_.pairs.find(compare.key);
            return (found == current_.pairs.end() ? 0 : found->second.modRevision) == compare.modRevision;
        };
        reply.succeeded = std::ranges::all_of(compares, holds);
        if (reply.succeeded) {
            ++current_.revision;
            for (const KeyValue &put : puts) {
                const KeyValue pair{put.key, put.value, current_.revision};
                current_.pairs.insert_or_assign(put.key, pair);
                changes_.push_back(pair);
            }
            if (control_.loseAnswers.value_or(0) > 0) {
                control_.loseAnswers = *control_.loseAnswers - 1;
                reply.answerLost = true;
            }
            if (changes_.size() > maxChanges) {
                compact(changes_[changes_.size() / 2].modRevision);
            }
        }
        reply.revision = current_.revision;
    }
    changed_.notify_all();
    return reply;
}

WatchState StoreState::openWatch(KeyRange range, std::int64_t startRevision)
{
    const std::lock_guard lock(mutex_);
    ++stats_.openWatches;
    return {std::move(range), startRevision > 0 ? startRevision : current_.revision + 1, generation_};
}

bool StoreState::hasNews(const WatchState &watch) const
{
    return std::ranges::any_of(changes_, [&](const KeyValue &pair) { return pair.modRevision >= watch.nextRevision && watch.range.contains(pair.key); });
}

WatchStep StoreState::next(WatchState &watch, std::chrono::milliseconds wait)
{
    std::unique_lock lock(mutex_);
    const auto closed = [&] { return stopping_ || control_.down.value_or(false); };
    const auto silent = [&] { return watch.generation <= silencedGeneration_; };
    const auto lagging = [&] { return watch.nextRevision <= compacted_; };
    changed_.wait_for(lock, wait, [&] { return closed() || (!silent() && (lagging() || hasNews(watch))); });
    if (closed()) {
        return {WatchStep::Kind::Closed, {}, 0};
    }
    if (silent()) {
        return {};
    }
    if (lagging()) {
        return {WatchStep::Kind::Compacted, {}, compacted_};
    }
    WatchStep step{WatchStep::Kind::Nothing, {}, current_.revision};
    std::ranges::copy_if(changes_, std::back_inserter(step.events), [&](const KeyValue &pair) {
        return pair.modRevision >= watch.nextRevision && watch.range.contains(pair.key);
    });
    watch.nextRevision = current_.revision + 1;
    step.kind = step.events.empty() ? WatchStep::Kind::Nothing : WatchStep::Kind::Events;
    return step;
}

void StoreState::closeWatch()
{
    const std::lock_guard lock(mutex_);
    --stats_.openWatches;
}

std::uint64_t StoreState::grantLease()
{
    const std::lock_guard lock(mutex_);
    return nextLease_++;
}

void StoreState::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
}

void StoreState::compact(std::int64_t upTo)
{
    compacted_ = upTo;
    std::erase_if(changes_, [upTo](const KeyValue &pair) { return pair.modRevision <= upTo; });
}

} // namespace LaburnumFlow::StoreStandIn
