#pragma once

#include "base/counters.h"
#include "base/timerservice.h"
#include "platformstore.h"

#include <functional>
#include <memory>
#include <mutex>

namespace LaburnumFlow::Store {

/// Limits the rate of calls. The bucket holds the tokens of one second at most, which bounds a burst. Thread-safe.
class TokenBucket
{
public:
    explicit TokenBucket(std::uint32_t perSecond, Base::MonoTime now);

    /// Takes one token. Returns false if none is left.
    bool tryAcquire(Base::MonoTime now);

private:
    std::mutex mutex_;
    double perSecond_;
    double tokens_;
    Base::MonoTime refilledAt_;
};

struct CallRates {
    std::uint32_t readsPerSecond = 0;
    std::uint32_t writesPerSecond = 0;
};

/// Decorates a store and limits the rate of its calls to this process's share of the fleet's budget. A watch takes a token
/// of the reads. Increments the counters "store.read", "store.write" and "store.watch" for calls made, "store.unavailable"
/// for calls that fail with StoreUnavailable and "store.budget-exhausted" for calls that are rejected here.
class CallBudget : public PlatformStore
{
public:
    using Clock = std::function<Base::MonoTime()>;

    CallBudget(std::unique_ptr<PlatformStore> store, const CallRates &rates, Base::CounterRegistry &counters, Clock clock = &Base::monoNow);

    boost::leaf::result<RangeResult> range(std::string_view prefix, Base::Duration deadline) override;
    boost::leaf::result<SwapResult>
    compareAndSwap(std::string_view key, std::string_view value, std::int64_t expectedModRevision, Base::Duration deadline) override;
    boost::leaf::result<WatchBatch> watch(std::string_view prefix, std::int64_t afterRevision, Base::Duration deadline) override;

private:
    template<class Call>
    auto callWithinBudget(TokenBucket &bucket, Base::Counter &calls, Call call) -> decltype(call());

    std::unique_ptr<PlatformStore> store_;
    Clock clock_;
    TokenBucket readBucket_;
    TokenBucket writeBucket_;
    Base::Counter &readCalls_;
    Base::Counter &writeCalls_;
    Base::Counter &watchCalls_;
    Base::Counter &unavailable_;
    Base::Counter &budgetExhausted_;
};

} // namespace LaburnumFlow::Store
