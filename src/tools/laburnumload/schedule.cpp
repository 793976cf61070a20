#include "schedule.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace LaburnumFlow::Load {

namespace {

/// Mean of a log-uniform distribution.
double meanOf(const WorkClass &work)
{
    const double mean = work.maxMs > work.minMs ? (work.maxMs - work.minMs) / std::log(work.maxMs / work.minMs) : work.minMs;
    return mean * (1 + work.stragglerShare * (work.stragglerFactor - 1));
}

double meanJobMs(const Scenario &scenario)
{
    double total = 0;
    double shares = 0;
    for (const WorkClass &work : scenario.mix) {
        total += work.share * work.tasksPerJob * meanOf(work);
        shares += work.share;
    }
    return total / shares;
}

double loadAt(const Scenario &scenario, double seconds)
{
    double load = 0;
    for (const RateStep &step : scenario.steps) {
        load = step.atSeconds <= seconds ? step.load : load;
    }
    return load;
}

double drawRunMs(const WorkClass &work, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> unit(0, 1);
    const double base = work.minMs * std::pow(work.maxMs / work.minMs, unit(random));
    return unit(random) < work.stragglerShare ? base * work.stragglerFactor : base;
}

} // namespace

std::vector<PlannedJob> drawSchedule(const Scenario &scenario, std::uint64_t seed, std::size_t entries)
{
    std::mt19937_64 random(seed);
    std::vector<double> shares;
    for (const WorkClass &work : scenario.mix) {
        shares.push_back(work.share);
    }
    std::discrete_distribution<std::size_t> chooseClass(shares.begin(), shares.end());
    std::uniform_int_distribution<std::size_t> chooseEntry(0, entries - 1);
    std::uniform_real_distribution<double> unit(0, 1);
    const double jobsAtFullLoad = capacityMsPerSecond(scenario) / meanJobMs(scenario);
    double peak = 0;
    for (const RateStep &step : scenario.steps) {
        peak = std::max(peak, step.load);
    }
    std::exponential_distribution<double> gap(jobsAtFullLoad * peak);

    // Thinning: arrivals at the peak rate, of which the share that the step asks for is kept.
    std::vector<PlannedJob> jobs;
    for (double at = gap(random); at < scenario.durationSeconds; at += gap(random)) {
        if (unit(random) > loadAt(scenario, at) / peak) {
            continue;
        }
        PlannedJob job;
        job.atSeconds = at;
        job.workClass = chooseClass(random);
        const WorkClass &work = scenario.mix[job.workClass];
        for (int i = 0; i < work.tasksPerJob; ++i) {
            // On the platform the tasks of a step are equal.
            const bool equal = scenario.interface == Interface::Platform && i > 0;
            job.runMs.push_back(equal ? job.runMs.front() : drawRunMs(work, random));
        }
        job.entry = chooseEntry(random);
        job.cancel = unit(random) < scenario.cancelShare;
        job.resubmit = unit(random) < scenario.resubmitShare;
        jobs.push_back(std::move(job));
    }
    return jobs;
}

double idealMs(const Scenario &scenario, const PlannedJob &job)
{
    return *std::max_element(job.runMs.begin(), job.runMs.end()) / fastestSpeed(scenario);
}

} // namespace LaburnumFlow::Load
