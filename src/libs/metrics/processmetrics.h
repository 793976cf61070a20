#pragma once

#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

/// Counters, gauges and latency histograms of a process in the text format that Prometheus scrapes.
namespace LaburnumFlow::Metrics {

enum class Gauge {
    OwnerEpoch, ///< 0 while the process owns no jobs
    OpenJobs, ///< accepted and not ended
    WaitingJobs, ///< open jobs with tasks that may start and have no worker yet
    LinkedAgents,
    LinkedEntries,
    OpenRequests, ///< of callers
    RunningTasks, ///< at the worker beside an agent
    RulesVersion,
};

/// What became of a call to another process.
enum class CallOutcome {
    Done,
    Rejected, ///< answered with a status of 400 or more
    NotSent,
    Unknown, ///< no answer within the time limit
};

/// The metrics of one process, for use on its event loop only.
class ProcessMetrics
{
public:
    ProcessMetrics();
    ~ProcessMetrics();
    ProcessMetrics(const ProcessMetrics &) = delete;
    ProcessMetrics &operator=(const ProcessMetrics &) = delete;

    /// Events are names from the code, so their number is bounded.
    void countDecision(std::string_view event);
    /// A caller's request of the kind ("submit", …) that was answered with the status.
    void observeAnswer(std::string_view kind, int status, Base::Duration duration);
    /// A call to the store ("commit", …) or to the worker ("start", …).
    void observeCall(std::string_view call, CallOutcome outcome, Base::Duration duration);
    /// A commit of the owner that writes or removes the number of entries in the store.
    void countCommittedEntries(std::size_t entries);
    void countDroppedLines(std::uint64_t lines);
    void set(Gauge gauge, double value);

    /// All metrics in the text exposition format, version 0.0.4.
    std::string text() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace LaburnumFlow::Metrics
