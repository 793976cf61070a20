#pragma once

#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

/// Counters, gauges and latency histograms of a process, in the text format of Prometheus.
namespace LaburnumFlow::Metrics {

enum class Gauge {
    OwnerEpoch, ///< Fencing epoch of the owner; 0 while this process does not own the jobs
    OpenJobs, ///< Jobs that were accepted and have not ended
    WaitingJobs, ///< Open jobs with tasks that are ready to start and have no worker yet
    OwnerTurnSeconds, ///< Longest turn of the owner since the metrics were last read
    LinkedAgents,
    LinkedEntries,
    OpenRequests, ///< Requests of callers without an answer yet
    RunningTasks, ///< Tasks that run, or may run, on the worker of this agent
    RulesVersion, ///< Version of the active rules; 0 while there are none
    RulesNewestVersion, ///< Newest version that this entry knows of, active or not
    RulesBehindSeconds, ///< Time since this entry has known of a newer version than the active one; 0 if there is none
};

/// The outcome of a call to another process.
enum class CallOutcome {
    Done,
    Rejected, ///< Response with a status of 400 or more
    NotSent,
    Unknown, ///< No response before the timeout
};

/// The metrics of a process. Not thread-safe; used on the process's event loop only.
class ProcessMetrics
{
public:
    ProcessMetrics();
    ~ProcessMetrics();
    ProcessMetrics(const ProcessMetrics &) = delete;
    ProcessMetrics &operator=(const ProcessMetrics &) = delete;

    /// Counts a decision by its event. Events must be constants of the code, as each one adds a time series.
    void countDecision(std::string_view event);
    /// Records the duration of a caller's request of this kind ("submit", …) that was answered with the HTTP status.
    void observeAnswer(std::string_view kind, int status, Base::Duration duration);
    /// Records the duration of a call to the store ("commit", …) or to the worker ("start", …).
    void observeCall(std::string_view call, CallOutcome outcome, Base::Duration duration);
    /// Counts a call whose reused connection broke before the response, and that was sent a second time or would have been.
    void countSecondSending(std::string_view call, bool prevented);
    /// Counts the store entries that a commit of the owner writes or removes.
    void countCommittedEntries(std::size_t entries);
    /// Counts log lines that were dropped.
    void countDroppedLines(std::uint64_t lines);
    void set(Gauge gauge, double value);

    /// Returns all metrics in the text exposition format of Prometheus, version 0.0.4.
    std::string text() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace LaburnumFlow::Metrics
