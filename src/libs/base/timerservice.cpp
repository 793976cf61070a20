#include "timerservice.h"

#include <pthread.h>
#include <time.h>

#include <algorithm>

namespace LaburnumFlow::Base {

MonoTime monoNow()
{
    // CLOCK_MONOTONIC stops while the computer is suspended. Leases and tokens must age during that time too.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<MonoTime>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime wallNow()
{
    return std::chrono::duration_cast<WallTime>(std::chrono::system_clock::now().time_since_epoch());
}

TimerService::TimerService()
    : thread_([this] {
        pthread_setname_np(pthread_self(), "timer");
        run();
    })
{
}

TimerService::~TimerService()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

TimerService::Subscription TimerService::subscribe(Duration interval, Callback callback)
{
    const std::lock_guard lock(mutex_);
    const Subscription id = nextSubscription_++;
    timers_.emplace(id, Timer{interval, monoNow() + interval, std::move(callback)});
    changed_.notify_all();
    return id;
}

void TimerService::unsubscribe(Subscription subscription)
{
    const std::lock_guard lock(mutex_);
    timers_.erase(subscription);
}

void TimerService::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        MonoTime nextDue = MonoTime::max();
        const MonoTime now = monoNow();
        for (auto &[id, timer] : timers_) {
            if (timer.due <= now) {
                timer.due = now + timer.interval;
                timer.callback();
            }
            nextDue = std::min(nextDue, timer.due);
        }
        if (nextDue == MonoTime::max()) {
            changed_.wait(lock);
        } else {
            changed_.wait_for(lock, std::max(nextDue - monoNow(), Duration(0)));
        }
    }
}

} // namespace LaburnumFlow::Base
