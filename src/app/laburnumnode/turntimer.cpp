#include "turntimer.h"

#include "base/timerservice.h"

#include <utility>

namespace LaburnumFlow::Node {

TurnTimer::TurnTimer(EventLoop::Loop &loop, Base::Duration interval, EventLoop::Loop::Callback endTurn)
    : loop_(loop), interval_(interval), endTurn_(std::move(endTurn))
{
}

void TurnTimer::request()
{
    if (requested_) {
        return;
    }
    requested_ = true;
    const Base::MonoTime due = lastAt_ + interval_;
    if (loop_.now() >= due) {
        loop_.defer([this] { end(); });
    } else {
        loop_.callAt(due, [this] { end(); });
    }
}

void TurnTimer::end()
{
    requested_ = false;
    // A request by the callback itself waits for the interval, so that the loop handles other events before.
    lastAt_ = Base::monoNow();
    endTurn_();
}

} // namespace LaburnumFlow::Node
