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

/// Runs callbacks on the thread that calls run(). It sleeps until a descriptor is ready or a timer is due, so an idle
/// process is not woken up. No call is thread-safe.
class Loop
{
public:
    using FdCallback = std::function<void(std::uint32_t events)>;
    using Callback = std::function<void()>;

    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// Calls back with the epoll events of the descriptor, level-triggered. A second call for the same descriptor
    /// replaces the first.
    void watch(int fd, std::uint32_t events, FdCallback callback);

    /// Changes the events of a watched descriptor.
    void change(int fd, std::uint32_t events);

    /// Must be called before the descriptor is closed.
    void unwatch(int fd);

    /// Calls back once at the given time of monoNow(), or soon after.
    TimerId callAt(Base::MonoTime due, Callback callback);
    TimerId callAfter(Base::Duration delay, Callback callback);
    void cancel(TimerId timer);

    /// Calls back before the loop sleeps next.
    void defer(Callback callback);

    /// Returns after stop().
    void run();
    void stop();

    /// The time at which the current round of callbacks began.
    Base::MonoTime now() const
    {
        return now_;
    }

private:
    struct WatchedFd {
        std::uint32_t generation = 0;
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
