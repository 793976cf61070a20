#include "mapworker.h"

#include "base/timerservice.h"
#include "store/storecodec.h"

#include <pthread.h>

#include <utility>

namespace LaburnumFlow::Entry {

namespace leaf = boost::leaf;

namespace {

/// A read that shows this pair. ok is false if the value is malformed.
Events::MapRead toMapRead(Base::MonoTime sentAt, const std::optional<Store::KeyValue> &pair)
{
    Events::MapRead read;
    read.sentAt = sentAt;
    if (!pair || pair->modRevision == 0) {
        read.ok = true;
        return read;
    }
    auto map = Store::parseMap(*pair);
    if (map) {
        read.ok = true;
        read.map = std::move(*map);
        read.modRevision = pair->modRevision;
    }
    return read;
}

bool shows(const Events::MapRead &read, const Protocol::PartitionMap &map)
{
    return read.ok && read.map && read.map->writeId == map.writeId;
}

} // namespace

MapWorker::MapWorker(Store::PlatformStore &store, Base::Duration callDeadline, Base::CounterRegistry &counters, PostEvent post)
    : store_(store), callDeadline_(callDeadline), counters_(counters), post_(std::move(post)), thread_([this] {
        pthread_setname_np(pthread_self(), "store-map");
        run();
    })
{
}

MapWorker::~MapWorker()
{
    stop();
}

void MapWorker::queue(const Events::ReadMap &effect)
{
    push(effect);
}

void MapWorker::queue(const Events::WriteMap &effect)
{
    push(effect);
}

void MapWorker::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void MapWorker::push(Call call)
{
    {
        const std::lock_guard lock(mutex_);
        calls_.push_back(std::move(call));
    }
    changed_.notify_one();
}

void MapWorker::run()
{
    while (const std::optional<Call> call = nextCall()) {
        std::visit([this](const auto &concrete) { make(concrete); }, *call);
    }
}

std::optional<MapWorker::Call> MapWorker::nextCall()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || !calls_.empty(); });
    if (stopping_) {
        return std::nullopt;
    }
    Call call = std::move(calls_.front());
    calls_.pop_front();
    return call;
}

leaf::result<std::optional<Store::KeyValue>> MapWorker::rangeMap()
{
    BOOST_LEAF_AUTO(range, store_.range(Store::mapKey, callDeadline_));
    for (Store::KeyValue &pair : range.pairs) {
        if (pair.key == Store::mapKey) {
            return std::optional(std::move(pair));
        }
    }
    return std::optional<Store::KeyValue>();
}

Events::MapRead MapWorker::readMap()
{
    const Base::MonoTime sentAt = Base::monoNow();
    const auto pair = rangeMap();
    if (!pair) {
        counters_.counter("store.map-read.failed").add();
        Events::MapRead failed;
        failed.sentAt = sentAt;
        return failed;
    }
    Events::MapRead read = toMapRead(sentAt, *pair);
    if (!read.ok) {
        counters_.counter("store.map-read.malformed").add();
    }
    return read;
}

void MapWorker::make(const Events::ReadMap & /*call*/)
{
    post_(readMap());
}

void MapWorker::make(const Events::WriteMap &call)
{
    Events::MapWritten written;
    written.sentAt = Base::monoNow();
    written.map = call.map;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(swap, store_.compareAndSwap(Store::mapKey, Store::toJson(call.map), call.expectedModRevision, callDeadline_));
            written.outcome = Events::SwapOutcome::Written;
            written.modRevision = swap.modRevision;
            post_(written);
            return {};
        },
        [&](const Store::SwapConflict &conflict) { handleConflict(written, conflict.current); },
        [&](const Store::StoreUnavailable &) { settleUnknown(written, call.expectedModRevision); },
        [&] {
            counters_.counter("store.map-write.refused").add();
            written.outcome = Events::SwapOutcome::Refused;
            post_(written);
        });
}

/// A store client may repeat a call whose answer was lost, and then conflicts with its own write.
void MapWorker::handleConflict(Events::MapWritten written, const Store::KeyValue &current)
{
    const Events::MapRead read = toMapRead(written.sentAt, current);
    if (shows(read, written.map)) {
        written.outcome = Events::SwapOutcome::Written;
        written.modRevision = read.modRevision;
        post_(std::move(written));
        return;
    }
    counters_.counter("store.map-write.conflict").add();
    written.outcome = Events::SwapOutcome::Conflict;
    post_(std::move(written));
    post_(read);
}

/// Settles a swap whose answer did not come by reading back. As long as the expected revision stands, the swap may
/// still be on its way and take effect later.
void MapWorker::settleUnknown(Events::MapWritten written, std::int64_t expectedModRevision)
{
    const Events::MapRead read = readMap();
    if (shows(read, written.map)) {
        counters_.counter("store.map-write.read-back").add();
        written.outcome = Events::SwapOutcome::Written;
        written.modRevision = read.modRevision;
        post_(std::move(written));
        return;
    }
    const bool replaced = read.ok && read.modRevision != expectedModRevision;
    counters_.counter(replaced ? "store.map-write.conflict" : "store.map-write.undecided").add();
    written.outcome = replaced ? Events::SwapOutcome::Conflict : Events::SwapOutcome::Unknown;
    post_(std::move(written));
    if (read.ok) {
        post_(read);
    }
}

} // namespace LaburnumFlow::Entry
