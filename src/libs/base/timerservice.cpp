#include "timerservice.h"

#include <pthread.h>
#include <time.h>

#include <algorithm>

namespace LaburnumFlow::Base {

MonoTime monoNow()
{
    // CLOCK_MONOTONIC stops while the machine is suspended; leases and tokens must age then too.
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
    const Subscription id = next_++;
    entries_.emplace(id, Entry{interval, monoNow() + interval, std::move(callback)});
    changed_.notify_all();
    return id;
}

void TimerService::unsubscribe(Subscription subscription)
{
    const std::lock_guard lock(mutex_);
    entries_.erase(subscription);
}

void TimerService::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        MonoTime next = MonoTime::max();
        const MonoTime now = monoNow();
        for (auto &[id, entry] : entries_) {
            if (entry.due <= now) {
                entry.due = now + entry.interval;
                entry.callback();
            }
            next = std::min(next, entry.due);
        }
        if (next == MonoTime::max()) {
            changed_.wait(lock);
        } else {
            changed_.wait_for(lock, std::max(next - monoNow(), Duration(0)));
        }
    }
}

} // namespace LaburnumFlow::Base
