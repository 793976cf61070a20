#include "report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace LaburnumFlow::Load {

namespace {

using Json = nlohmann::json;

double round3(double value)
{
    return std::round(value * 1000) / 1000;
}

/// The ideal of a job: its longest task on the fastest worker, one round trip and the clients' distance.
double idealAnswerMs(const RunData &run, std::size_t index)
{
    return idealMs(run.scenario, run.jobs[index]) + run.roundTripMs + 2 * run.scenario.clientDelayMs;
}

Json percentiles(std::vector<double> values)
{
    Json json;
    json["count"] = values.size();
    json["p50"] = round3(percentile(values, 0.5));
    json["p99"] = round3(percentile(values, 0.99));
    json["p999"] = round3(percentile(values, 0.999));
    return json;
}

template<class Selected>
Json ratios(const RunData &run, Selected selected)
{
    std::vector<double> values;
    for (std::size_t i = 0; i < run.results.size(); ++i) {
        if (run.results[i].end == JobEnd::Succeeded && selected(i)) {
            values.push_back(run.results[i].latencyMs / idealAnswerMs(run, i));
        }
    }
    return percentiles(std::move(values));
}

double totalMs(const PlannedJob &job)
{
    double total = 0;
    for (const double runMs : job.runMs) {
        total += runMs;
    }
    return total;
}

/// Work of answered jobs that arrived while the load was at least the capacity, per second of that time, relative to
/// the capacity. Nothing if the scenario has no such time.
Json crestGoodput(const RunData &run)
{
    const Scenario &scenario = run.scenario;
    double begin = 0;
    double end = 0;
    for (std::size_t i = 0; i < scenario.steps.size(); ++i) {
        if (scenario.steps[i].load > 1 && end == 0) {
            begin = scenario.steps[i].atSeconds;
            end = i + 1 < scenario.steps.size() ? scenario.steps[i + 1].atSeconds : scenario.durationSeconds;
        }
    }
    if (end <= begin) {
        return nullptr;
    }
    double done = 0;
    for (std::size_t i = 0; i < run.results.size(); ++i) {
        const double answeredAt = run.jobs[i].atSeconds + run.results[i].latencyMs / 1000;
        if (run.results[i].end == JobEnd::Succeeded && answeredAt >= begin && answeredAt < end) {
            done += totalMs(run.jobs[i]);
        }
    }
    return round3(done / (end - begin) / capacityMsPerSecond(scenario));
}

Json endCounts(const RunData &run)
{
    std::map<std::string, int> reasons;
    int succeeded = 0;
    int late = 0;
    for (const JobResult &result : run.results) {
        if (result.end == JobEnd::Succeeded) {
            ++succeeded;
            late += result.latencyMs > run.scenario.deadlineMs + 2 * run.scenario.clientDelayMs ? 1 : 0;
        } else {
            ++reasons[result.reason];
        }
    }
    return Json{{"jobs", run.results.size()}, {"succeeded", succeeded}, {"late", late}, {"otherByReason", reasons}};
}

Json refusalTimes(const RunData &run)
{
    std::vector<double> values;
    for (const JobResult &result : run.results) {
        if (result.end == JobEnd::Refused) {
            values.push_back(result.latencyMs - run.roundTripMs - 2 * run.scenario.clientDelayMs);
        }
    }
    return percentiles(std::move(values));
}

} // namespace

double percentile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    const std::size_t position = std::min(values.size() - 1, index == 0 ? 0 : index - 1);
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
    return values[position];
}

Json makeReport(const RunData &run)
{
    Json report;
    report["scenario"] = run.scenario.name;
    report["seed"] = run.seed;
    report["roundTripMs"] = round3(run.roundTripMs);
    report["ends"] = endCounts(run);
    report["ratioToIdeal"] = ratios(run, [](std::size_t) { return true; });
    report["ratioToIdealShort"] = ratios(run, [&run](std::size_t i) { return run.scenario.mix[run.jobs[i].workClass].isShort; });
    report["refusalMsBeyondRoundTrip"] = refusalTimes(run);
    report["crestGoodput"] = crestGoodput(run);
    report["records"] = {{"starts", run.records.starts},
                         {"tasks", run.records.tasks},
                         {"repeatedAttempts", run.records.repeatedAttempts},
                         {"laterAttempts", run.records.laterAttempts}};
    return report;
}

} // namespace LaburnumFlow::Load
