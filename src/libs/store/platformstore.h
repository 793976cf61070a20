#pragma once

#include "base/types.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// The platform's key-value service, which holds the partition map and the operators' settings.
namespace LaburnumFlow::Store {

/// A key with its value and the store revision of its last change.
struct KeyValue {
    std::string key;
    std::string value;
    std::int64_t modRevision = 0; ///< 0 if the key does not exist

    bool operator==(const KeyValue &) const = default;
};

/// The call did not end within its deadline, or the connection broke. A write may have taken effect.
struct StoreUnavailable {
    std::string detail;
};

/// The store answered that it can't serve the call; a write took no effect.
struct StoreRefused {
    int status = 0; ///< HTTP status
    std::string detail;
};

/// A compare-and-swap found another modRevision.
struct SwapConflict {
    KeyValue current;
};

/// The fleet's call budget of this process is spent for the moment.
struct BudgetExhausted {
};

/// A value is larger than the store holds (maxValueBytes).
struct ValueTooLarge {
    std::size_t size = 0;
};

/// The watched revision has been compacted away; read everything again.
struct WatchCompacted {
    std::int64_t compactRevision = 0;
};

struct RangeResult {
    std::vector<KeyValue> pairs;
    std::int64_t storeRevision = 0;
};

struct SwapResult {
    std::int64_t modRevision = 0;
};

/// Changes of keys under a watched prefix, in order.
struct WatchBatch {
    std::vector<KeyValue> changed; ///< modRevision 0 means deleted
    std::int64_t storeRevision = 0;
};

/// Blocking calls, each with its own deadline. Thread-safe. Errors are those named at each call.
class PlatformStore
{
public:
    virtual ~PlatformStore() = default;

    /// All pairs whose key starts with the prefix. Fails with StoreUnavailable, StoreRefused or BudgetExhausted.
    virtual boost::leaf::result<RangeResult> range(std::string_view prefix, Base::Duration deadline) = 0;

    /// Writes the value if the key's modRevision equals expected (0: the key must not exist).
    /// Fails with SwapConflict, StoreUnavailable (the write may have taken effect), StoreRefused, BudgetExhausted
    /// or ValueTooLarge.
    virtual boost::leaf::result<SwapResult>
    compareAndSwap(std::string_view key, std::string_view value, std::int64_t expectedModRevision, Base::Duration deadline) = 0;

    /// Waits for changes under the prefix after the given store revision, at most until the deadline; an empty batch
    /// means that none came. Fails with StoreUnavailable, StoreRefused, BudgetExhausted or WatchCompacted.
    virtual boost::leaf::result<WatchBatch> watch(std::string_view prefix, std::int64_t afterRevision, Base::Duration deadline) = 0;
};

} // namespace LaburnumFlow::Store
