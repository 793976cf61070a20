#pragma once

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// The load and experiment tool: draws arrivals beforehand, sends them open-loop and reports what became of them.
namespace LaburnumFlow::Load {

/// One kind of work in the mix.
struct WorkClass {
    std::string kind;
    double share = 1; ///< of all jobs, relative to the other classes
    double minMs = 50; ///< run time at speed 1, drawn log-uniformly between minMs and maxMs
    double maxMs = 1000;
    double stragglerShare = 0; ///< of the tasks
    double stragglerFactor = 10;
    int tasksPerJob = 1;
    bool isShort = true; ///< counted as short work in the report
};

/// From this time on jobs arrive at this rate, as a Poisson process.
struct RateStep {
    double atSeconds = 0;
    double load = 0.5; ///< offered work relative to the capacity of all workers
};

struct WorkerShape {
    int count = 1;
    int slots = 8;
    double speed = 1;
};

/// How jobs are handed in.
enum class Interface : std::uint8_t {
    Jobs, ///< the product's own: one call answers with the results
    Platform, ///< that of the users' platform
};

/// An experiment, read from YAML.
struct Scenario {
    std::string name;
    Interface interface = Interface::Jobs;
    std::string team = "adire"; ///< Interface::Jobs
    std::string host = "q.example"; ///< Interface::Platform: of the queue's route
    std::string prefix = "/q/"; ///< Interface::Platform: of the queue's route
    bool stored = false; ///< Interface::Platform: jobs are stored, and their state is asked for until they have ended
    double durationSeconds = 10;
    double clientDelayMs = 0; ///< one way, added to each answer's time on both ends
    int deadlineMs = 10'000;
    int resendMs = 0; ///< pause before a job without an answer is sent again, under its id and to the next entry; 0: it is not
    double cancelShare = 0; ///< of the jobs, cancelled at half of their ideal time
    double resubmitShare = 0; ///< of the jobs, sent a second time to another entry at once
    std::vector<WorkClass> mix;
    std::vector<RateStep> steps;
    std::vector<WorkerShape> workers;
};

/// The scenario file can't be read or has a fault.
struct BadScenario {
    std::string detail;
};

/// Fails with BadScenario.
boost::leaf::result<Scenario> loadScenario(const std::string &path);

/// Work that all workers do per second, in milliseconds at speed 1.
double capacityMsPerSecond(const Scenario &scenario);

/// The largest speed of a worker.
double fastestSpeed(const Scenario &scenario);

} // namespace LaburnumFlow::Load
