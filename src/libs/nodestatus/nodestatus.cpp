#include "nodestatus.h"

#include "jobs/fleet.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <map>

namespace LaburnumFlow::NodeStatus {

namespace {

using Json = nlohmann::json;

/// Null if it has never been.
Json msSince(Base::MonoTime then, Base::MonoTime now)
{
    if (then == Base::MonoTime{}) {
        return nullptr;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count();
}

Json processRow(const ProcessInfo &info, const char *role)
{
    return {{"role", role}, {"name", info.name}, {"failureDomain", info.failureDomain}, {"stopping", info.stopping}};
}

Json peerRows(const EntryNode::OwnershipState &ownership)
{
    Json rows = Json::array();
    for (const auto &[name, peer] : ownership.peers) {
        rows.push_back({{"name", name}, {"present", peer.present}, {"linked", peer.linked}, {"processorPercent", peer.record.processorPercent}});
    }
    return rows;
}

/// Why the worker gets no new tasks; "ready" if it does.
const char *stateOf(const Jobs::Agent &agent, Base::MonoTime now)
{
    if (!agent.linked) {
        return "unlinked";
    }
    const bool announced = agent.worker && !agent.worker->id.empty();
    if (!announced) {
        return "no-worker";
    }
    if (agent.worker->draining) {
        return "draining";
    }
    if (agent.workerSilent) {
        return "silent";
    }
    if (now < agent.health.suspendedUntil) {
        return "suspended";
    }
    return acceptsWork(agent, now) ? "ready" : "waiting";
}

Json workerRow(const Jobs::OwnerState &owner, const Jobs::Agent &agent)
{
    Json row{{"agent", agent.name}, {"state", stateOf(agent, owner.now)}, {"runs", agent.runs.size()}, {"heardMsAgo", msSince(agent.tokenAt, owner.now)}};
    if (agent.worker) {
        row["worker"] = agent.worker->id;
        row["service"] = agent.worker->service;
        row["failureDomain"] = agent.worker->failureDomain;
        row["usedMilli"] = agent.used.cpuMilli;
        row["capacityMilli"] = agent.worker->capacity.cpuMilli;
        row["speedPercent"] = std::lround(100.0 * expectedSpeed(agent, owner.kindSpeeds, owner.now));
    }
    return row;
}

struct QueueCounts {
    std::size_t open = 0;
    std::size_t waiting = 0; ///< open jobs with tasks that may start
    Base::MonoTime oldest = Base::MonoTime::max(); ///< when the oldest open job arrived
};

Json queueRows(const Jobs::OwnerState &owner)
{
    std::map<std::string, QueueCounts> counts;
    for (const auto &[name, rules] : owner.rules) {
        counts[name];
    }
    for (const auto &[id, job] : owner.jobs) {
        QueueCounts &queue = counts[job.rules.name];
        ++queue.open;
        queue.waiting += job.readyTasks > 0 ? 1 : 0;
        queue.oldest = std::min(queue.oldest, job.arrivedAt);
    }
    Json rows = Json::array();
    for (const auto &[name, queue] : counts) {
        const auto unstarted = owner.unstarted.find(name);
        rows.push_back({{"queue", name},
                        {"open", queue.open},
                        {"waiting", queue.waiting},
                        {"unstarted", unstarted == owner.unstarted.end() ? 0 : unstarted->second},
                        {"oldestMs", queue.open == 0 ? Json(0) : msSince(queue.oldest, owner.now)}});
    }
    return rows;
}

Json ownerDocument(const Jobs::OwnerState &owner)
{
    Json workers = Json::array();
    for (const Jobs::Agent &agent : owner.agents) {
        workers.push_back(workerRow(owner, agent));
    }
    return {{"epoch", owner.epoch},
            {"certain", owner.tasksInDoubt == 0},
            {"awaitedAgents", owner.awaitedAgents.size()},
            {"commitStuckMs", std::chrono::duration_cast<std::chrono::milliseconds>(owner.recorder.pendingCommitAge(owner.now)).count()},
            {"queues", queueRows(owner)},
            {"workers", std::move(workers)}};
}

} // namespace

Json entryStatus(const EntryInfo &info, const EntryNode::OwnershipState &ownership, const Jobs::OwnerState *owner)
{
    Json document = processRow(info.process, "entry");
    document["rulesVersion"] = info.rulesVersion;
    document["owner"] = info.owner;
    document["ownerEpoch"] = ownership.owner ? ownership.owner->epoch : 0;
    document["openRequests"] = info.openRequests;
    document["store"] = {{"reachable", storeReachable(ownership)}, {"answeredMsAgo", msSince(ownership.lastStoreResponseAt, ownership.now)}};
    document["entries"] = peerRows(ownership);
    if (owner != nullptr) {
        document["jobs"] = ownerDocument(*owner);
    }
    return document;
}

Json agentStatus(const ProcessInfo &info, const TaskAgent::AgentState &agent)
{
    Json document = processRow(info, "agent");
    document["worker"] = agent.worker ? agent.worker->id : std::string();
    document["workerHeardMsAgo"] = msSince(agent.workerHeardAt, agent.now);
    document["workerSilent"] = agent.silentSince.has_value();
    document["ownerEpoch"] = agent.epoch;
    document["hasOwner"] = !agent.ownerEntry.empty();
    document["runs"] = agent.runs.size();
    document["endsUnrecorded"] = agent.ends.size();
    document["backgroundPercent"] = agent.backgroundPercent;
    return document;
}

} // namespace LaburnumFlow::NodeStatus
