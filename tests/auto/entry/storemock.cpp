#include "storemock.h"

#include "store/storecodec.h"

#include <algorithm>

namespace LaburnumFlow::EntryTest {

void EventLog::post(Events::Event event)
{
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
    changed_.notify_all();
}

std::vector<Events::Event> EventLog::waitFor(std::size_t count)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, generousLimit, [&] { return events_.size() >= count; });
    return {events_.begin(), events_.begin() + static_cast<std::ptrdiff_t>(std::min(count, events_.size()))};
}

std::size_t EventLog::size()
{
    const std::lock_guard lock(mutex_);
    return events_.size();
}

Protocol::PartitionMap mapWith(std::string_view writeId)
{
    Protocol::PartitionMap map;
    map.epoch = 3;
    Protocol::EntryRecord entry;
    entry.id = {"e1", 1};
    entry.http = {"127.0.0.1", 1};
    entry.peer = {"127.0.0.1", 2};
    entry.failureDomain = "fd1";
    map.entries.push_back(entry);
    map.writeId = writeId;
    return map;
}

Store::KeyValue pairOf(const Protocol::PartitionMap &map, std::int64_t modRevision)
{
    return {std::string(Store::mapKey), Store::toJson(map), modRevision};
}

Store::KeyValue settingsPair(std::string_view team, std::uint64_t revision, std::int64_t modRevision)
{
    Store::StoredSettings settings;
    settings.subtree.team = team;
    settings.subtree.revision = revision;
    settings.subtree.changeId = "c";
    settings.author = "operator";
    return {Store::settingsKey(team), Store::toJson(settings), modRevision};
}

} // namespace LaburnumFlow::EntryTest
