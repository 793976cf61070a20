#pragma once

#include "eventloop/eventloop.h"

#include <functional>

namespace LaburnumFlow::Node {

/// Delivers signals through the event loop. Must be created before other threads start, so that they inherit the blocked signals.
class Signals
{
public:
    explicit Signals(EventLoop::Loop &loop);
    ~Signals();
    Signals(const Signals &) = delete;
    Signals &operator=(const Signals &) = delete;

    /// Called on SIGTERM and SIGINT.
    std::function<void()> onStop;

    /// Called on SIGHUP.
    std::function<void()> onReload;

private:
    void read() const;

    EventLoop::Loop &loop_;
    int fd_ = -1;
};

} // namespace LaburnumFlow::Node
