#pragma once

#include "taskagent/agentstate.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace LaburnumFlow::EntryNode::Testing {

using namespace std::chrono_literals;

constexpr std::int64_t workerStartTimeMs = 1'700'000'000'000;

/// A worker that executes the calls of its agent. Its clock is ahead of the model's time.
class ModelWorker
{
public:
    /// Ends the runs that are done and, when the lease has ended, all others.
    void expire(Base::MonoTime now)
    {
        for (auto run = runs_.begin(); run != runs_.end();) {
            const bool done = run->second.endsAt <= std::min(now, leaseEndsAt_);
            if (!done && now < leaseEndsAt_) {
                ++run;
                continue;
            }
            recordEnd(run->first, done ? Jobs::RunOutcome::Done : Jobs::RunOutcome::Lapsed);
            run = runs_.erase(run);
        }
    }

    /// Returns whether the worker executes the call.
    bool accepts(const TaskAgent::CallStart &call, Base::MonoTime now) const
    {
        const auto latest = latestRuns_.find(call.run.task);
        const bool stale = barred_.contains(call.run) || (latest != latestRuns_.end() && call.run.run <= latest->second);
        return call.fence >= fence_ && !stale && call.until > clock(now);
    }

    void start(const TaskAgent::CallStart &call, Base::MonoTime now, Base::Duration runTime)
    {
        fence_ = std::max(fence_, call.fence);
        latestRuns_[call.run.task] = call.run.run;
        renewLease(call.until, now);
        runs_[call.run] = {now, now + runTime};
    }

    void stop(const TaskAgent::CallStop &call)
    {
        fence_ = std::max(fence_, call.fence);
        barred_.insert(call.run);
        if (runs_.erase(call.run) > 0) {
            recordEnd(call.run, Jobs::RunOutcome::Stopped);
        }
    }

    TaskAgent::HoldAnswered hold(const TaskAgent::CallHold &call, Base::MonoTime now)
    {
        ends_.erase(ends_.begin(), ends_.upper_bound(call.endsAckedToWorker));
        TaskAgent::HoldAnswered answer{true, false, workerStartTimeMs, clock(now), call.number, call.calledAt, {}, {}};
        for (const auto &[ref, run] : runs_) {
            answer.running.push_back({ref, static_cast<int>((now - run.startedAt) * 99 / (run.endsAt - run.startedAt))});
        }
        for (const auto &[number, end] : ends_) {
            answer.ends.push_back(end);
        }
        return answer;
    }

    void beginHold(const TaskAgent::CallHold &call, Base::MonoTime now)
    {
        if (call.fence < fence_) {
            return;
        }
        fence_ = call.fence;
        if (call.until) {
            renewLease(*call.until, now);
        }
    }

    bool runsTask(const Jobs::TaskRef &task) const
    {
        return std::any_of(runs_.begin(), runs_.end(), [&task](const auto &run) { return run.first.task == task; });
    }

    static std::chrono::milliseconds clock(Base::MonoTime now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now) + 5000ms;
    }

private:
    struct Run {
        Base::MonoTime startedAt{};
        Base::MonoTime endsAt{};
    };

    void renewLease(std::chrono::milliseconds until, Base::MonoTime now)
    {
        leaseEndsAt_ = std::max(leaseEndsAt_, std::min<Base::MonoTime>(until - 5000ms, now + 1s));
    }

    void recordEnd(const Jobs::RunRef &run, Jobs::RunOutcome outcome)
    {
        ++lastEnd_;
        ends_[lastEnd_] = {lastEnd_, run, outcome, 0};
    }

    std::map<Jobs::RunRef, Run> runs_;
    std::map<std::uint64_t, Jobs::RunEnd> ends_;
    std::map<Jobs::TaskRef, std::uint32_t> latestRuns_;
    std::set<Jobs::RunRef> barred_;
    std::uint64_t lastEnd_ = 0;
    std::uint64_t fence_ = 0;
    Base::MonoTime leaseEndsAt_{};
};

} // namespace LaburnumFlow::EntryNode::Testing
