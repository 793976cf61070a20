#include "jobtimeline.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <utility>

namespace LaburnumFlow::Explain {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds lookAround{1000}; ///< before the job's first and after its last line

bool hasPrefix(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

/// Events that concern all jobs.
bool concernsAll(const LogLine &line)
{
    for (const std::string_view prefix : {"owner.", "store.", "rules.", "process."}) {
        if (hasPrefix(line.event, prefix)) {
            return true;
        }
    }
    return false;
}

/// Events that concern the jobs with tasks on one worker.
bool concernsWorker(const LogLine &line)
{
    return hasPrefix(line.event, "worker.") || hasPrefix(line.event, "agent.");
}

std::string fieldOf(const LogLine &line, const std::string &key)
{
    const auto found = line.fields.find(key);
    return found == line.fields.end() ? std::string() : found->second;
}

/// The agent that the line is about: the owner names it, an agent's own lines come from it.
std::string agentOf(const LogLine &line)
{
    const std::string named = fieldOf(line, "agent");
    return named.empty() ? line.process : named;
}

std::string textOf(const LogLine &line, milliseconds sinceFirst, milliseconds sinceFormer, bool ofJob)
{
    std::array<char, 64> times{};
    std::snprintf(times.data(),
                  times.size(),
                  "%+8lld ms %+7lld  %c ",
                  static_cast<long long>(sinceFirst.count()),
                  static_cast<long long>(sinceFormer.count()),
                  ofJob ? '*' : ' ');
    std::string text = times.data() + line.process + ' ' + line.event;
    for (const auto &[key, value] : line.fields) {
        text.append(" ").append(key).append("=").append(value);
    }
    return text;
}

} // namespace

JobTimeline::JobTimeline(std::string id) : id_(std::move(id)) { }

bool JobTimeline::concernsJob(const LogLine &line) const
{
    return fieldOf(line, "id") == id_ || hasPrefix(fieldOf(line, "run"), id_ + '.');
}

void JobTimeline::add(std::string_view logText)
{
    auto line = parseLogLine(logText);
    if (!line) {
        return;
    }
    if (concernsJob(*line)) {
        job_.push_back(std::move(*line));
    } else if (concernsAll(*line) || concernsWorker(*line)) {
        surroundings_.push_back(std::move(*line));
    }
}

std::vector<std::string> JobTimeline::lines() const
{
    if (job_.empty()) {
        return {};
    }
    const auto earlier = [](const LogLine &left, const LogLine &right) { return left.time < right.time; };
    const auto [first, last] = std::minmax_element(job_.begin(), job_.end(), earlier);
    std::set<std::string> agents;
    for (const LogLine &line : job_) {
        agents.insert(agentOf(line));
    }
    std::vector<std::pair<const LogLine *, bool>> chosen;
    for (const LogLine &line : job_) {
        chosen.emplace_back(&line, true);
    }
    for (const LogLine &line : surroundings_) {
        const bool near = line.time >= first->time - lookAround && line.time <= last->time + lookAround;
        if (near && (concernsAll(line) || agents.count(agentOf(line)) > 0)) {
            chosen.emplace_back(&line, false);
        }
    }
    std::stable_sort(chosen.begin(), chosen.end(), [&](const auto &left, const auto &right) { return earlier(*left.first, *right.first); });
    std::vector<std::string> texts;
    milliseconds former = chosen.front().first->time;
    for (const auto &[line, ofJob] : chosen) {
        texts.push_back(textOf(*line, line->time - first->time, line->time - former, ofJob));
        former = line->time;
    }
    return texts;
}

} // namespace LaburnumFlow::Explain
