#pragma once

#include "eventloop/eventloop.h"

#include <functional>

namespace LaburnumFlow::Node {

/// Passes signals to the event loop. Made before other threads start, as they inherit the blocked signals.
class Signals
{
public:
    explicit Signals(EventLoop::Loop &loop);
    ~Signals();
    Signals(const Signals &) = delete;
    Signals &operator=(const Signals &) = delete;

    /// SIGTERM and SIGINT.
    std::function<void()> onStop;

    /// SIGHUP.
    std::function<void()> onReload;

private:
    void read() const;

    EventLoop::Loop &loop_;
    int fd_ = -1;
};

} // namespace LaburnumFlow::Node
