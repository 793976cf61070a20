#pragma once

#include "store/platformstore.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// A minimal stand-in of the platform's key-value service, for tests.
namespace LaburnumFlow::StoreStandIn {

using Store::KeyValue;

/// Faults that a test sets; fields left out of a control request stay as they are.
struct Control {
    std::optional<bool> down; ///< calls and open watches are closed without an answer
    std::optional<std::uint32_t> delayMs; ///< before each call
    std::optional<std::uint32_t> loseAnswers; ///< the next writes take effect but are not answered
    std::optional<bool> silenceWatches; ///< watches open at that moment send nothing more
    std::optional<bool> stale; ///< ranges answer with the state at that moment
    bool compact = false; ///< forgets all changes up to the present revision
};

struct Stats {
    std::uint64_t ranges = 0;
    std::uint64_t txns = 0;
    std::uint64_t watches = 0;
    std::uint64_t leases = 0;
    std::uint64_t openWatches = 0;
    std::int64_t revision = 0;
};

enum class CallType {
    Range,
    Txn,
    Watch,
    Lease,
};

/// Keys from start, below end; an empty end means start alone, "\0" means no end.
struct KeyRange {
    std::string start;
    std::string end;

    bool contains(std::string_view key) const;
};

struct RangeReply {
    std::vector<KeyValue> pairs;
    std::int64_t revision = 0;
};

struct Compare {
    std::string key;
    std::int64_t modRevision = 0;
};

struct TxnReply {
    bool succeeded = false;
    bool answerLost = false;
    std::int64_t revision = 0;
};

/// What a watch has to say next.
struct WatchStep {
    enum class Kind {
        Events,
        Nothing, ///< within the wait
        Compacted,
        Closed,
    };
    Kind kind = Kind::Nothing;
    std::vector<KeyValue> events;
    std::int64_t revision = 0; ///< of the store, or the compacted one
};

/// An open watch of one client.
struct WatchState {
    KeyRange range;
    std::int64_t nextRevision = 0;
    std::uint64_t generation = 0; ///< watches of an earlier generation than the silenced ones say nothing
};

/// All keys, their changes and the faults. Thread-safe.
class StoreState
{
public:
    void apply(const Control &control);
    Stats stats();

    /// Counts a call, waits for the delay and returns whether the store is up.
    bool admit(CallType type);

    RangeReply range(const KeyRange &range);

    /// Compares all, then puts all or nothing under one revision.
    TxnReply swap(const std::vector<Compare> &compares, const std::vector<KeyValue> &puts);

    WatchState openWatch(KeyRange range, std::int64_t startRevision);
    WatchStep next(WatchState &watch, std::chrono::milliseconds wait);
    void closeWatch();

    std::uint64_t grantLease();

    /// Ends all waiting; for shutdown.
    void stop();

private:
    using Pairs = std::map<std::string, KeyValue, std::less<>>;

    struct Snapshot {
        Pairs pairs;
        std::int64_t revision = 0;
    };

    bool hasNews(const WatchState &watch) const;
    void compact(std::int64_t upTo);

    std::mutex mutex_;
    std::condition_variable changed_;
    Snapshot current_{{}, 1};
    std::optional<Snapshot> stale_;
    std::deque<KeyValue> changes_;
    std::int64_t compacted_ = 0;
    Control control_;
    std::uint64_t generation_ = 1;
    std::uint64_t silencedGeneration_ = 0;
    std::uint64_t nextLease_ = 1;
    Stats stats_;
    bool stopping_ = false;
};

} // namespace LaburnumFlow::StoreStandIn
