#include "ownerchangemodel.h"

#include "jobs/jobtext.h"

#include <cstdlib>
#include <utility>

namespace LaburnumFlow::EntryNode::Testing {

namespace {

constexpr Base::Duration workerHeartbeatInterval = 500ms;

} // namespace

void OwnerChangeModel::feedAgent(NodeIndex index, const TaskAgent::AgentEvent &event)
{
    TaskAgent::AgentState &state = agentAt(index).state;
    for (const TaskAgent::AgentEffect &effect : TaskAgent::reduce(state, TaskAgent::TimePassed{now_})) {
        carryOut(index, effect);
    }
    for (const TaskAgent::AgentEffect &effect : TaskAgent::reduce(state, event)) {
        carryOut(index, effect);
    }
}

void OwnerChangeModel::postToAgent(Base::Duration delay, NodeIndex index, TaskAgent::AgentEvent event)
{
    postToAgentProcess(delay, index, [this, index, event = std::move(event)] { feedAgent(index, event); });
}

/// The action is lost if the agent restarts before.
void OwnerChangeModel::postToAgentProcess(Base::Duration delay, NodeIndex index, Action action)
{
    post(delay, [this, index, incarnation = agentAt(index).incarnation, action = std::move(action)] {
        if (agentAt(index).incarnation == incarnation) {
            deliverToAgent(index, action);
        }
    });
}

void OwnerChangeModel::carryOut(NodeIndex index, const TaskAgent::AgentEffect &effect)
{
    if (const auto *start = std::get_if<TaskAgent::CallStart>(&effect)) {
        callStart(index, *start);
    } else if (const auto *stop = std::get_if<TaskAgent::CallStop>(&effect)) {
        callStop(index, *stop);
    } else if (const auto *hold = std::get_if<TaskAgent::CallHold>(&effect)) {
        callHold(index, *hold);
    } else if (const auto *update = std::get_if<TaskAgent::UpdateEntries>(&effect)) {
        agentAt(index).knownEntries = update->entries;
    } else if (const auto *report = std::get_if<TaskAgent::SendReport>(&effect)) {
        sendReport(index, *report);
    } else if (const auto *decision = std::get_if<TaskAgent::Decision>(&effect)) {
        noteDecision(agentAt(index).name, decision->event, decision->fields);
    }
}

void OwnerChangeModel::sendReport(NodeIndex index, const TaskAgent::SendReport &effect)
{
    const LinkId id = std::strtoull(effect.entry.c_str(), nullptr, 10);
    const NodeIndex entry = links_.at(id).acceptor;
    send(id, entry, [this, entry, id, index, report = effect.report] {
        const auto link = entries_[entry].agentLinks.find(index);
        if (link != entries_[entry].agentLinks.end() && link->second == id) {
            feedOwner(entry, Jobs::AgentReported{agentAt(index).name, report});
        }
    });
}

void OwnerChangeModel::restartAgent(NodeIndex index)
{
    Agent &agent = agentAt(index);
    note(agent.name + " is killed and starts again");
    ++agent.incarnation;
    for (const auto &[id, link] : links_) {
        if (link.dialer == index) {
            breakLink(id, 1ms, 5ms);
        }
    }
    agent.state = TaskAgent::makeAgent(now_);
    agent.pendingHolds.clear();
    agent.entryLinks.clear();
    agent.knownEntries.clear();
    agent.entriesReadAt = {};
    agent.standsStillUntil = {};
    agent.held.clear();
}

void OwnerChangeModel::expireWorkers()
{
    for (Agent &agent : agents_) {
        agent.worker.expire(now_);
        for (const Jobs::RunEnd &end : agent.worker.takeNewEnds()) {
            rules_.noteEnd(end);
        }
    }
}

void OwnerChangeModel::restartWorker(NodeIndex index)
{
    Agent &agent = agentAt(index);
    expireWorkers();
    note(agent.name + "'s worker is killed and starts again");
    agent.workerDownUntil = now_ + (options_.longestWorkerDownTime > 0ms ? randomTime(0ms, options_.longestWorkerDownTime) : 0ms);
    const auto startedAt = std::chrono::duration_cast<std::chrono::milliseconds>(agent.workerDownUntil);
    agent.worker = ModelWorker(ModelWorker::firstStartTimeMs + startedAt.count(), agent.workerDownUntil);
    agent.heartbeats = 0;
    // The connections of pending calls are reset.
    for (const auto &[number, call] : std::exchange(agent.pendingHolds, {})) {
        if (isSentTwice()) {
            sendHoldAgain(index, call, randomTime(1ms, 6ms));
        } else {
            postToAgent(randomTime(1ms, 6ms), index, unanswered(call));
        }
    }
}

/// The ends of all runs so far must have been noted.
void OwnerChangeModel::checkStart(NodeIndex index, const Jobs::RunRef &run)
{
    checkSingleRun(index, run);
    if (!isStored(run.task.job)) {
        return;
    }
    violateEndRule(rules_.checkStart(run, now_));
    violate(rules_.checkOrder(run));
    violateEndRule(rules_.checkBudget(run.task));
}

void OwnerChangeModel::checkAcknowledgedEnd(const ModelWorker::AcknowledgedEnd &ended)
{
    if (!isStored(ended.end.run.task.job)) {
        return;
    }
    violateEndRule(rules_.checkAcknowledgedEnd(ended.end, ended.endedAt));
    if (ended.end.outcome == Jobs::RunOutcome::Failed) {
        rules_.noteAcknowledgedFailure(ended.end.run.task, ended.endedAt);
        violateEndRule(rules_.checkBudget(ended.end.run.task));
    }
}

/// Returns how the run ends unless it is stopped or its lease ends.
Jobs::RunOutcome OwnerChangeModel::drawOutcome(const Jobs::RunRef &run)
{
    const bool fails = options_.failingRunShare > 0 && isStored(run.task.job) && chance(options_.failingRunShare);
    return fails ? Jobs::RunOutcome::Failed : Jobs::RunOutcome::Done;
}

void OwnerChangeModel::checkSingleRun(NodeIndex index, const Jobs::RunRef &run)
{
    for (const Agent &agent : agents_) {
        if (agent.worker.runsTask(run.task)) {
            violate(agentAt(index).name + " starts " + Jobs::formatRun(run) + ", which " + agent.name + " is running");
        }
    }
}

void OwnerChangeModel::sendWorkerHeartbeat(NodeIndex index)
{
    Agent &agent = agentAt(index);
    TaskAgent::WorkerHeartbeat heartbeat;
    heartbeat.worker = {"worker-" + agent.name, agent.worker.startTimeMs(), "service", "domain", "a", "rack", {}, {8000, 65'536, 0}, false};
    heartbeat.sequence = ++agent.heartbeats;
    if (!isWorkerDown(index)) {
        deliverToAgent(index, [this, index, heartbeat] { feedAgent(index, heartbeat); });
    }
    post(workerHeartbeatInterval, [this, index] { sendWorkerHeartbeat(index); });
}

} // namespace LaburnumFlow::EntryNode::Testing
