#include "nodestatus.h"

#include "jobs/fleet.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <map>

namespace LaburnumFlow::NodeStatus {

namespace {

using Json = nlohmann::json;

/// Returns the milliseconds from since to now, or null if since is unset.
Json elapsedMs(Base::MonoTime since, Base::MonoTime now)
{
    if (since == Base::MonoTime{}) {
        return nullptr;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
}

Json processToJson(const ProcessInfo &info, const char *role)
{
    return {{"role", role}, {"name", info.name}, {"failureDomain", info.failureDomain}, {"stopping", info.stopping}};
}

Json peersToJson(const EntryNode::OwnershipState &ownership)
{
    Json rows = Json::array();
    for (const auto &[name, peer] : ownership.peers) {
        rows.push_back({{"name", name}, {"present", peer.present}, {"linked", peer.linked}, {"processorPercent", peer.record.processorPercent}});
    }
    return rows;
}

/// Returns the reason why the worker gets no new tasks; "ready" if it gets them.
const char *workerState(const Jobs::Agent &agent, Base::MonoTime now)
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

Json workerToJson(const Jobs::OwnerState &owner, const Jobs::Agent &agent)
{
    Json row{{"agent", agent.name}, {"state", workerState(agent, owner.now)}, {"runs", agent.runs.size()}, {"heardMsAgo", elapsedMs(agent.tokenAt, owner.now)}};
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
    std::size_t waiting = 0; ///< Open jobs with tasks that are ready to start
    Base::MonoTime oldestArrivedAt = Base::MonoTime::max(); ///< Arrival of the oldest open job
};

Json queuesToJson(const Jobs::OwnerState &owner)
{
    std::map<std::string, QueueCounts> counts;
    for (const auto &[name, rules] : owner.rules) {
        counts[name];
    }
    for (const auto &[id, job] : owner.jobs) {
        QueueCounts &queue = counts[job.rules.name];
        ++queue.open;
        queue.waiting += job.readyTasks > 0 ? 1 : 0;
        queue.oldestArrivedAt = std::min(queue.oldestArrivedAt, job.arrivedAt);
    }
    Json rows = Json::array();
    for (const auto &[name, queue] : counts) {
        const auto unstarted = owner.unstarted.find(name);
        rows.push_back({{"queue", name},
                        {"open", queue.open},
                        {"waiting", queue.waiting},
                        {"unstarted", unstarted == owner.unstarted.end() ? 0 : unstarted->second},
                        {"oldestMs", queue.open == 0 ? Json(0) : elapsedMs(queue.oldestArrivedAt, owner.now)}});
    }
    return rows;
}

Json ownerToJson(const Jobs::OwnerState &owner)
{
    Json workers = Json::array();
    for (const Jobs::Agent &agent : owner.agents) {
        workers.push_back(workerToJson(owner, agent));
    }
    return {{"epoch", owner.epoch},
            {"certain", owner.tasksInDoubt == 0},
            {"awaitedAgents", owner.awaitedAgents.size()},
            {"commitStuckMs", std::chrono::duration_cast<std::chrono::milliseconds>(owner.recorder.pendingCommitAge(owner.now)).count()},
            {"queues", queuesToJson(owner)},
            {"workers", std::move(workers)}};
}

} // namespace

Json entryStatus(const EntryInfo &info, const EntryNode::OwnershipState &ownership, const Jobs::OwnerState *owner)
{
    Json document = processToJson(info.process, "entry");
    document["rulesVersion"] = info.rulesVersion;
    document["owner"] = info.owner;
    document["ownerEpoch"] = ownership.owner ? ownership.owner->epoch : 0;
    document["openRequests"] = info.openRequests;
    document["store"] = {{"reachable", storeReachable(ownership)}, {"answeredMsAgo", elapsedMs(ownership.lastStoreResponseAt, ownership.now)}};
    document["entries"] = peersToJson(ownership);
    if (owner != nullptr) {
        document["jobs"] = ownerToJson(*owner);
    }
    return document;
}

Json agentStatus(const ProcessInfo &info, const TaskAgent::AgentState &agent)
{
    Json document = processToJson(info, "agent");
    document["worker"] = agent.worker ? agent.worker->id : std::string();
    document["workerHeardMsAgo"] = elapsedMs(agent.workerHeardAt, agent.now);
    document["workerSilent"] = agent.silentSince.has_value();
    document["ownerEpoch"] = agent.epoch;
    document["hasOwner"] = !agent.ownerEntry.empty();
    document["runs"] = agent.runs.size();
    document["endsUnrecorded"] = agent.ends.size();
    document["backgroundPercent"] = agent.backgroundPercent;
    return document;
}

} // namespace LaburnumFlow::NodeStatus
