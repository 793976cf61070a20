#pragma once

#include "events/entryevents.h"
#include "store/platformstore.h"

#include <boost/leaf.hpp>
#include <trompeloeil.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace LaburnumFlow::EntryTest {

constexpr std::chrono::seconds generousLimit{60};

using RangeAnswer = boost::leaf::result<Store::RangeResult>;
using SwapAnswer = boost::leaf::result<Store::SwapResult>;
using WatchAnswer = boost::leaf::result<Store::WatchBatch>;

class StoreMock : public Store::PlatformStore
{
public:
    MAKE_MOCK2(range, RangeAnswer(std::string_view, Base::Duration), override);
    MAKE_MOCK4(compareAndSwap, SwapAnswer(std::string_view, std::string_view, std::int64_t, Base::Duration), override);
    MAKE_MOCK3(watch, WatchAnswer(std::string_view, std::int64_t, Base::Duration), override);
};

/// Collects posted events.
class EventLog
{
public:
    void post(Events::Event event);

    /// The first count events, or fewer if they do not come.
    std::vector<Events::Event> waitFor(std::size_t count);
    std::size_t size();

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<Events::Event> events_;
};

Protocol::PartitionMap mapWith(std::string_view writeId);
Store::KeyValue pairOf(const Protocol::PartitionMap &map, std::int64_t modRevision);
Store::KeyValue settingsPair(std::string_view team, std::uint64_t revision, std::int64_t modRevision);

} // namespace LaburnumFlow::EntryTest
