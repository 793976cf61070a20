#pragma once

#include "types.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace LaburnumFlow::Base {

/// Microseconds since the machine started, including the time for which it was suspended.
MonoTime monoNow();

/// Milliseconds of the system clock.
WallTime wallNow();

/// Calls subscribers at fixed intervals from one thread named "timer". Callbacks must return quickly, since they
/// share the thread, and must not call back into the service.
class TimerService
{
public:
    using Callback = std::function<void()>;
    using Subscription = std::uint64_t;

    TimerService();
    ~TimerService();
    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    /// Calls back every interval until unsubscribed; a late call is not made up for.
    Subscription subscribe(Duration interval, Callback callback);

    /// After return the callback no longer runs.
    void unsubscribe(Subscription subscription);

private:
    struct Timer {
        Duration interval{};
        MonoTime due{};
        Callback callback;
    };

    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Subscription, Timer> timers_;
    Subscription nextSubscription_ = 1;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace LaburnumFlow::Base
