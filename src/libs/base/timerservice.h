#pragma once

#include "types.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace LaburnumFlow::Base {

/// Returns the time since the computer started, including the time for which it was suspended.
MonoTime monoNow();

/// Returns the time of the system clock, which may be set back.
WallTime wallNow();

/// Calls subscribers at fixed intervals from one thread named "timer". Callbacks must return quickly, since they share the thread, and must not call the
/// service, whose lock is held while they run.
class TimerService
{
public:
    using Callback = std::function<void()>;
    using Subscription = std::uint64_t;

    TimerService();
    ~TimerService();
    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    /// Calls back once per interval until unsubscribed. The next call is due one interval after the actual time of the last, so that calls that were missed
    /// are not made up for.
    Subscription subscribe(Duration interval, Callback callback);

    /// Waits for a running callback. The callback does not run again after the return.
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
