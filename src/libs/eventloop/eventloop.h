#pragma once

#include "base/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

/// A single-threaded event loop: file descriptors, timers and deferred calls.
namespace LaburnumFlow::EventLoop {

/// Identifies a timer; 0 is never used.
using TimerId = std::uint64_t;

/// Runs callbacks on the thread that calls run(). Sleeps until a descriptor is ready or a timer is due, so that an idle process is not woken up. Not
/// thread-safe.
class Loop
{
public:
    using FdCallback = std::function<void(std::uint32_t events)>;
    using Callback = std::function<void()>;

    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// Calls back when any of the epoll events is ready on the descriptor, level-triggered. A second call for the same descriptor replaces the first.
    void watch(int fd, std::uint32_t events, FdCallback callback);

    /// Changes the events of a watched descriptor. Does nothing for other descriptors.
    void change(int fd, std::uint32_t events);

    /// Stops watching the descriptor. Must be called before the descriptor is closed.
    void unwatch(int fd);

    /// Calls back once, when monoNow() has reached the given time.
    TimerId callAt(Base::MonoTime due, Callback callback);

    /// Calls back once, when the delay has passed.
    TimerId callAfter(Base::Duration delay, Callback callback);

    /// Cancels a timer. Does nothing if it has run.
    void cancel(TimerId timer);

    /// Calls back before the loop sleeps next, also when called by a deferred callback.
    void defer(Callback callback);

    /// Runs the loop until a callback calls stop(), and returns after the current batch of callbacks.
    void run();
    void stop();

    /// Returns the time at which the current batch of callbacks began.
    Base::MonoTime now() const
    {
        return now_;
    }

private:
    struct WatchedFd {
        std::uint32_t generation = 0; ///< Tells apart successive watches of the same descriptor number
        std::uint32_t events = 0;
        FdCallback callback;
    };

    void runDeferred();
    void runTimers();
    int waitTimeoutMs() const;
    void dispatch(int fd, std::uint32_t generation, std::uint32_t events);

    int epollFd_ = -1;
    bool running_ = false;
    std::uint32_t lastGeneration_ = 0;
    std::unordered_map<int, WatchedFd> watchedFds_;
    std::map<std::pair<Base::MonoTime, TimerId>, Callback> timers_;
    std::unordered_map<TimerId, Base::MonoTime> dueById_;
    TimerId lastTimerId_ = 0;
    std::vector<Callback> deferred_;
    Base::MonoTime now_{};
};

} // namespace LaburnumFlow::EventLoop
