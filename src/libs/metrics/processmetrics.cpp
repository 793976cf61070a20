#include "processmetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <tuple>
#include <utility>

namespace LaburnumFlow::Metrics {

namespace {

/// Covers the range from a call within a rack to the longest time that a caller waits.
const prometheus::Histogram::BucketBoundaries latencyBucketsSeconds{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

struct GaugeDescription {
    Gauge gauge;
    const char *name;
    const char *help;
};

constexpr std::array gaugeDescriptions{
    GaugeDescription{Gauge::OwnerEpoch, "laburnumflow_owner_epoch", "Epoch under which this process owns the jobs; 0 if it does not"},
    GaugeDescription{Gauge::OpenJobs, "laburnumflow_open_jobs", "Jobs that the owner has accepted and that have not ended"},
    GaugeDescription{Gauge::WaitingJobs, "laburnumflow_waiting_jobs", "Open jobs with tasks that may start and have no worker yet"},
    GaugeDescription{Gauge::OwnerTurnSeconds,
                     "laburnumflow_owner_turn_seconds",
                     "Longest time since the last reading for which the owner handled a batch of events"},
    GaugeDescription{Gauge::LinkedAgents, "laburnumflow_linked_agents", "Agents with a link to this entry"},
    GaugeDescription{Gauge::LinkedEntries, "laburnumflow_linked_entries", "Entries to which this process has a link"},
    GaugeDescription{Gauge::OpenRequests, "laburnumflow_open_requests", "Requests of callers without an answer yet"},
    GaugeDescription{Gauge::RunningTasks, "laburnumflow_running_tasks", "Tasks that run, or may run, on the worker"},
    GaugeDescription{Gauge::RulesVersion, "laburnumflow_rules_version", "Version of the rules in force; 0 before the first"},
    GaugeDescription{Gauge::RulesNewestVersion,
                     "laburnumflow_rules_newest_version",
                     "Newest version of the rules that another entry has announced or this one has"},
    GaugeDescription{Gauge::RulesBehindSeconds, "laburnumflow_rules_behind_seconds", "Time for which newer rules have been known and not in force"},
};

std::string_view outcomeName(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Done:
        return "done";
    case CallOutcome::Rejected:
        return "rejected";
    case CallOutcome::NotSent:
        return "not-sent";
    case CallOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

double toSeconds(Base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

struct ProcessMetrics::Private {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &decisionFamily = prometheus::BuildCounter()
                                                                  .Name("laburnumflow_decisions_total")
                                                                  .Help("Decisions by their event in the log, also those whose line was dropped")
                                                                  .Register(registry);
    prometheus::Family<prometheus::Histogram> &answerFamily
        = prometheus::BuildHistogram().Name("laburnumflow_answer_seconds").Help("Time from a caller's request to its answer").Register(registry);
    prometheus::Family<prometheus::Histogram> &callFamily
        = prometheus::BuildHistogram().Name("laburnumflow_call_seconds").Help("Time of calls to the store and to the worker").Register(registry);
    prometheus::Family<prometheus::Counter> &secondSendingFamily
        = prometheus::BuildCounter()
              .Name("laburnumflow_second_sendings_total")
              .Help("Calls whose reused connection broke before the response: sent a second time, or prevented from it")
              .Register(registry);
    prometheus::Counter &committedEntries = prometheus::BuildCounter()
                                                .Name("laburnumflow_committed_entries_total")
                                                .Help("Entries of the store that commits of the owner wrote or removed, repeated commits included")
                                                .Register(registry)
                                                .Add({});
    prometheus::Counter &droppedLines = prometheus::BuildCounter()
                                            .Name("laburnumflow_log_lines_dropped_total")
                                            .Help("Log lines beyond the budget, or for which standard output had no room")
                                            .Register(registry)
                                            .Add({});
    std::map<std::string, prometheus::Counter *, std::less<>> decisions;
    std::map<std::pair<std::string, int>, prometheus::Histogram *, std::less<>> answers;
    std::map<std::pair<std::string, CallOutcome>, prometheus::Histogram *, std::less<>> calls;
    std::map<std::pair<std::string, bool>, prometheus::Counter *, std::less<>> secondSendings; ///< by call and whether they were prevented
    std::map<Gauge, prometheus::Gauge *> gauges;
};

ProcessMetrics::ProcessMetrics() : d_(std::make_unique<Private>()) { }

ProcessMetrics::~ProcessMetrics() = default;

void ProcessMetrics::countDecision(std::string_view event)
{
    auto found = d_->decisions.find(event);
    if (found == d_->decisions.end()) {
        const std::string name(event);
        found = d_->decisions.emplace(name, &d_->decisionFamily.Add({{"event", name}})).first;
    }
    found->second->Increment();
}

void ProcessMetrics::observeAnswer(std::string_view kind, int status, Base::Duration duration)
{
    prometheus::Histogram *&histogram = d_->answers[{std::string(kind), status}];
    if (histogram == nullptr) {
        histogram = &d_->answerFamily.Add({{"request", std::string(kind)}, {"status", std::to_string(status)}}, latencyBucketsSeconds);
    }
    histogram->Observe(toSeconds(duration));
}

void ProcessMetrics::observeCall(std::string_view call, CallOutcome outcome, Base::Duration duration)
{
    prometheus::Histogram *&histogram = d_->calls[{std::string(call), outcome}];
    if (histogram == nullptr) {
        histogram = &d_->callFamily.Add({{"call", std::string(call)}, {"outcome", std::string(outcomeName(outcome))}}, latencyBucketsSeconds);
    }
    histogram->Observe(toSeconds(duration));
}

void ProcessMetrics::countSecondSending(std::string_view call, bool prevented)
{
    prometheus::Counter *&counter = d_->secondSendings[{std::string(call), prevented}];
    if (counter == nullptr) {
        counter = &d_->secondSendingFamily.Add({{"call", std::string(call)}, {"result", prevented ? "prevented" : "sent"}});
    }
    counter->Increment();
}

void ProcessMetrics::countCommittedEntries(std::size_t entries)
{
    d_->committedEntries.Increment(static_cast<double>(entries));
}

void ProcessMetrics::countDroppedLines(std::uint64_t lines)
{
    d_->droppedLines.Increment(static_cast<double>(lines));
}

void ProcessMetrics::set(Gauge gauge, double value)
{
    prometheus::Gauge *&metric = d_->gauges[gauge];
    if (metric == nullptr) {
        const auto *const found = std::find_if(
            gaugeDescriptions.begin(), gaugeDescriptions.end(), [gauge](const GaugeDescription &description) { return description.gauge == gauge; });
        metric = &prometheus::BuildGauge().Name(found->name).Help(found->help).Register(d_->registry).Add({});
    }
    metric->Set(value);
}

std::string ProcessMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(d_->registry.Collect());
}

} // namespace LaburnumFlow::Metrics
