#include "callbudget.h"

#include "storeconstants.h"

#include <algorithm>

namespace LaburnumFlow::Store {

TokenBucket::TokenBucket(std::uint32_t perSecond, Base::MonoTime now) : perSecond_(perSecond), tokens_(perSecond), refilledAt_(now) { }

bool TokenBucket::tryAcquire(Base::MonoTime now)
{
    const std::lock_guard lock(mutex_);
    // Another thread may have read the clock later and acquired the lock earlier.
    if (now > refilledAt_) {
        tokens_ = std::min(perSecond_, tokens_ + perSecond_ * std::chrono::duration<double>(now - refilledAt_).count());
        refilledAt_ = now;
    }
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

CallBudget::CallBudget(std::unique_ptr<PlatformStore> store, const CallRates &rates, Base::CounterRegistry &counters, Clock clock)
    : store_(std::move(store))
    , clock_(std::move(clock))
    , readBucket_(rates.readsPerSecond, clock_())
    , writeBucket_(rates.writesPerSecond, clock_())
    , readCalls_(counters.counter("store.read"))
    , writeCalls_(counters.counter("store.write"))
    , watchCalls_(counters.counter("store.watch"))
    , unavailable_(counters.counter("store.unavailable"))
    , budgetExhausted_(counters.counter("store.budget-exhausted"))
{
}

template<class Call>
auto CallBudget::callWithinBudget(TokenBucket &bucket, Base::Counter &calls, Call call) -> decltype(call())
{
    using Result = decltype(call());
    if (!bucket.tryAcquire(clock_())) {
        budgetExhausted_.add();
        return boost::leaf::new_error(BudgetExhausted{});
    }
    calls.add();
    // Returns the error under its own id: LEAF would overwrite a new error of the same type with the handled one.
    return boost::leaf::try_handle_some(call, [this](const boost::leaf::error_info &info, const StoreUnavailable &) -> Result {
        unavailable_.add();
        return info.error();
    });
}

boost::leaf::result<RangeResult> CallBudget::range(std::string_view prefix, Base::Duration deadline)
{
    return callWithinBudget(readBucket_, readCalls_, [&] { return store_->range(prefix, deadline); });
}

boost::leaf::result<SwapResult>
CallBudget::compareAndSwap(std::string_view key, std::string_view value, std::int64_t expectedModRevision, Base::Duration deadline)
{
    // Rejected before the budget is charged, as such a value is never sent to the store.
    if (value.size() > maxValueBytes) {
        return boost::leaf::new_error(ValueTooLarge{value.size()});
    }
    return callWithinBudget(writeBucket_, writeCalls_, [&] { return store_->compareAndSwap(key, value, expectedModRevision, deadline); });
}

boost::leaf::result<WatchBatch> CallBudget::watch(std::string_view prefix, std::int64_t afterRevision, Base::Duration deadline)
{
    return callWithinBudget(readBucket_, watchCalls_, [&] { return store_->watch(prefix, afterRevision, deadline); });
}

} // namespace LaburnumFlow::Store
