#pragma once

#include "ownerharness.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// Workers and callers around the owner's reducer, for patterns of load. Time passes in steps of 2 ms; no sockets.
namespace LaburnumFlow::Jobs::Testing {

struct KindOfWork {
    std::string queue;
    std::uint32_t priority = 0;
    std::uint32_t tasks = 1;
    std::uint32_t meanMs = 100; ///< of a task on a worker of speed 1
    double perSecond = 0.0;
};

struct KindResult {
    std::uint32_t asked = 0;
    std::uint32_t inTime = 0;
    std::uint32_t late = 0; ///< up to maxLatenessFactor objectives
    std::uint32_t useless = 0;
    std::uint32_t refused = 0;
};

class CrestModel
{
public:
    CrestModel(std::uint64_t seed, std::uint32_t workers, std::uint32_t coresEach);

    /// Lets jobs arrive at random times for so long, at factor times the rate of their kinds.
    void run(const std::vector<KindOfWork> &kinds, double factor, Base::Duration time);

    /// Lets all jobs end that have arrived.
    void finish();

    /// Counts only jobs that arrive from now on.
    void forget();

    const std::map<std::string, KindResult> &results() const
    {
        return results_;
    }

    /// Work of the jobs that were in time, in core milliseconds.
    double usefulWork() const
    {
        return usefulWork_;
    }

private:
    struct OpenJob {
        std::string queue;
        Base::MonoTime arrivedAt{};
        Base::Duration objective{};
        std::uint32_t taskMs = 0; ///< that the tasks really take at speed 1
        double work = 0.0; ///< core milliseconds
        bool counted = true;
    };

    void step();
    void submit(const KindOfWork &kind);
    void beginRuns();
    void endRuns();
    void collectAnswers();
    void count(const OpenJob &job, const CallAnswer &answer);

    std::mt19937_64 random_;
    std::vector<std::string> agents_;
    std::vector<double> speeds_;
    OwnerHarness owner_;
    std::map<std::string, std::size_t> seen_; ///< starts at the agent
    std::multimap<Base::MonoTime, std::pair<std::string, RunRef>> running_;
    std::map<CallId, OpenJob> open_;
    std::map<std::string, KindResult> results_;
    double usefulWork_ = 0.0;
    CallId lastCall_ = 0;
};

} // namespace LaburnumFlow::Jobs::Testing
