#pragma once

#include "messages.h"
#include "recorder.h"

#include "base/types.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// The agents and their workers as the owner sees them.
namespace LaburnumFlow::Jobs {

/// A run that is, or may be, on a worker.
struct ActiveRun {
    Resources need;
    std::uint64_t orders = 0; ///< number of the orders with its start; 0 if the agent listed it
    bool stopping = false;
    Base::MonoTime since{}; ///< when this owner learned of it or ordered it
};

/// What the ends of a worker's runs say about it.
struct WorkerHealth {
    double logSpeed = 0.0; ///< natural logarithm of the estimated over the actual run time, averaged
    std::uint32_t samples = 0;
    Base::MonoTime lastSampleAt{};
    std::uint32_t failures = 0; ///< weight of those in succession, of different jobs
    JobId lastFailedJob = 0;
    Base::MonoTime suspendedUntil{};
    Base::Duration suspension{};
    bool probing = false; ///< gets one run at a time until one is done
};

struct Agent {
    std::string name;
    bool linked = false;
    Base::MonoTime unlinkedAt{};
    bool recorded = false; ///< its name stands in the owner record
    bool reported = false; ///< a full report has come under this owner's epoch and on the present link
    std::int64_t token = 0;
    Base::MonoTime tokenAt{}; ///< when the youngest token arrived
    std::uint64_t ordersSent = 0; ///< number of the last orders
    Base::MonoTime ordersAt{}; ///< when orders were sent last
    std::optional<WorkerInfo> worker;
    bool workerSilent = false; ///< does not answer its agent
    Resources used; ///< by runs
    std::unordered_map<RunRef, ActiveRun, RunRefHash> runs;
    std::map<std::uint64_t, bool> ends; ///< not acknowledged yet; true if recorded
    std::uint64_t endsRecorded = 0;
    WorkerHealth health;
    OwnerOrders outbox; ///< orders that wait for the end of the reducer's step

    bool hasOrders() const
    {
        return !outbox.starts.empty() || !outbox.stops.empty() || !outbox.runRequirements.empty();
    }
};

/// Whether the worker may get new runs.
bool acceptsWork(const Agent &agent, Base::MonoTime now);

bool hasCapacityFor(const Agent &agent, const Resources &need);

/// orders: number of the orders with the start; 0 for a run that the agent listed.
void addRun(Agent &agent, const RunRef &run, const Resources &need, std::uint64_t orders, Base::MonoTime since);

/// Sets what a known run needs, as its agent may not know it.
void updateNeed(Agent &agent, const RunRef &run, const Resources &need);

/// Returns whether the run was known.
bool removeRun(Agent &agent, const RunRef &run);

/// Notes an end of the worker's list. Returns false if it was noted before.
bool registerEnd(Agent &agent, std::uint64_t number);

/// Marks an end as recorded and moves endsRecorded on.
void markEndRecorded(Agent &agent, std::uint64_t number);

/// Learns from a run that ended as done.
void recordSuccess(WorkerHealth &health, std::uint32_t estimateMs, std::uint32_t runTimeMs, Base::MonoTime now);

/// Learns from a run that failed or stalled; suspends the worker when failures of different jobs follow each other.
void recordFailure(WorkerHealth &health, JobId job, std::uint32_t weight, Base::MonoTime now);

/// Workers by kind of machine, for workers that have not ended a run yet.
class KindSpeeds
{
public:
    void addSample(const std::string &kind, std::uint32_t estimateMs, std::uint32_t runTimeMs);

    /// 0 if nothing is known about the kind.
    double logSpeed(const std::string &kind) const;

private:
    std::unordered_map<std::string, double> logSpeeds_;
};

/// The worker's expected speed. One that was found slow is given time to recover once no run of it has ended for a
/// while, as nothing else would show that it has recovered.
double expectedSpeed(const Agent &agent, const KindSpeeds &kinds, Base::MonoTime now);

} // namespace LaburnumFlow::Jobs
