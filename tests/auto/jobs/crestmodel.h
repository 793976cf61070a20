#pragma once

#include "ownerharness.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// Simulates workers and callers around the owner's reducer under load. Time advances in steps of 2 ms; no sockets.
namespace LaburnumFlow::Jobs::Testing {

struct JobProfile {
    std::string queue;
    std::uint32_t priority = 0;
    std::uint32_t tasks = 1;
    std::uint32_t medianTaskMs = 100; ///< Median run time of a task on a worker of speed 1
    double jobsPerSecond = 0.0;
};

struct QueueResult {
    std::uint32_t submitted = 0;
    std::uint32_t inTime = 0;
    std::uint32_t late = 0; ///< Answered after the objective, up to maxLatenessFactor times it
    std::uint32_t tooLate = 0; ///< Answered even later
    std::uint32_t refused = 0;
};

class LoadModel
{
public:
    LoadModel(std::uint64_t seed, std::uint32_t workers, std::uint32_t coresEach);

    /// Submits jobs at random times for the given duration, at the rate of each profile times the factor.
    void run(const std::vector<JobProfile> &profiles, double factor, Base::Duration time);

    /// Runs until all submitted jobs are answered, for at most 50,000 steps.
    void drain();

    /// Clears the results. Jobs submitted before the call are not counted.
    void resetResults();

    const std::map<std::string, QueueResult> &results() const
    {
        return results_;
    }

    /// Returns how many workers have got no run so far.
    std::size_t idleWorkers() const;

    /// Returns the work of the jobs that were answered in time, in core milliseconds.
    double usefulWork() const
    {
        return usefulWork_;
    }

private:
    struct PendingJob {
        std::string queue;
        Base::MonoTime arrivedAt{};
        Base::Duration objective{};
        std::uint32_t taskMs = 0; ///< Actual run time of each task at speed 1
        double work = 0.0; ///< Core milliseconds
        bool isCounted = true;
    };

    void step();
    void submit(const JobProfile &profile);
    void startRuns();
    void endRuns();
    void handleAnswers();
    void count(const PendingJob &job, const CallAnswer &answer);

    std::mt19937_64 random_;
    std::vector<std::string> agents_;
    std::vector<double> speeds_;
    OwnerHarness owner_;
    std::map<std::string, std::size_t> handledStarts_; ///< Number of simulated starts, by agent
    std::multimap<Base::MonoTime, std::pair<std::string, RunRef>> running_; ///< By the time of their end, with the agent
    std::map<CallId, PendingJob> pendingJobs_;
    std::map<std::string, QueueResult> results_;
    double usefulWork_ = 0.0;
    CallId lastCall_ = 0;
};

} // namespace LaburnumFlow::Jobs::Testing
