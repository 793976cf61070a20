#pragma once

#include "runtime/lifecycle.h"

#include <atomic>
#include <functional>

namespace LaburnumFlow::Daemon {

/// Waits in the main thread for signals and for the end of a drain. Made before any other thread, since it blocks the
/// signals in this one and threads inherit that.
class LifecycleWaiter
{
public:
    LifecycleWaiter();
    ~LifecycleWaiter();
    LifecycleWaiter(const LifecycleWaiter &) = delete;
    LifecycleWaiter &operator=(const LifecycleWaiter &) = delete;

    /// For the runtime; wakes wait().
    Runtime::Lifecycle callbacks();

    /// Calls requestDrain on the first SIGTERM or SIGINT and returns the status to exit with: 0 after a finished
    /// drain, 1 if it took longer than drainLimit or a second signal came.
    int wait(const std::function<void()> &requestDrain);

private:
    void wake() const;

    int signalFd_ = -1;
    int wakeFd_ = -1;
    std::atomic<bool> draining_{false};
    std::atomic<bool> finished_{false};
};

} // namespace LaburnumFlow::Daemon
