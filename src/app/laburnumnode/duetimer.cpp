#include "duetimer.h"

#include <utility>

namespace LaburnumFlow::Node {

DueTimer::DueTimer(EventLoop::Loop &loop, NextDue nextDue, EventLoop::Loop::Callback onDue)
    : loop_(loop), nextDue_(std::move(nextDue)), onDue_(std::move(onDue))
{
}

void DueTimer::arm()
{
    if (armed_) {
        return;
    }
    armed_ = true;
    loop_.defer([this] { set(); });
}

void DueTimer::set()
{
    armed_ = false;
    loop_.cancel(timer_);
    timer_ = 0;
    if (const auto due = nextDue_()) {
        timer_ = loop_.callAt(*due, [this] {
            timer_ = 0;
            onDue_();
        });
    }
}

} // namespace LaburnumFlow::Node
