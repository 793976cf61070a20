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

namespace NodeTest {

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

    WorkerStandIn();

    std::string endpoint() const
    {
        return server_.endpoint();
    }

    /// Announces the worker to its agent, once. Returns the status.
    long announce(const std::string &agent);

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
    bool isRunning(std::size_t index) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    Clock::time_point born_ = Clock::now();
    std::int64_t bornMs_;
    std::vector<Run> runs_;
    std::vector<std::pair<std::uint64_t, std::size_t>> ended_; ///< number and run
    std::map<std::pair<std::string, std::uint32_t>, bool> barred_;
    std::uint64_t lastNumber_ = 0;
    std::uint64_t forgotten_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t beats_ = 0;
    Clock::time_point leaseEnd_{};
    StandInServer server_;
};

} // namespace NodeTest
