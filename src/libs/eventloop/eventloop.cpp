#include "eventloop.h"

#include "base/timerservice.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <system_error>

namespace LaburnumFlow::EventLoop {

namespace {

constexpr int maxEventsPerWait = 128;

/// Returns the user data of an epoll event. The generation tells events of a closed descriptor from those of a later one with the same number.
std::uint64_t packEventData(int fd, std::uint32_t generation)
{
    return (static_cast<std::uint64_t>(generation) << 32U) | static_cast<std::uint32_t>(fd);
}

} // namespace

Loop::Loop() : epollFd_(epoll_create1(EPOLL_CLOEXEC)), now_(Base::monoNow())
{
    if (epollFd_ < 0) {
        throw std::system_error(errno, std::generic_category(), "epoll_create1");
    }
}

Loop::~Loop()
{
    ::close(epollFd_);
}

void Loop::watch(int fd, std::uint32_t events, FdCallback callback)
{
    WatchedFd &watched = watchedFds_[fd];
    const bool added = !watched.callback;
    watched.generation = ++lastGeneration_;
    watched.events = events;
    watched.callback = std::move(callback);
    epoll_event event{};
    event.events = events;
    event.data.u64 = packEventData(fd, watched.generation);
    epoll_ctl(epollFd_, added ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &event);
}

void Loop::change(int fd, std::uint32_t events)
{
    const auto found = watchedFds_.find(fd);
    if (found == watchedFds_.end() || found->second.events == events) {
        return;
    }
    found->second.events = events;
    epoll_event event{};
    event.events = events;
    event.data.u64 = packEventData(fd, found->second.generation);
    epoll_ctl(epollFd_, EPOLL_CTL_MOD, fd, &event);
}

void Loop::unwatch(int fd)
{
    if (watchedFds_.erase(fd) > 0) {
        epoll_ctl(epollFd_, EPOLL_CTL_DEL, fd, nullptr);
    }
}

TimerId Loop::callAt(Base::MonoTime due, Callback callback)
{
    const TimerId id = ++lastTimerId_;
    timers_.emplace(std::pair(due, id), std::move(callback));
    dueById_.emplace(id, due);
    return id;
}

TimerId Loop::callAfter(Base::Duration delay, Callback callback)
{
    return callAt(Base::monoNow() + delay, std::move(callback));
}

void Loop::cancel(TimerId timer)
{
    const auto found = dueById_.find(timer);
    if (found == dueById_.end()) {
        return;
    }
    timers_.erase({found->second, timer});
    dueById_.erase(found);
}

void Loop::defer(Callback callback)
{
    deferred_.push_back(std::move(callback));
}

void Loop::run()
{
    running_ = true;
    std::array<epoll_event, maxEventsPerWait> events{};
    while (running_) {
        now_ = Base::monoNow();
        runTimers();
        runDeferred();
        if (!running_) {
            break;
        }
        const int count = epoll_wait(epollFd_, events.data(), maxEventsPerWait, waitTimeoutMs());
        now_ = Base::monoNow();
        for (int i = 0; i < count; ++i) {
            const epoll_event &event = events.at(static_cast<std::size_t>(i));
            dispatch(static_cast<int>(event.data.u64 & 0xFFFFFFFFU), static_cast<std::uint32_t>(event.data.u64 >> 32U), event.events);
        }
    }
}

void Loop::stop()
{
    running_ = false;
}

void Loop::runDeferred()
{
    while (!deferred_.empty()) {
        std::vector<Callback> batch;
        batch.swap(deferred_);
        for (const Callback &callback : batch) {
            callback();
        }
    }
}

void Loop::runTimers()
{
    while (!timers_.empty() && timers_.begin()->first.first <= now_) {
        auto node = timers_.extract(timers_.begin());
        dueById_.erase(node.key().second);
        node.mapped()();
    }
}

int Loop::waitTimeoutMs() const
{
    if (!deferred_.empty()) {
        return 0;
    }
    if (timers_.empty()) {
        return -1;
    }
    const Base::Duration left = timers_.begin()->first.first - Base::monoNow();
    if (left <= Base::Duration::zero()) {
        return 0;
    }
    // Rounds up, so that the loop does not spin through the last millisecond.
    return static_cast<int>(std::min<std::int64_t>(left.count() / 1000 + 1, 3'600'000));
}

void Loop::dispatch(int fd, std::uint32_t generation, std::uint32_t events)
{
    const auto found = watchedFds_.find(fd);
    // An earlier callback of the same batch may have closed the descriptor, and its number may be in use again.
    if (found == watchedFds_.end() || found->second.generation != generation) {
        return;
    }
    const FdCallback callback = found->second.callback;
    callback(events);
}

} // namespace LaburnumFlow::EventLoop
