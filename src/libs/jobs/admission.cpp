#include "admission.h"

#include "jobsconstants.h"
#include "placement.h"

#include <algorithm>
#include <cmath>

namespace LaburnumFlow::Jobs {

namespace {

/// Work of the ready tasks in thousandths of a core and milliseconds.
double readyWork(const Job &job)
{
    if (job.tasks.empty()) {
        return 0.0;
    }
    double work = 0.0;
    for (const StepSpec &spec : job.spec.steps) {
        work += static_cast<double>(spec.count) * spec.need.cpuMilli * (spec.estimateMs == 0 ? defaultEstimateMs : spec.estimateMs);
    }
    return work * job.readyTasks / static_cast<double>(job.tasks.size());
}

double capacityMilli(const OwnerState &state, const std::string &service)
{
    double capacity = 0.0;
    for (const Agent &agent : state.agents) {
        if (takesWork(agent, state.now) && agent.worker->service == service) {
            capacity += agent.worker->capacity.cpuMilli * expectedSpeed(agent, state.kindSpeeds, state.now);
        }
    }
    return capacity;
}

/// Lasting tasks never make room again, so those that would not all find room are refused.
Admission admitLasting(const OwnerState &state, const Job &job)
{
    double need = 0.0;
    for (const StepSpec &step : job.spec.steps) {
        need += step.lasting ? static_cast<double>(step.count) * step.need.cpuMilli : 0.0;
    }
    const bool fits = need <= lastingRoomMilli(state, job.rules.service);
    return {fits, Base::Duration::zero(), fits ? 0 : lastingRetryAfterS};
}

} // namespace

Admission admit(const OwnerState &state, const Job &job)
{
    if (job.lasting) {
        return admitLasting(state, job);
    }
    if (state.ready.empty()) {
        return {};
    }
    const double capacity = capacityMilli(state, job.rules.service);
    if (capacity <= 0.0) {
        return {};
    }
    const QueuePlace place = placeOf(job);
    double before = 0.0;
    double all = 0.0;
    for (const QueuePlace &queued : state.ready) {
        const double work = readyWork(state.jobs.at(queued.job));
        all += work;
        if (queued <= place) {
            before += work;
        }
    }
    const auto waitMs = [capacity](double work) { return std::chrono::milliseconds(std::llround(work / capacity)); };
    const Base::Duration wait = waitMs(before);
    const Base::Duration limit = std::chrono::duration_cast<Base::Duration>(job.objective * lateFactor) - std::chrono::milliseconds(job.chainMs);
    if (wait <= limit) {
        return {true, wait, 0};
    }
    const Base::Duration clearIn = std::max<Base::Duration>(wait - job.objective, waitMs(all) / 2);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(clearIn).count() + 1;
    return {false, wait, static_cast<std::uint32_t>(seconds)};
}

} // namespace LaburnumFlow::Jobs
