#include "admission.h"

#include "jobsconstants.h"
#include "jobshape.h"
#include "placement.h"
#include "waitingsteps.h"

#include <algorithm>
#include <cmath>

namespace LaburnumFlow::Jobs {

namespace {

/// Returns the estimated work of the job's steps that workers may run, in thousandths of a core times milliseconds.
double estimatedWork(const OwnerState &state, const Job &job)
{
    double work = 0.0;
    for (StepIndex step = 0; step < job.spec.steps.size(); ++step) {
        const StepSpec &spec = job.spec.steps[step];
        work += isServed(state, placementRequirements(job, step)) ? static_cast<double>(spec.count) * spec.need.cpuMilli * effectiveEstimateMs(spec) : 0.0;
    }
    return work;
}

/// Returns the estimated work of the step's ready tasks, in thousandths of a core times milliseconds.
double readyWork(const Job &job, StepIndex step)
{
    const StepSpec &spec = stepSpec(job, step);
    return static_cast<double>(job.steps[step].readyTasks) * spec.need.cpuMilli * effectiveEstimateMs(spec);
}

/// Returns whether the job's turn has come already: whatever waits has no room now, so a job that has needn't wait for it.
bool canStartNow(const OwnerState &state, const Job &job)
{
    for (StepIndex step = 0; step < job.steps.size(); ++step) {
        if (stepSpec(job, step).after.empty() && hasRoomNow(state, job, step)) {
            return true;
        }
    }
    return false;
}

/// Estimated work that waits for workers of a service, in thousandths of a core times milliseconds.
struct Backlog {
    double before = 0.0; ///< Of jobs that go before the one in question.
    double all = 0.0;
};

/// Returns the work that waits for the same workers as the job. Steps that no worker may run don't take any capacity.
Backlog backlogOfService(const OwnerState &state, const Job &job)
{
    const QueuePlace place = queuePlace(job);
    Backlog backlog;
    for (const auto &[requirements, steps] : state.waitingSteps) {
        if (requirements.worker.service != job.rules.service || !isServed(state, requirements)) {
            continue;
        }
        for (const WaitingStep &waiting : steps) {
            const double work = readyWork(state.jobs.at(waiting.place.job), waiting.step);
            backlog.all += work;
            backlog.before += waiting.place <= place ? work : 0.0;
        }
    }
    return backlog;
}

double capacityMilli(const OwnerState &state, const std::string &service)
{
    double capacity = 0.0;
    for (const Agent &agent : state.agents) {
        if (acceptsWork(agent, state.now) && agent.worker->service == service) {
            capacity += agent.worker->capacity.cpuMilli * expectedSpeed(agent, state.kindSpeeds, state.now);
        }
    }
    return capacity;
}

double decayed(const Demand &demand, Base::MonoTime now)
{
    return demand.coreMilliPerMs * std::exp(-std::chrono::duration<double>(now - demand.at) / std::chrono::duration<double>(demandTimeConstant));
}

/// Returns the demand for the service in thousandths of a core. New jobs can still be in time, so they go before late ones.
double currentDemand(const OwnerState &state, const std::string &service)
{
    const auto found = state.demands.find(service);
    return found == state.demands.end() ? 0.0 : decayed(found->second, state.now);
}

/// Accepts a job with long-running tasks only if there is capacity for all of them, as such tasks never free their capacity by themselves.
Admission admitLongRunning(const OwnerState &state, const Job &job)
{
    double need = 0.0;
    for (const StepSpec &step : job.spec.steps) {
        need += step.longRunning ? static_cast<double>(step.count) * step.need.cpuMilli : 0.0;
    }
    const bool fits = need <= longRunningFreeMilli(state, job.rules.service);
    return {fits, Base::Duration::zero(), fits ? 0 : longRunningRetryAfterS};
}

} // namespace

Base::MonoTime latestStart(const Job &job, double objectives)
{
    return job.arrivedAt + std::chrono::duration_cast<Base::Duration>(job.objective * objectives)
           - std::chrono::duration_cast<Base::Duration>(runTimeMargin * std::chrono::milliseconds(job.chainMs));
}

void addDemand(OwnerState &state, const Job &job)
{
    Demand &demand = state.demands[job.rules.service];
    const double timeConstantMs = std::chrono::duration<double, std::milli>(demandTimeConstant).count();
    demand = {decayed(demand, state.now) + estimatedWork(state, job) / timeConstantMs, state.now};
}

Admission admit(const OwnerState &state, const Job &job)
{
    if (job.longRunning) {
        return admitLongRunning(state, job);
    }
    if (state.ready.empty() || canStartNow(state, job)) {
        return {};
    }
    const double capacity = capacityMilli(state, job.rules.service);
    if (capacity <= 0.0) {
        return {};
    }
    const Backlog backlog = backlogOfService(state, job);
    const double demand = job.timeliness == Timeliness::InTime ? 0.0 : currentDemand(state, job.rules.service);
    const double available = std::max(capacity - demand, minLateWorkShare * capacity);
    const auto waitMs = [available](double work) { return std::chrono::milliseconds(std::llround(work / available)); };
    const Base::Duration wait = waitMs(backlog.before);
    // An answer that is too late for its caller is still better than none, as long as the wait for it is short.
    const Base::Duration limit = latestStart(job, maxLatenessFactor) - (job.timeliness == Timeliness::TooLate ? job.arrivedAt : state.now);
    if (wait <= limit) {
        return {true, wait, 0};
    }
    const Base::Duration backlogClearsIn = std::max<Base::Duration>(wait - job.objective, waitMs(backlog.all) / 2);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(backlogClearsIn).count() + 1;
    return {false, wait, static_cast<std::uint32_t>(seconds)};
}

} // namespace LaburnumFlow::Jobs
