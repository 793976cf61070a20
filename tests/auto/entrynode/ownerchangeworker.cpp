#include "ownerchangeworker.h"

#include <algorithm>

namespace LaburnumFlow::EntryNode::Testing {

void ModelWorker::expire(Base::MonoTime now)
{
    if (now >= leaseEndsAt_) {
        lapsedAt_ = leaseEndsAt_;
    }
    for (auto run = runs_.begin(); run != runs_.end();) {
        const bool ended = run->second.endsAt <= std::min(now, leaseEndsAt_);
        if (!ended && now < leaseEndsAt_) {
            ++run;
            continue;
        }
        recordEnd(run->first, ended ? run->second.outcome : Jobs::RunOutcome::Lapsed, ended ? run->second.endsAt : leaseEndsAt_);
        run = runs_.erase(run);
    }
}

ModelWorker::StartReply ModelWorker::replyTo(const TaskAgent::CallStart &call, Base::MonoTime now) const
{
    if (call.fence < fence_) {
        return StartReply::LowFence;
    }
    if (runs_.contains(call.run)) {
        return StartReply::AlreadyRunning;
    }
    const auto latest = latestRuns_.find(call.run.task);
    const bool stale = stopped_.contains(call.run) || (latest != latestRuns_.end() && call.run.run <= latest->second);
    return stale || call.until <= clock(now) ? StartReply::Outdated : StartReply::Accepted;
}

void ModelWorker::start(const TaskAgent::CallStart &call, Base::MonoTime now, Base::Duration runTime, Jobs::RunOutcome outcome)
{
    fence_ = std::max(fence_, call.fence);
    latestRuns_[call.run.task] = call.run.run;
    renewLease(call.until, now);
    runs_[call.run] = {now, now + runTime, outcome};
}

bool ModelWorker::stop(const TaskAgent::CallStop &call, Base::MonoTime now)
{
    if (call.fence < fence_) {
        return false;
    }
    fence_ = call.fence;
    stopped_.insert(call.run);
    if (runs_.erase(call.run) > 0) {
        recordEnd(call.run, Jobs::RunOutcome::Stopped, now);
    }
    return true;
}

std::optional<std::vector<ModelWorker::AcknowledgedEnd>> ModelWorker::beginHold(const TaskAgent::CallHold &call, Base::MonoTime now)
{
    if (call.fence < fence_) {
        return std::nullopt;
    }
    fence_ = call.fence;
    std::vector<AcknowledgedEnd> acknowledged;
    const auto last = ends_.upper_bound(call.endsAckedToWorker);
    for (auto end = ends_.begin(); end != last; ++end) {
        if (lapsedAt_ < end->second.endedAt) {
            acknowledged.push_back(end->second);
        }
    }
    ends_.erase(ends_.begin(), last);
    if (call.until) {
        renewLease(*call.until, now);
    }
    return acknowledged;
}

TaskAgent::HoldAnswered ModelWorker::endHold(const TaskAgent::CallHold &call, Base::MonoTime now, std::size_t maxEnds) const
{
    TaskAgent::HoldAnswered answer{true, false, startTimeMs_, clock(now), call.number, call.calledAt, {}, {}};
    for (const auto &[ref, run] : runs_) {
        answer.running.push_back({ref, static_cast<int>((now - run.startedAt) * 99 / (run.endsAt - run.startedAt))});
    }
    for (const auto &[number, ended] : ends_) {
        // An agent can't tell a full list that is complete from one that isn't.
        answer.endsTruncated = maxEnds > 0 && answer.ends.size() + 1 >= maxEnds;
        answer.ends.push_back(ended.end);
        if (answer.endsTruncated) {
            break;
        }
    }
    return answer;
}

bool ModelWorker::runsTask(const Jobs::TaskRef &task) const
{
    return std::any_of(runs_.begin(), runs_.end(), [&task](const auto &run) { return run.first.task == task; });
}

void ModelWorker::renewLease(std::chrono::milliseconds until, Base::MonoTime now)
{
    leaseEndsAt_ = std::max(leaseEndsAt_, std::min<Base::MonoTime>(startedAt_ + (until - clockStart), now + 1s));
}

void ModelWorker::recordEnd(const Jobs::RunRef &run, Jobs::RunOutcome outcome, Base::MonoTime at)
{
    ++lastEnd_;
    ends_[lastEnd_] = {{lastEnd_, run, outcome, 0}, at};
    newEnds_.push_back(ends_[lastEnd_].end);
}

} // namespace LaburnumFlow::EntryNode::Testing
