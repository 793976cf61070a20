#include "embeddedstore.h"

#include "storeconstants.h"

#include <algorithm>

namespace LaburnumFlow::Store {

boost::leaf::result<RangeResult> EmbeddedStore::range(std::string_view prefix, Base::Duration /*deadline*/)
{
    const std::lock_guard lock(mutex_);
    return RangeResult{pairsChangedAfter(prefix, 0), revision_};
}

boost::leaf::result<SwapResult>
EmbeddedStore::compareAndSwap(std::string_view key, std::string_view value, std::int64_t expectedModRevision, Base::Duration /*deadline*/)
{
    if (value.size() > maxValueBytes) {
        return boost::leaf::new_error(ValueTooLarge{value.size()});
    }
    std::int64_t written = 0;
    {
        const std::lock_guard lock(mutex_);
        const auto found = pairs_.find(key);
        const KeyValue current = found == pairs_.end() ? KeyValue{std::string(key), {}, 0} : found->second;
        if (current.modRevision != expectedModRevision) {
            return boost::leaf::new_error(SwapConflict{current});
        }
        written = ++revision_;
        pairs_.insert_or_assign(current.key, KeyValue{current.key, std::string(value), written});
    }
    changed_.notify_all();
    return SwapResult{written};
}

boost::leaf::result<WatchBatch> EmbeddedStore::watch(std::string_view prefix, std::int64_t afterRevision, Base::Duration deadline)
{
    std::unique_lock lock(mutex_);
    WatchBatch batch;
    changed_.wait_for(lock, deadline, [&] {
        batch.changed = pairsChangedAfter(prefix, afterRevision);
        return !batch.changed.empty();
    });
    std::ranges::sort(batch.changed, {}, &KeyValue::modRevision);
    batch.storeRevision = batch.changed.empty() ? afterRevision : batch.changed.back().modRevision;
    return batch;
}

std::vector<KeyValue> EmbeddedStore::pairsChangedAfter(std::string_view prefix, std::int64_t revision) const
{
    std::vector<KeyValue> found;
    for (auto pair = pairs_.lower_bound(prefix); pair != pairs_.end() && pair->first.starts_with(prefix); ++pair) {
        if (pair->second.modRevision > revision) {
            found.push_back(pair->second);
        }
    }
    return found;
}

} // namespace LaburnumFlow::Store
