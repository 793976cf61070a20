#include "ownersteps.h"

#include "jobsconstants.h"
#include "placement.h"

#include <algorithm>

namespace LaburnumFlow::Jobs::Internal {

namespace {

TaskRef firstTaskRef(const Job &job, StepIndex step)
{
    return taskRef(job, job.firstTask[step]);
}

std::uint32_t countReadyTasks(const Job &job, StepIndex step)
{
    const auto first = job.tasks.begin() + job.firstTask[step];
    const auto last = job.tasks.begin() + job.firstTask[step + 1U];
    return static_cast<std::uint32_t>(std::count_if(first, last, [](const Task &task) { return task.phase == Task::Phase::Ready; }));
}

void backOffAdvice(OwnerState &state)
{
    state.adviceRetryDelay = std::clamp<Base::Duration>(state.adviceRetryDelay * 2, adviceRetryDelayInitial, adviceRetryDelayMax);
    state.adviceNotBefore = state.now + state.adviceRetryDelay;
}

void sendAdviceCall(Context &context, const Job &job, StepIndex step, const std::vector<AgentIndex> &agents)
{
    OwnerState &state = context.state;
    AskAdvice call{++state.adviceCalls, firstTaskRef(job, step), {}, {}};
    PendingAdvice pending{call.number, {job.id, step}, call.step.occurrence, {}, state.now};
    for (const AgentIndex index : agents) {
        const WorkerInfo &worker = *state.agents[index].worker;
        call.workers.push_back(worker.id);
        pending.workers.push_back({index, worker.startTimeMs, worker.id});
    }
    const AdviceRules &rules = *job.rules.advice;
    call.timeout = std::chrono::milliseconds(rules.decideMs) + agents.size() * std::chrono::milliseconds(rules.eachMs) + adviceTimeoutSlack;
    state.adviceAskedLast[pending.step] = pending.number;
    state.pendingAdvice = std::move(pending);
    logDecision(
        context, "advice.asked", {{"id", formatId(job.id)}, {"step", std::to_string(call.step.step)}, {"workers", std::to_string(call.workers.size())}});
    context.effects.push_back(std::move(call));
}

/// Sorts the steps for which there was no call yet first, then those for which the last call is longest ago. A step for which calls fail, or whose tickets
/// expire before it finds room, must not keep the service from deciding on the others.
void sortByLastCall(const OwnerState &state, std::vector<AdvisedStep> &steps)
{
    const auto lastCall = [&state](const AdvisedStep &step) {
        const auto found = state.adviceAskedLast.find(step);
        return found == state.adviceAskedLast.end() ? 0 : found->second;
    };
    std::stable_sort(steps.begin(), steps.end(), [&lastCall](const AdvisedStep &left, const AdvisedStep &right) { return lastCall(left) < lastCall(right); });
}

/// Returns whether the call's step is still at its index. That of an occurrence that is done may have been used again.
bool isStillHeld(const Job &job, const PendingAdvice &pending)
{
    return pending.step.second < job.steps.size() && job.occurrences.numbers()[positionOfStep(job, pending.step.second)] == pending.occurrence;
}

} // namespace

void askAdvice(Context &context, std::vector<AdvisedStep> steps)
{
    OwnerState &state = context.state;
    if (state.pendingAdvice || steps.empty()) {
        return;
    }
    if (state.now < state.adviceNotBefore) {
        requestRescheduleAt(state, state.adviceNotBefore);
        return;
    }
    sortByLastCall(state, steps);
    for (const auto &[id, step] : steps) {
        const Job *job = findJob(state, id);
        if (job == nullptr || job->finishing || !job->rules.advice) {
            continue;
        }
        std::vector<AgentIndex> agents = workersToAsk(state, *job, step);
        agents.resize(std::min<std::size_t>(agents.size(), std::min(countReadyTasks(*job, step) + adviceSpareWorkers, maxWorkersPerAdviceCall)));
        if (!agents.empty()) {
            sendAdviceCall(context, *job, step, agents);
            return;
        }
    }
}

void handleAdvice(Context &context, const AdviceGiven &given)
{
    OwnerState &state = context.state;
    if (!state.pendingAdvice || state.pendingAdvice->number != given.number) {
        return;
    }
    const PendingAdvice pending = *std::exchange(state.pendingAdvice, std::nullopt);
    state.schedulingDue = true;
    const Job *job = findJob(state, pending.step.first);
    logDecision(context,
                "advice.given",
                {{"id", formatId(pending.step.first)}, {"answered", given.answered ? "1" : "0"}, {"good", std::to_string(given.tickets.size())}});
    if (!given.answered) {
        backOffAdvice(state);
        return;
    }
    state.adviceRetryDelay = {};
    if (job == nullptr || !job->rules.advice || !isStillHeld(*job, pending)) {
        return;
    }
    // The validity counts from the call, as the service may have issued the tickets right after it.
    const Base::MonoTime until = pending.askedAt + std::chrono::milliseconds(given.validMs.value_or(job->rules.advice->validMs));
    for (const PendingAdvice::AskedWorker &asked : pending.workers) {
        const auto found = std::find_if(given.tickets.begin(), given.tickets.end(), [&asked](const auto &ticket) { return ticket.first == asked.worker; });
        state.advice[pending.step][asked.agent] = {asked.workerStartTimeMs, found == given.tickets.end() ? std::string() : found->second, until};
    }
}

void dropTicket(OwnerState &state, const AdvisedStep &step, AgentIndex index)
{
    if (const auto found = state.advice.find(step); found != state.advice.end()) {
        found->second.erase(index);
    }
}

void dropAdvice(OwnerState &state, JobId job)
{
    const auto ofOtherJob = [job](const auto &entry) { return entry.first.first != job; };
    const auto first = state.advice.lower_bound({job, 0});
    state.advice.erase(first, std::find_if(first, state.advice.end(), ofOtherJob));
    const auto firstCall = state.adviceAskedLast.lower_bound({job, 0});
    state.adviceAskedLast.erase(firstCall, std::find_if(firstCall, state.adviceAskedLast.end(), ofOtherJob));
}

void dropAdvice(OwnerState &state, const Job &job, OccurrencePosition position)
{
    const AdvisedStep first{job.id, firstStepAt(job, position)};
    const AdvisedStep end{job.id, firstStepAt(job, position + 1)};
    state.advice.erase(state.advice.lower_bound(first), state.advice.lower_bound(end));
    state.adviceAskedLast.erase(state.adviceAskedLast.lower_bound(first), state.adviceAskedLast.lower_bound(end));
}

} // namespace LaburnumFlow::Jobs::Internal
