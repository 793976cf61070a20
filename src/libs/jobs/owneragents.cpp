#include "ownersteps.h"

#include "jobsconstants.h"

#include <algorithm>
#include <set>
#include <unordered_set>

namespace LaburnumFlow::Jobs::Internal {

namespace {

using RunSet = std::unordered_set<RunRef, RunRefHash>;

/// Notes for the run's task that the agent hasn't told how the run ended, also if the owner had ordered its stop.
void markGivenUp(OwnerState &state, const RunRef &run)
{
    Job *job = findJob(state, run.task.job);
    if (job == nullptr || !hasTask(*job, run.task)) {
        return;
    }
    Task &task = job->tasks[flatIndex(*job, run.task)];
    if (task.phase != Task::Phase::Done) {
        task.givenUpAt = state.now;
    }
}

/// Handles the end of all runs on the agent's worker.
void handleAllRunsLost(Context &context, AgentIndex index, std::string_view reason)
{
    std::vector<RunRef> lost;
    for (const auto &[run, active] : context.state.agents[index].runs) {
        lost.push_back(run);
    }
    if (!lost.empty()) {
        logDecision(
            context, "worker.lost", {{"agent", context.state.agents[index].name}, {"reason", std::string(reason)}, {"runs", std::to_string(lost.size())}});
    }
    for (const RunRef &run : lost) {
        removeRunOfTask(context.state, context.state.agents[index], run);
        handleTaskLost(context, run, index);
    }
    context.state.schedulingDue = true;
}

void updateWorker(Context &context, AgentIndex index, const AgentReport &report)
{
    Agent &agent = context.state.agents[index];
    if (report.workerTerminated) {
        handleAllRunsLost(context, index, "worker-gone");
        agent.worker.reset();
        return;
    }
    if (!report.worker) {
        return;
    }
    const bool replaced = !agent.worker || agent.worker->startTimeMs != report.worker->startTimeMs;
    if (replaced) {
        handleAllRunsLost(context, index, "worker-replaced");
        agent.ends.clear();
        agent.endsToLapse = 0;
        agent.endsRecorded = report.endsAcknowledged;
        agent.health = {};
    }
    if (replaced || agent.worker->draining != report.worker->draining) {
        logDecision(context,
                    "worker.changed",
                    {{"agent", agent.name},
                     {"worker", report.worker->id},
                     {"born", std::to_string(report.worker->startTimeMs)},
                     {"draining", report.worker->draining ? "1" : "0"}});
    }
    agent.worker = report.worker;
    context.state.schedulingDue = true;
}

/// Orders the stop of a run that the agent has, also if an earlier order may have been lost with its link.
void stopAgain(Agent &agent, const RunRef &run)
{
    agent.runs.at(run).stopping = true;
    agent.outbox.stops.push_back(run);
}

/// Handles a run that the agent lists: adopts it, keeps it as an orphan, or orders its stop if it isn't needed.
void handleListedRun(Context &context, AgentIndex index, const PossibleRun &possible)
{
    OwnerState &state = context.state;
    Agent &agent = state.agents[index];
    const RunRef &run = possible.run;
    if (const auto known = agent.runs.find(run); known != agent.runs.end()) {
        if (known->second.stopping) {
            stopAgain(agent, run);
        }
        return;
    }
    addRunOfTask(state, agent, run, possible.need, 0);
    Job *job = findJob(state, run.task.job);
    if (job == nullptr && !state.finished.contains(run.task.job)) {
        state.orphans[run.task.job].push_back({index, run});
        stopOrphans(context);
        return;
    }
    if (job == nullptr || !ensureOccurrenceBegun(context, *job, run.task)) {
        orderStop(agent, run);
        return;
    }
    sendRunRequirements(agent, *job, run);
    adoptRun(context, *job, index, run);
    handleCheckpoint(context, {run, possible.checkpoint});
}

void reconcile(Context &context, AgentIndex index, const AgentReport &report)
{
    RunSet listed;
    for (const PossibleRun &possible : report.running) {
        listed.insert(possible.run);
    }
    for (const RunEnd &end : report.ends) {
        listed.insert(end.run);
    }
    std::vector<RunRef> missing;
    for (const auto &[run, active] : context.state.agents[index].runs) {
        // The report doesn't reflect starts that are still on their way to the agent.
        if (!listed.contains(run) && active.orders <= report.ordersSeen) {
            missing.push_back(run);
        }
    }
    // The start call of such a run may have been sent by a former process of the agent and be executed late. The refusal that follows the
    // stop tells that it never will be.
    for (const RunRef &run : missing) {
        stopAgain(context.state.agents[index], run);
    }
    for (const PossibleRun &possible : report.running) {
        handleListedRun(context, index, possible);
    }
    if (!formerRunsResolved(context.state)) {
        return;
    }
    std::set<JobId> jobs;
    for (const PossibleRun &possible : report.running) {
        jobs.insert(possible.run.task.job);
    }
    for (const JobId id : jobs) {
        if (Job *job = findJob(context.state, id)) {
            breakPartialGangs(context, *job);
        }
    }
}

void handleAcknowledgedEnds(Agent &agent, std::uint64_t upTo)
{
    if (agent.endsRecorded < upTo) {
        agent.endsRecorded = upTo;
        agent.ends.erase(agent.ends.begin(), agent.ends.upper_bound(upTo));
    }
}

void handleWorkerSilence(Context &context, Agent &agent, bool silent)
{
    if (agent.workerSilent == silent) {
        return;
    }
    agent.workerSilent = silent;
    context.state.schedulingDue |= !silent;
    logDecision(context, silent ? "worker.silent" : "worker.answers", {{"agent", agent.name}, {"runs", std::to_string(agent.runs.size())}});
}

} // namespace

Agent &findOrAddAgent(OwnerState &state, const std::string &name)
{
    const auto [found, added] = state.agentByName.emplace(name, static_cast<AgentIndex>(state.agents.size()));
    if (added) {
        state.agents.emplace_back().name = name;
    }
    return state.agents[found->second];
}

void addRunOfTask(OwnerState &state, Agent &agent, const RunRef &run, const Resources &need, std::uint64_t orders)
{
    if (addRun(agent, run, need, orders, state.now)) {
        ++state.runCounts[run.task];
    }
}

bool removeRunOfTask(OwnerState &state, Agent &agent, const RunRef &run)
{
    if (!removeRun(agent, run)) {
        return false;
    }
    const auto found = state.runCounts.find(run.task);
    if (--found->second == 0) {
        state.runCounts.erase(found);
    }
    return true;
}

void sendRunRequirements(Agent &agent, const Job &job, const RunRef &run)
{
    const StepSpec &step = stepSpec(job, findStepIndex(job, run.task));
    if (agent.runs.at(run).need != step.need) {
        updateNeed(agent, run, step.need);
        agent.outbox.runRequirements.push_back({run, step.need, step.latencyTargetMs});
    }
}

void orderStop(Agent &agent, const RunRef &run)
{
    const auto found = agent.runs.find(run);
    if (found != agent.runs.end()) {
        if (found->second.stopping) {
            return;
        }
        found->second.stopping = true;
    }
    agent.outbox.stops.push_back(run);
}

void handleReport(Context &context, const std::string &name, const AgentReport &report)
{
    OwnerState &state = context.state;
    if (report.epoch > state.epoch) {
        context.effects.push_back(StepDown{report.epoch});
        return;
    }
    Agent &agent = findOrAddAgent(state, name);
    const AgentIndex index = state.agentByName.at(name);
    state.schedulingDue |= state.now - agent.tokenAt > agentSilenceTimeout;
    agent.token = std::max(agent.token, report.token);
    agent.tokenAt = state.now;
    // The agent repeats this content in the full report that it sends once it knows this owner.
    if (report.epoch < state.epoch || (!agent.reported && !report.full)) {
        return;
    }
    handleWorkerSilence(context, agent, report.workerSilent);
    updateWorker(context, index, report);
    if (report.full) {
        state.agents[index].reported = true;
        // A later process of the agent names no former owner, and the owner has known the agent's runs since the first report.
        if (!state.agents[index].reportedLate) {
            state.agents[index].reportedLate = state.lateAgents.contains(name) || report.formerEpoch + 1 < state.epoch;
        }
        state.schedulingDue = true;
        reconcile(context, index, report);
        if (!report.endsIncomplete) {
            state.agentsChanged |= state.awaitedAgents.erase(name) > 0;
            state.agentsChanged |= state.givenUpAgents.erase(name) > 0;
        }
    }
    handleAcknowledgedEnds(state.agents[index], report.endsAcknowledged);
    for (const RunEnd &end : report.ends) {
        handleEnd(context, index, end);
    }
    for (const RunRefusal &refusal : report.refusals) {
        handleRefusal(context, index, refusal);
    }
    for (const RunRef &run : report.stalled) {
        handleStalled(context, index, run);
    }
    for (const RunCheckpoint &checkpoint : report.checkpoints) {
        handleCheckpoint(context, checkpoint);
    }
}

void handleUnlinked(Context &context, const std::string &name)
{
    Agent &agent = findOrAddAgent(context.state, name);
    agent.linked = false;
    agent.unlinkedAt = context.state.now;
    context.state.agentsChanged = true;
    agent.reported = false;
    agent.outbox = {};
    logDecision(context, "agent.unlinked", {{"agent", name}, {"runs", std::to_string(agent.runs.size())}});
}

void expireAgents(Context &context)
{
    for (AgentIndex index = 0; index < context.state.agents.size(); ++index) {
        const Agent &agent = context.state.agents[index];
        if (!agent.runs.empty() && context.state.now - agent.tokenAt > runExpiryTimeout) {
            for (const auto &[run, active] : agent.runs) {
                markGivenUp(context.state, run);
            }
            handleAllRunsLost(context, index, "silent");
        }
    }
}

void recordAgents(Context &context)
{
    OwnerState &state = context.state;
    // With some dozen workers, listing and sorting all agents at each event would take more time than all other decisions.
    const auto mayBeDropped = [](const Agent &agent) { return !agent.linked && agent.recorded; };
    const bool due = state.now - state.agentsListedAt >= unlinkedAgentRetention / 4;
    if (!state.agentsChanged && !(due && std::any_of(state.agents.begin(), state.agents.end(), mayBeDropped))) {
        return;
    }
    state.agentsChanged = false;
    state.agentsListedAt = state.now;
    std::vector<std::string> names(state.awaitedAgents.begin(), state.awaitedAgents.end());
    names.insert(names.end(), state.givenUpAgents.begin(), state.givenUpAgents.end());
    for (const Agent &agent : state.agents) {
        // A later owner waits for a report of each recorded agent, so an agent that has left without runs is dropped soon.
        if (agent.linked || !agent.runs.empty() || state.now - agent.unlinkedAt < unlinkedAgentRetention) {
            names.push_back(agent.name);
        }
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    state.recorder.setAgents(std::move(names));
}

void updateRecordedAgents(Context &context)
{
    const std::vector<std::string> &names = context.state.recorder.recordedAgents();
    for (Agent &agent : context.state.agents) {
        const bool recorded = std::binary_search(names.begin(), names.end(), agent.name);
        context.state.schedulingDue |= recorded && !agent.recorded;
        agent.recorded = recorded;
    }
}

} // namespace LaburnumFlow::Jobs::Internal
