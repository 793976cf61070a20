#include "fleet.h"

#include "jobsconstants.h"

#include <algorithm>
#include <cmath>

namespace LaburnumFlow::Jobs {

namespace {

constexpr double speedSmoothingFactor = 0.08; ///< Weight of a new sample.
constexpr double initialSmoothingFactor = 0.25; ///< Weight of each of a worker's first samples.
constexpr std::uint32_t initialSampleCount = 8;
constexpr double kindSmoothingFactor = 0.02; ///< Weight of a new sample of any worker of the kind.
constexpr double speedRecoverySeconds = 4.0; ///< Time without samples after which a worker counts as fast as its kind.

double logRatio(std::uint32_t estimateMs, std::uint32_t runTimeMs)
{
    return std::log(static_cast<double>(std::max(estimateMs, 1U)) / static_cast<double>(std::max(runTimeMs, 1U)));
}

} // namespace

bool acceptsWork(const Agent &agent, Base::MonoTime now)
{
    if (!agent.linked || !agent.reported || !agent.recorded || !agent.worker || agent.worker->draining || agent.workerSilent) {
        return false;
    }
    if (now - agent.tokenAt > agentSilenceTimeout || now < agent.health.suspendedUntil) {
        return false;
    }
    return !agent.health.probing || now >= probeDue(agent.health).value_or(now);
}

bool hasCapacityFor(const Agent &agent, const Resources &need)
{
    return isWithin(agent.used + need, agent.worker->capacity);
}

bool addRun(Agent &agent, const RunRef &run, const Resources &need, std::uint64_t orders, Base::MonoTime since)
{
    if (!agent.runs.emplace(run, ActiveRun{need, orders, false, since}).second) {
        return false;
    }
    agent.used += need;
    return true;
}

bool removeRun(Agent &agent, const RunRef &run)
{
    const auto found = agent.runs.find(run);
    if (found == agent.runs.end()) {
        return false;
    }
    agent.used -= found->second.need;
    agent.runs.erase(found);
    if (agent.health.probe == run) {
        agent.health.probe.reset();
    }
    return true;
}

void beginProbe(WorkerHealth &health, const RunRef &run, Base::MonoTime now)
{
    if (health.probing) {
        health.probe = run;
        health.probeAt = now;
    }
}

std::optional<Base::MonoTime> probeDue(const WorkerHealth &health)
{
    return health.probing && health.probe ? std::optional(health.probeAt + probeTimeout) : std::nullopt;
}

void updateNeed(Agent &agent, const RunRef &run, const Resources &need)
{
    const auto found = agent.runs.find(run);
    if (found != agent.runs.end()) {
        agent.used -= found->second.need;
        agent.used += need;
        found->second.need = need;
    }
}

bool registerEnd(Agent &agent, std::uint64_t number)
{
    if (number == 0) {
        return true;
    }
    return number > agent.endsRecorded && agent.ends.emplace(number, false).second;
}

void markEndRecorded(Agent &agent, std::uint64_t number)
{
    const auto found = agent.ends.find(number);
    if (found == agent.ends.end()) {
        return;
    }
    found->second = true;
    while (!agent.ends.empty() && agent.ends.begin()->second && agent.ends.begin()->first == agent.endsRecorded + 1) {
        ++agent.endsRecorded;
        agent.ends.erase(agent.ends.begin());
    }
}

void recordSuccess(WorkerHealth &health, std::uint32_t estimateMs, std::uint32_t runTimeMs, Base::MonoTime now)
{
    health.failures = 0;
    health.suspension = Base::Duration::zero();
    health.probing = false;
    if (runTimeMs == 0) {
        return;
    }
    const double weight = health.samples < initialSampleCount ? initialSmoothingFactor : speedSmoothingFactor;
    health.logSpeed += weight * (logRatio(estimateMs, runTimeMs) - health.logSpeed);
    ++health.samples;
    health.lastSampleAt = now;
}

void recordFailure(WorkerHealth &health, JobId job, std::uint32_t weight, Base::MonoTime now)
{
    // The tasks of a job that can never succeed also fail on healthy workers.
    if (health.failures > 0 && health.lastFailedJob == job) {
        return;
    }
    health.lastFailedJob = job;
    health.failures += weight;
    if (health.failures < suspensionThreshold && !health.probing) {
        return;
    }
    health.suspension
        = health.suspension == Base::Duration::zero() ? Base::Duration(suspensionInitial) : std::min<Base::Duration>(health.suspension * 2, suspensionMax);
    health.suspendedUntil = now + health.suspension;
    health.probing = true;
}

void KindSpeeds::addSample(const std::string &kind, std::uint32_t estimateMs, std::uint32_t runTimeMs)
{
    if (runTimeMs == 0) {
        return;
    }
    double &speed = logSpeeds_[kind];
    speed += kindSmoothingFactor * (logRatio(estimateMs, runTimeMs) - speed);
}

double KindSpeeds::logSpeed(const std::string &kind) const
{
    const auto found = logSpeeds_.find(kind);
    return found == logSpeeds_.end() ? 0.0 : found->second;
}

double expectedSpeed(const Agent &agent, const KindSpeeds &kinds, Base::MonoTime now)
{
    const double kindLogSpeed = kinds.logSpeed(agent.worker->kind);
    if (agent.health.samples == 0) {
        return std::exp(kindLogSpeed);
    }
    const double ownLogSpeed = agent.health.logSpeed;
    const double secondsSinceSample = std::chrono::duration<double>(now - agent.health.lastSampleAt).count();
    return std::exp(ownLogSpeed + (kindLogSpeed - ownLogSpeed) * std::clamp(secondsSinceSample / speedRecoverySeconds, 0.0, 1.0));
}

} // namespace LaburnumFlow::Jobs
