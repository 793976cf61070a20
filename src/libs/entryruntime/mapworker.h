#pragma once

#include "base/counters.h"
#include "base/types.h"
#include "events/entryeffects.h"
#include "events/entryevents.h"
#include "store/platformstore.h"

#include <boost/leaf.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <variant>

namespace LaburnumFlow::Entry {

using PostEvent = std::function<void(Events::Event)>;

/// Reads and writes the partition map at the store, one call after the other, on a thread named "store-map".
class MapWorker
{
public:
    MapWorker(Store::PlatformStore &store, Base::Duration callDeadline, Base::CounterRegistry &counters, PostEvent post);
    ~MapWorker();
    MapWorker(const MapWorker &) = delete;
    MapWorker &operator=(const MapWorker &) = delete;

    /// Posts MapRead, or MapWritten and, unless it was Written or Refused, MapRead if the standing map is known.
    /// Thread-safe.
    void queue(const Events::ReadMap &effect);
    void queue(const Events::WriteMap &effect);

    /// Waits for the call that is being made; queued ones are dropped.
    void stop();

private:
    using Call = std::variant<Events::ReadMap, Events::WriteMap>;

    void push(Call call);
    void run();
    std::optional<Call> nextCall();
    void make(const Events::ReadMap &call);
    void make(const Events::WriteMap &call);
    boost::leaf::result<std::optional<Store::KeyValue>> rangeMap();
    Events::MapRead readMap();
    void handleConflict(Events::MapWritten written, const Store::KeyValue &current);
    void settleUnknown(Events::MapWritten written, std::int64_t expectedModRevision);

    Store::PlatformStore &store_;
    Base::Duration callDeadline_;
    Base::CounterRegistry &counters_;
    PostEvent post_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Call> calls_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace LaburnumFlow::Entry
