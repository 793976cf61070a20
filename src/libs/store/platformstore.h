#pragma once

#include "base/types.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// Access to the platform's key-value service, which holds the partition map and the operators' settings.
namespace LaburnumFlow::Store {

/// A key, its value and the store revision of its last change.
struct KeyValue {
    std::string key;
    std::string value;
    std::int64_t modRevision = 0; ///< Store revision of the last change; 0 if the key does not exist

    bool operator==(const KeyValue &) const = default;
};

/// The deadline passed without a response, or the connection broke. The outcome of a write is unknown.
struct StoreUnavailable {
    std::string detail;
};

/// The store rejected the call. A write had no effect.
struct StoreRefused {
    int status = 0; ///< HTTP status code
    std::string detail;
};

/// A compare-and-swap found another modRevision than expected.
struct SwapConflict {
    KeyValue current; ///< Pair in the store
};

/// This process has used up its share of the fleet's call rate for the moment. The call was not sent.
struct BudgetExhausted {
};

/// The value exceeds maxValueBytes. The call was not sent.
struct ValueTooLarge {
    std::size_t size = 0; ///< Bytes of the value
};

/// The revision to watch from was compacted. The caller must read the whole range again.
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

/// Changes of keys under a watched prefix in the order of their revisions.
struct WatchBatch {
    std::vector<KeyValue> changed; ///< Pairs as changed; modRevision 0 means that the key was deleted
    std::int64_t storeRevision = 0; ///< Revision from which the next watch continues
};

/// Interface of the key-value service. Calls block until their deadline at most, given as a duration from now, and fail only
/// with the errors that each one names. Thread-safe.
class PlatformStore
{
public:
    virtual ~PlatformStore() = default;

    /// Returns all pairs whose key starts with the prefix. Fails with StoreUnavailable, StoreRefused or BudgetExhausted.
    virtual boost::leaf::result<RangeResult> range(std::string_view prefix, Base::Duration deadline) = 0;

    /// Writes the value if the key's modRevision equals expectedModRevision (0: the key must not exist). Fails with
    /// SwapConflict, StoreUnavailable (the outcome is unknown), StoreRefused, BudgetExhausted or ValueTooLarge.
    virtual boost::leaf::result<SwapResult>
    compareAndSwap(std::string_view key, std::string_view value, std::int64_t expectedModRevision, Base::Duration deadline) = 0;

    /// Waits for changes under the prefix after the given store revision. Returns an empty batch if there is none before
    /// the deadline. Fails with StoreUnavailable, StoreRefused, BudgetExhausted or WatchCompacted.
    virtual boost::leaf::result<WatchBatch> watch(std::string_view prefix, std::int64_t afterRevision, Base::Duration deadline) = 0;
};

} // namespace LaburnumFlow::Store
