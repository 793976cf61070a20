#pragma once

#include "platformstore.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace LaburnumFlow::Store {

/// Holds all pairs in the memory of this process. Calls ignore their deadline, except watch(). A watch may report several
/// changes of a key as one and never fails with WatchCompacted, as no revision is compacted.
class EmbeddedStore : public PlatformStore
{
public:
    boost::leaf::result<RangeResult> range(std::string_view prefix, Base::Duration deadline) override;
    boost::leaf::result<SwapResult>
    compareAndSwap(std::string_view key, std::string_view value, std::int64_t expectedModRevision, Base::Duration deadline) override;
    boost::leaf::result<WatchBatch> watch(std::string_view prefix, std::int64_t afterRevision, Base::Duration deadline) override;

private:
    std::vector<KeyValue> pairsChangedAfter(std::string_view prefix, std::int64_t revision) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, KeyValue, std::less<>> pairs_;
    std::int64_t revision_ = 0;
};

} // namespace LaburnumFlow::Store
