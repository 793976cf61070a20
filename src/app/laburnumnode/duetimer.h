#pragma once

#include "base/types.h"
#include "eventloop/eventloop.h"

#include <functional>
#include <optional>

namespace LaburnumFlow::Node {

/// Wakes a process when its reducers next need a TimePassed event.
class DueTimer
{
public:
    using NextDue = std::function<std::optional<Base::MonoTime>()>;

    DueTimer(EventLoop::Loop &loop, NextDue nextDue, EventLoop::Loop::Callback onDue);

    /// Sets the timer anew at the end of the event loop's round. Cheap enough to be called after each event.
    void arm();

private:
    void set();

    EventLoop::Loop &loop_;
    NextDue nextDue_;
    EventLoop::Loop::Callback onDue_;
    EventLoop::TimerId timer_ = 0;
    bool armed_ = false;
};

} // namespace LaburnumFlow::Node
