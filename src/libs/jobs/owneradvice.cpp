#include "ownersteps.h"

#include "jobsconstants.h"
#include "placement.h"

#include <algorithm>

namespace LaburnumFlow::Jobs::Internal {

namespace {

TaskRef firstTaskOf(const Job &job, StepIndex step)
{
    return refOf(job, job.firstTask[step]);
}

std::uint32_t readyTasksOf(const Job &job, StepIndex step)
{
    const auto first = job.tasks.begin() + job.firstTask[step];
    const auto last = job.tasks.begin() + job.firstTask[step + 1U];
    return static_cast<std::uint32_t>(std::count_if(first, last, [](const Task &task) { return task.phase == Task::Phase::Ready; }));
}

void pauseAdvice(OwnerState &state)
{
    state.advicePause = std::clamp<Base::Duration>(state.advicePause * 2, advicePauseFirst, advicePauseLast);
    state.adviceNotBefore = state.now + state.advicePause;
}

void ask(Context &context, const Job &job, StepIndex step, const std::vector<AgentIndex> &agents)
{
    OwnerState &state = context.state;
    AskAdvice call{++state.adviceCalls, firstTaskOf(job, step), {}, {}};
    OpenAdvice open{call.number, {job.id, step}, {}, state.now};
    for (const AgentIndex index : agents) {
        const WorkerInfo &worker = *state.agents[index].worker;
        call.workers.push_back(worker.id);
        open.workers.push_back({index, worker.startTimeMs, worker.id});
    }
    const AdviceRules &rules = *job.rules.advice;
    call.timeout = std::chrono::milliseconds(rules.decideMs) + agents.size() * std::chrono::milliseconds(rules.eachMs) + adviceSlack;
    state.openAdvice = std::move(open);
    logDecision(
        context, "advice.asked", {{"id", formatId(job.id)}, {"step", std::to_string(call.step.step)}, {"workers", std::to_string(call.workers.size())}});
    context.effects.push_back(std::move(call));
}

} // namespace

void askAdvice(Context &context, const std::vector<AdvisedStep> &wanted)
{
    OwnerState &state = context.state;
    if (state.openAdvice || wanted.empty()) {
        return;
    }
    if (state.now < state.adviceNotBefore) {
        scheduleAgainAt(state, state.adviceNotBefore);
        return;
    }
    for (const auto &[id, step] : wanted) {
        const Job *job = findJob(state, id);
        if (job == nullptr || job->finishing || !job->rules.advice) {
            continue;
        }
        std::vector<AgentIndex> agents = workersToAsk(state, *job, step);
        agents.resize(std::min<std::size_t>(agents.size(), std::min(readyTasksOf(*job, step) + adviceSpare, adviceWorkersMost)));
        if (!agents.empty()) {
            ask(context, *job, step, agents);
            return;
        }
    }
}

void handleAdvice(Context &context, const AdviceGiven &given)
{
    OwnerState &state = context.state;
    if (!state.openAdvice || state.openAdvice->number != given.number) {
        return;
    }
    const OpenAdvice open = *std::exchange(state.openAdvice, std::nullopt);
    state.schedulingDue = true;
    const Job *job = findJob(state, open.step.first);
    logDecision(
        context, "advice.given", {{"id", formatId(open.step.first)}, {"answered", given.answered ? "1" : "0"}, {"good", std::to_string(given.tickets.size())}});
    if (!given.answered) {
        pauseAdvice(state);
        return;
    }
    state.advicePause = {};
    if (job == nullptr || !job->rules.advice) {
        return;
    }
    // The service may have decided right after it was asked.
    const Base::MonoTime until = open.askedAt + std::chrono::milliseconds(given.validMs.value_or(job->rules.advice->validMs));
    for (const OpenAdvice::Named &named : open.workers) {
        const auto found = std::find_if(given.tickets.begin(), given.tickets.end(), [&named](const auto &ticket) { return ticket.first == named.worker; });
        state.advice[open.step][named.agent] = {named.workerStartTimeMs, found == given.tickets.end() ? std::string() : found->second, until};
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
    const auto first = state.advice.lower_bound({job, 0});
    state.advice.erase(first, std::find_if(first, state.advice.end(), [job](const auto &entry) { return entry.first.first != job; }));
}

} // namespace LaburnumFlow::Jobs::Internal
