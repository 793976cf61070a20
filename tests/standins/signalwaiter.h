#pragma once

#include <pthread.h>

#include <csignal>
#include <ctime>

namespace StandIns {

/// Waits for SIGTERM or SIGINT. To be made before any thread starts, as threads inherit the blocked signals.
class SignalWaiter
{
public:
    SignalWaiter()
    {
        sigemptyset(&signals_);
        sigaddset(&signals_, SIGTERM);
        sigaddset(&signals_, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    }

    void wait() const
    {
        int received = 0;
        sigwait(&signals_, &received);
    }

    /// Whether one came within the time, which is shorter than a second.
    bool waitFor(long nanoseconds) const
    {
        const timespec limit{0, nanoseconds};
        return sigtimedwait(&signals_, nullptr, &limit) >= 0;
    }

private:
    sigset_t signals_{};
};

} // namespace StandIns
