#pragma once

#include "base/timerservice.h"

#include <pthread.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

/// Infrastructure shared by the runtimes of the entry and the agent.
namespace LaburnumFlow::Runtime {

constexpr Base::Duration tickInterval = std::chrono::milliseconds(10); ///< Interval of TimePassed events while no other events arrive

/// Queues events and passes them to a handler on a thread named "reducer". The handler gets a TimePassed before each batch of events and on each tick.
template<class Event, class TimePassed>
class ReducerThread
{
public:
    using Handler = std::function<void(const Event &)>;

    explicit ReducerThread(Handler handler) : handler_(std::move(handler)) { }

    ~ReducerThread()
    {
        stop();
    }

    ReducerThread(const ReducerThread &) = delete;
    ReducerThread &operator=(const ReducerThread &) = delete;

    /// Starts the thread. Events that were posted before are handled first.
    void start()
    {
        thread_ = std::thread([this] {
            pthread_setname_np(pthread_self(), "reducer");
            run();
        });
        tickSubscription_ = timer_.subscribe(tickInterval, [this] { tick(); });
    }

    /// Queues the event. Thread-safe.
    void post(Event event)
    {
        {
            const std::lock_guard lock(mutex_);
            events_.push_back(std::move(event));
        }
        changed_.notify_one();
    }

    /// Stops the thread and waits for its end. Drops the events that are still queued.
    void stop()
    {
        if (!thread_.joinable()) {
            return;
        }
        timer_.unsubscribe(tickSubscription_);
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        changed_.notify_one();
        thread_.join();
    }

private:
    void tick()
    {
        {
            const std::lock_guard lock(mutex_);
            tickDue_ = true;
        }
        changed_.notify_one();
    }

    void run()
    {
        std::vector<Event> batch;
        while (takeBatch(batch)) {
            handler_(TimePassed{Base::monoNow(), Base::wallNow()});
            for (const Event &event : batch) {
                handler_(event);
            }
            batch.clear();
        }
    }

    /// Waits for events or a tick. Returns false if the thread is to stop.
    bool takeBatch(std::vector<Event> &batch)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return stopping_ || tickDue_ || !events_.empty(); });
        tickDue_ = false;
        batch.swap(events_);
        return !stopping_;
    }

    Handler handler_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<Event> events_;
    bool tickDue_ = false;
    bool stopping_ = false;
    std::thread thread_;
    Base::TimerService timer_;
    Base::TimerService::Subscription tickSubscription_ = 0;
};

} // namespace LaburnumFlow::Runtime
