#pragma once

#include "eventloop/eventloop.h"

#include "base/types.h"

namespace LaburnumFlow::Node {

/// Groups events into turns: calls back once for all requests of a while, at the end of the loop's current batch of callbacks, but not sooner than an interval after
/// the last turn. So the cost of a turn doesn't grow with the rate of events.
class TurnTimer
{
public:
    TurnTimer(EventLoop::Loop &loop, Base::Duration interval, EventLoop::Loop::Callback endTurn);

    /// Requests the end of the turn. Does nothing if it is requested already.
    void request();

    /// Returns whether a turn is requested that has not ended yet.
    bool isRequested() const
    {
        return requested_;
    }

private:
    void end();

    EventLoop::Loop &loop_;
    Base::Duration interval_;
    EventLoop::Loop::Callback endTurn_;
    bool requested_ = false;
    Base::MonoTime lastAt_{};
};

} // namespace LaburnumFlow::Node
