#pragma once

#include "taskagent/agentstate.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace LaburnumFlow::EntryNode::Testing {

using namespace std::chrono_literals;

/// A process of a worker that executes the calls of its agent. Its clock starts with it and is ahead of its age. It keeps the fence and the stopped runs
/// in memory only.
class ModelWorker
{
public:
    static constexpr std::int64_t firstStartTimeMs = 1'700'000'000'000;

    explicit ModelWorker(std::int64_t startTimeMs = firstStartTimeMs, Base::MonoTime startedAt = {}) : startTimeMs_(startTimeMs), startedAt_(startedAt) { }

    /// Ends the runs whose time is over and, when the lease has ended, all others.
    void expire(Base::MonoTime now);

    /// What the worker says to a start.
    enum class StartReply {
        Accepted,
        AlreadyRunning,
        LowFence,
        Outdated,
    };

    StartReply replyTo(const TaskAgent::CallStart &call, Base::MonoTime now) const;

    /// Starts a run that ends with the given outcome after the given time.
    void start(const TaskAgent::CallStart &call, Base::MonoTime now, Base::Duration runTime, Jobs::RunOutcome outcome);

    /// Returns whether the worker executes the call.
    bool stop(const TaskAgent::CallStop &call, Base::MonoTime now);

    /// An end that is acknowledged without a lapse of the lease since.
    struct AcknowledgedEnd {
        Jobs::RunEnd end;
        Base::MonoTime endedAt{};
    };

    /// Executes a hold call up to the wait for an end. Returns the ends that it acknowledges, or no value if its fence is too low.
    std::optional<std::vector<AcknowledgedEnd>> beginHold(const TaskAgent::CallHold &call, Base::MonoTime now);

    /// Returns the answer to a hold call that has waited. It lists the first \a maxEnds of the ends, or all if that is 0.
    TaskAgent::HoldAnswered endHold(const TaskAgent::CallHold &call, Base::MonoTime now, std::size_t maxEnds) const;

    /// Returns the ends since the last call, also those whose acknowledgement never comes.
    std::vector<Jobs::RunEnd> takeNewEnds()
    {
        return std::exchange(newEnds_, {});
    }

    bool runsTask(const Jobs::TaskRef &task) const;

    std::chrono::milliseconds clock(Base::MonoTime now) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - startedAt_) + clockStart;
    }

    std::int64_t startTimeMs() const
    {
        return startTimeMs_;
    }

private:
    static constexpr std::chrono::milliseconds clockStart = 5000ms;

    struct Run {
        Base::MonoTime startedAt{};
        Base::MonoTime endsAt{};
        Jobs::RunOutcome outcome = Jobs::RunOutcome::Done; ///< At that time.
    };

    void renewLease(std::chrono::milliseconds until, Base::MonoTime now);
    void recordEnd(const Jobs::RunRef &run, Jobs::RunOutcome outcome, Base::MonoTime at);

    std::int64_t startTimeMs_ = 0;
    Base::MonoTime startedAt_{};
    std::map<Jobs::RunRef, Run> runs_;
    std::map<std::uint64_t, AcknowledgedEnd> ends_;
    std::vector<Jobs::RunEnd> newEnds_;
    std::map<Jobs::TaskRef, std::uint32_t> latestRuns_;
    std::set<Jobs::RunRef> stopped_;
    std::uint64_t lastEnd_ = 0;
    std::uint64_t fence_ = 0;
    Base::MonoTime leaseEndsAt_{};
    Base::MonoTime lapsedAt_{}; ///< When the lease last ended.
};

} // namespace LaburnumFlow::EntryNode::Testing
