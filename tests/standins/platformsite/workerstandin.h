#pragma once

#include "standinserver.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace PlatformSite {

struct WorkerShape {
    std::string id = "worker-1";
    std::string rack = "r1";
    std::uint32_t slots = 8; ///< tasks of one core each
    double speed = 1.0;
};

/// A worker that runs tasks for as many milliseconds as their payload says, under a lease, and keeps a record of what it
/// started.
class WorkerStandIn
{
public:
    struct Run {
        std::string task;
        std::uint32_t run = 0;
        std::chrono::steady_clock::time_point begin;
        std::chrono::steady_clock::time_point end; ///< planned, or when it was stopped or lapsed
        std::string how; ///< empty while it runs
    };

    explicit WorkerStandIn(WorkerShape shape = {});

    std::string endpoint() const
    {
        return server_.endpoint();
    }

    /// The path and the body of its next heartbeat.
    std::string heartbeatPath() const;
    std::string heartbeat();

    /// Begins a new incarnation: what runs is gone, and ends that were not forgotten are no longer known.
    void restart();

    /// All runs that were ever started, in order.
    std::vector<Run> runs();

    /// Whether two runs of one task were at work at the same time.
    bool overlapped();

private:
    using Clock = std::chrono::steady_clock;

    StandInReply answer(const StandInRequest &request);
    StandInReply start(const std::string &body);
    StandInReply stop(const std::string &body);
    StandInReply hold(const std::string &body, std::unique_lock<std::mutex> &lock);
    std::int64_t clockMs() const;
    void renew(std::int64_t untilMs);
    void settle();
    void finish(std::size_t index, const std::string &how, Clock::time_point at);

    WorkerShape shape_;
    std::mutex mutex_;
    std::condition_variable changed_;
    Clock::time_point born_ = Clock::now();
    std::int64_t bornMs_;
    std::vector<Run> runs_;
    std::vector<std::size_t> active_; ///< indexes of runs that are at work
    std::map<std::string, std::uint32_t> highestRun_; ///< by task
    std::vector<std::pair<std::uint64_t, std::size_t>> ended_; ///< number and run of what was not forgotten
    std::map<std::pair<std::string, std::uint32_t>, bool> barred_;
    std::uint64_t lastNumber_ = 0;
    std::uint64_t forgotten_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t beats_ = 0;
    Clock::time_point leaseEnd_{};
    StandInServer server_;
};

/// Whether two runs of one task were at work at the same time.
bool overlap(std::vector<WorkerStandIn::Run> runs);

} // namespace PlatformSite
