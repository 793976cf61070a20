#include "crestmodel.h"

#include <algorithm>
#include <cmath>

namespace LaburnumFlow::Jobs::Testing {

namespace {

constexpr Base::Duration timeStep = std::chrono::milliseconds(2);
constexpr double estimateSpread = 0.4; ///< of the logarithm of true over estimated run time
constexpr Base::Duration reportInterval = std::chrono::milliseconds(300);
constexpr std::uint32_t milliPerCore = 1000;

std::vector<std::string> agentNames(std::uint32_t count)
{
    std::vector<std::string> names;
    for (std::uint32_t i = 1; i <= count; ++i) {
        names.push_back("agent-" + std::to_string(i));
    }
    return names;
}

} // namespace

CrestModel::CrestModel(std::uint64_t seed, std::uint32_t workers, std::uint32_t coresEach) : random_(seed), agents_(agentNames(workers)), owner_(agents_)
{
    for (std::uint32_t i = 0; i < workers; ++i) {
        constexpr double speeds[] = {0.7, 0.7, 1.6};
        speeds_.push_back(speeds[i % 3]);
        owner_.join(agents_[i], coresEach * milliPerCore);
    }
    owner_.timePerEvent = {};
}

void CrestModel::run(const std::vector<KindOfWork> &kinds, double factor, Base::Duration time)
{
    const double stepSeconds = std::chrono::duration<double>(timeStep).count();
    for (Base::Duration passed{}; passed < time; passed += timeStep) {
        for (const KindOfWork &kind : kinds) {
            std::poisson_distribution<int> arrivals(kind.perSecond * factor * stepSeconds);
            for (int count = arrivals(random_); count > 0; --count) {
                submit(kind);
            }
        }
        step();
    }
}

void CrestModel::finish()
{
    constexpr int mostSteps = 50'000;
    for (int i = 0; i < mostSteps && !open_.empty(); ++i) {
        step();
    }
}

void CrestModel::forget()
{
    results_.clear();
    usefulWork_ = 0.0;
    for (auto &[call, job] : open_) {
        job.counted = false;
    }
}

void CrestModel::step()
{
    owner_.pass(timeStep);
    beginRuns();
    endRuns();
    collectAnswers();
    for (const std::string &agent : agents_) {
        const Agent &known = owner_.state.agents[owner_.state.agentByName.at(agent)];
        if (owner_.state.now - known.tokenAt >= reportInterval) {
            owner_.feed(AgentReported{agent, owner_.report(agent)});
        }
    }
}

void CrestModel::submit(const KindOfWork &kind)
{
    std::lognormal_distribution<double> taskMs(std::log(kind.meanMs), estimateSpread);
    std::lognormal_distribution<double> error(0.0, estimateSpread / 2);
    OpenJob job;
    job.queue = kind.queue;
    job.taskMs = static_cast<std::uint32_t>(std::max(1.0, taskMs(random_)));
    const auto estimate = static_cast<std::uint32_t>(std::max(1.0, job.taskMs * error(random_)));
    SubmitCall call = bestEffort(++lastCall_, kind.tasks, estimate);
    call.rules = rulesOf(kind.queue);
    call.rules.priority = kind.priority;
    job.objective = std::chrono::milliseconds(std::llround(call.rules.stretch * job.taskMs + call.rules.targetMs));
    job.arrivedAt = owner_.state.now;
    job.work = static_cast<double>(kind.tasks) * job.taskMs;
    ++results_[kind.queue].asked;
    open_.emplace(lastCall_, job);
    owner_.submit(lastCall_, call);
}

void CrestModel::beginRuns()
{
    for (std::size_t i = 0; i < agents_.size(); ++i) {
        const std::vector<RunRef> &runs = owner_.startsAt(agents_[i]);
        for (std::size_t next = std::exchange(seen_[agents_[i]], runs.size()); next < runs.size(); ++next) {
            const auto job = open_.find(runs[next].task.job);
            const double ms = job == open_.end() ? 1.0 : job->second.taskMs / speeds_[i];
            running_.emplace(owner_.state.now + std::chrono::milliseconds(std::llround(ms)), std::pair(agents_[i], runs[next]));
        }
    }
}

void CrestModel::endRuns()
{
    while (!running_.empty() && running_.begin()->first <= owner_.state.now) {
        const auto [agent, run] = running_.begin()->second;
        running_.erase(running_.begin());
        const auto job = open_.find(run.task.job);
        owner_.end(agent, run, RunOutcome::Done, job == open_.end() ? 1 : job->second.taskMs);
    }
}

void CrestModel::count(const OpenJob &job, const CallAnswer &answer)
{
    const Base::Duration took = owner_.state.now - job.arrivedAt;
    KindResult &result = results_[job.queue];
    if (answer.kind != CallAnswer::Kind::State) {
        ++result.refused;
    } else if (took <= job.objective) {
        ++result.inTime;
        usefulWork_ += job.work;
    } else if (took <= job.objective * maxLatenessFactor) {
        ++result.late;
    } else {
        ++result.useless;
    }
}

void CrestModel::collectAnswers()
{
    for (auto entry = open_.begin(); entry != open_.end();) {
        const std::optional<CallAnswer> answer = owner_.answerTo(entry->first);
        if (!answer) {
            ++entry;
            continue;
        }
        if (entry->second.counted) {
            count(entry->second, *answer);
        }
        entry = open_.erase(entry);
    }
}

} // namespace LaburnumFlow::Jobs::Testing
