#pragma once

#include "messages.h"
#include "recorder.h"

#include "base/types.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// The owner's view of the agents and their workers.
namespace LaburnumFlow::Jobs {

/// A run that is running on a worker or may be.
struct ActiveRun {
    Resources need;
    std::uint64_t orders = 0; ///< Number of the orders with its start; 0 if the owner learned of it from the agent's report.
    bool stopping = false;
    Base::MonoTime since{}; ///< When this owner ordered the run or learned of it.
};

/// Speed and reliability of a worker, estimated from the ends of its runs.
struct WorkerHealth {
    double logSpeed = 0.0; ///< Smoothed natural logarithm of the ratio of estimated to actual run time.
    std::uint32_t samples = 0;
    Base::MonoTime lastSampleAt{};
    std::uint32_t failures = 0; ///< Summed weight of consecutive failures of different jobs.
    JobId lastFailedJob = 0;
    Base::MonoTime suspendedUntil{};
    Base::Duration suspension{};
    bool probing = false; ///< The worker gets one run at a time, the probe, until a run is done there.
    std::optional<RunRef> probe = {}; ///< Latest run that has started since probing began; not set if it has ended.
    Base::MonoTime probeAt = {}; ///< When the probe started.
};

struct Agent {
    std::string name;
    bool linked = false;
    Base::MonoTime unlinkedAt{};
    bool recorded = false; ///< The owner record lists the agent.
    bool reported = false; ///< A full report under this owner's epoch has arrived on the current link.
    std::int64_t token = 0;
    Base::MonoTime tokenAt{}; ///< When the last report arrived.
    std::uint64_t ordersSent = 0; ///< Number of the last orders.
    Base::MonoTime ordersAt{}; ///< When orders were last sent.
    std::optional<WorkerInfo> worker;
    bool workerSilent = false; ///< The worker doesn't answer its agent.
    Resources used; ///< Sum of the needs of runs.
    std::unordered_map<RunRef, ActiveRun, RunRefHash> runs;
    std::map<std::uint64_t, bool> ends; ///< Ends not acknowledged yet, by number; true if recorded.
    std::uint64_t endsRecorded = 0; ///< All ends up to this number are recorded.
    std::uint64_t endsToLapse = 0; ///< As in OwnerOrders.
    /// This owner, or one before it that the agent didn't follow, may have repeated tasks that the agent had before its first full report. No value before
    /// that report.
    std::optional<bool> reportedLate;
    WorkerHealth health;
    OwnerOrders outbox; ///< Orders to be sent at the end of the reducer's step.

    bool hasOrders() const
    {
        return !outbox.starts.empty() || !outbox.stops.empty() || !outbox.runRequirements.empty();
    }
};

/// Returns whether the worker may get new runs.
bool acceptsWork(const Agent &agent, Base::MonoTime now);

/// Returns whether the worker has the needed resources free.
bool hasCapacityFor(const Agent &agent, const Resources &need);

/// Adds a run unless it is known. \a orders is the number of the orders with its start, or 0 for a run that the agent listed. Returns whether it was added.
bool addRun(Agent &agent, const RunRef &run, const Resources &need, std::uint64_t orders, Base::MonoTime since);

/// Makes the run, which starts now, the probe of a worker that needs one.
void beginProbe(WorkerHealth &health, const RunRef &run, Base::MonoTime now);

/// Returns when the worker may get another run although its probe still runs; null if it doesn't wait for a probe.
std::optional<Base::MonoTime> probeDue(const WorkerHealth &health);

/// Replaces the need of a known run, as a restarted agent may not have reported it.
void updateNeed(Agent &agent, const RunRef &run, const Resources &need);

/// Removes a run. Returns whether it was known.
bool removeRun(Agent &agent, const RunRef &run);

/// Registers an end that the worker listed. Returns false if it is registered or acknowledged already. Ends without a number always count as new.
bool registerEnd(Agent &agent, std::uint64_t number);

/// Marks an end as recorded and advances endsRecorded over all consecutive recorded ends.
void markEndRecorded(Agent &agent, std::uint64_t number);

/// Updates the health with a run that was done. A run time of 0 is unknown and does not change the speed.
void recordSuccess(WorkerHealth &health, std::uint32_t estimateMs, std::uint32_t runTimeMs, Base::MonoTime now);

/// Updates the health with a failure. Suspends the worker after enough consecutive failures of different jobs.
void recordFailure(WorkerHealth &health, JobId job, std::uint32_t weight, Base::MonoTime now);

/// Estimates the speed of each hardware kind, for workers that haven't ended a run yet.
class KindSpeeds
{
public:
    void addSample(const std::string &kind, std::uint32_t estimateMs, std::uint32_t runTimeMs);

    /// Returns the natural logarithm of the kind's speed; 0 if nothing is known about it.
    double logSpeed(const std::string &kind) const;

private:
    std::unordered_map<std::string, double> logSpeeds_;
};

/// Returns the worker's expected speed; 1 runs as fast as estimated. While no run ends on a worker, its speed gradually returns to that of its kind.
/// Otherwise a worker that was once slow would get no runs any more that could show that it has recovered.

double expectedSpeed(const Agent &agent, const KindSpeeds &kinds, Base::MonoTime now);

} // namespace LaburnumFlow::Jobs
