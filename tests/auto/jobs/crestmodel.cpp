#include "crestmodel.h"

#include <algorithm>
#include <cmath>

namespace LaburnumFlow::Jobs::Testing {

namespace {

constexpr Base::Duration timeStep = std::chrono::milliseconds(2);
constexpr double estimateSpread = 0.4; ///< Standard deviation of the logarithm of the run time; half of it for the estimate's error
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

LoadModel::LoadModel(std::uint64_t seed, std::uint32_t workers, std::uint32_t coresEach) : random_(seed), agents_(agentNames(workers)), owner_(agents_)
{
    for (std::uint32_t i = 0; i < workers; ++i) {
        constexpr double speeds[] = {0.7, 0.7, 1.6};
        speeds_.push_back(speeds[i % 3]);
        owner_.join(agents_[i], coresEach * milliPerCore);
    }
    owner_.timePerEvent = {};
}

void LoadModel::run(const std::vector<JobProfile> &profiles, double factor, Base::Duration time)
{
    const double stepSeconds = std::chrono::duration<double>(timeStep).count();
    for (Base::Duration passed{}; passed < time; passed += timeStep) {
        for (const JobProfile &profile : profiles) {
            std::poisson_distribution<int> arrivals(profile.jobsPerSecond * factor * stepSeconds);
            for (int count = arrivals(random_); count > 0; --count) {
                submit(profile);
            }
        }
        step();
    }
}

void LoadModel::drain()
{
    constexpr int maxSteps = 50'000;
    for (int i = 0; i < maxSteps && !pendingJobs_.empty(); ++i) {
        step();
    }
}

void LoadModel::resetResults()
{
    results_.clear();
    usefulWork_ = 0.0;
    for (auto &[call, job] : pendingJobs_) {
        job.isCounted = false;
    }
}

std::size_t LoadModel::idleWorkers() const
{
    return static_cast<std::size_t>(std::count_if(handledStarts_.begin(), handledStarts_.end(), [](const auto &starts) { return starts.second == 0; }));
}

void LoadModel::step()
{
    owner_.advanceTime(timeStep);
    startRuns();
    endRuns();
    handleAnswers();
    for (const std::string &agent : agents_) {
        const Agent &known = owner_.state.agents[owner_.state.agentByName.at(agent)];
        if (owner_.state.now - known.tokenAt >= reportInterval) {
            owner_.feed(AgentReported{agent, owner_.report(agent)});
        }
    }
}

void LoadModel::submit(const JobProfile &profile)
{
    std::lognormal_distribution<double> taskMs(std::log(profile.medianTaskMs), estimateSpread);
    std::lognormal_distribution<double> estimateError(0.0, estimateSpread / 2);
    PendingJob job;
    job.queue = profile.queue;
    job.taskMs = static_cast<std::uint32_t>(std::max(1.0, taskMs(random_)));
    const auto estimate = static_cast<std::uint32_t>(std::max(1.0, job.taskMs * estimateError(random_)));
    SubmitCall call = bestEffort(++lastCall_, profile.tasks, estimate);
    call.rules = queueRules(profile.queue);
    call.rules.priority = profile.priority;
    job.objective = std::chrono::milliseconds(std::llround(call.rules.stretch * job.taskMs + call.rules.targetMs));
    job.arrivedAt = owner_.state.now;
    job.work = static_cast<double>(profile.tasks) * job.taskMs;
    ++results_[profile.queue].submitted;
    pendingJobs_.emplace(lastCall_, job);
    owner_.submit(lastCall_, call);
}

void LoadModel::startRuns()
{
    for (std::size_t i = 0; i < agents_.size(); ++i) {
        const std::vector<RunRef> &runs = owner_.orderedStarts(agents_[i]);
        for (std::size_t next = std::exchange(handledStarts_[agents_[i]], runs.size()); next < runs.size(); ++next) {
            const auto job = pendingJobs_.find(runs[next].task.job);
            const double ms = job == pendingJobs_.end() ? 1.0 : job->second.taskMs / speeds_[i];
            running_.emplace(owner_.state.now + std::chrono::milliseconds(std::llround(ms)), std::pair(agents_[i], runs[next]));
        }
    }
}

void LoadModel::endRuns()
{
    while (!running_.empty() && running_.begin()->first <= owner_.state.now) {
        const auto [agent, run] = running_.begin()->second;
        running_.erase(running_.begin());
        const auto job = pendingJobs_.find(run.task.job);
        owner_.reportEnd(agent, run, RunOutcome::Done, job == pendingJobs_.end() ? 1 : job->second.taskMs);
    }
}

void LoadModel::count(const PendingJob &job, const CallAnswer &answer)
{
    const Base::Duration took = owner_.state.now - job.arrivedAt;
    QueueResult &result = results_[job.queue];
    if (answer.kind != CallAnswer::Kind::State) {
        ++result.refused;
    } else if (took <= job.objective) {
        ++result.inTime;
        usefulWork_ += job.work;
    } else if (took <= job.objective * maxLatenessFactor) {
        ++result.late;
    } else {
        ++result.tooLate;
    }
}

void LoadModel::handleAnswers()
{
    for (auto it = pendingJobs_.begin(); it != pendingJobs_.end();) {
        const std::optional<CallAnswer> answer = owner_.answerTo(it->first);
        if (!answer) {
            ++it;
            continue;
        }
        if (it->second.isCounted) {
            count(it->second, *answer);
        }
        it = pendingJobs_.erase(it);
    }
}

} // namespace LaburnumFlow::Jobs::Testing
