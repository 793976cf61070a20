#include "placement.h"

#include "dispatchconstants.h"
#include "workerhealth.h"

#include <algorithm>
#include <limits>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

double occupiedSlots(const Cluster::AgentInfo &agent, const AgentRecord &record)
{
    const double reported = static_cast<double>(agent.load.running) + agent.load.queued + record.unacknowledged;
    return std::max(reported, static_cast<double>(record.liveAttempts.size()));
}

/// Returns how many attempts an agent may have. A healthy one may have a quarter more than its slots, so that it does not idle
/// for a round trip between two tasks.
double maxAttemptsAt(const DispatchState &state, const Cluster::AgentInfo &agent, const AgentRecord &record)
{
    if (record.health == Health::Ejected) {
        return isProbeDue(state, record) ? std::numeric_limits<double>::max() : 0;
    }
    if (isLimitedToOneTask(state, record)) {
        return 1;
    }
    const double slots = agent.load.slots;
    const double limit = slots + std::max(1.0, slots / 4);
    return std::max(1.0, limit * capacityShare(state, record));
}

bool hasCapacity(Context &context, const Cluster::AgentInfo &agent, const AgentRecord &record)
{
    return agent.load.slots > 0 && occupiedSlots(agent, record) < maxAttemptsAt(context.state, agent, record) && Cluster::acceptsWork(context.cluster, agent);
}

bool runsKind(const Cluster::AgentInfo &agent, std::string_view kind)
{
    return agent.kinds.empty() || std::find(agent.kinds.begin(), agent.kinds.end(), kind) != agent.kinds.end();
}

bool hasLiveAttemptAt(const Task &task, const std::string &agent)
{
    return std::any_of(task.liveAttempts.begin(), task.liveAttempts.end(), [&](const Attempt &attempt) { return attempt.agent == agent; });
}

bool canRun(const Cluster::AgentInfo &agent, const AgentRecord &record, const PlacementRequest &request)
{
    if (!runsKind(agent, request.kind) || hasLiveAttemptAt(*request.task, agent.id.name)) {
        return false;
    }
    if (record.health == Health::Ejected && !request.idempotent) {
        return false;
    }
    const std::uint32_t maxLongTasks = static_cast<std::uint32_t>(agent.load.slots - agent.load.slots / 4);
    return !request.isLongTask || std::max<std::uint32_t>(agent.load.runningLongTasks, record.liveLongTasks) < maxLongTasks;
}

double effectiveSpeed(const Cluster::AgentInfo &agent, const AgentRecord &record)
{
    return std::max(0.01, record.speedSampleCount >= minEstimateSamples ? record.speedEstimate : static_cast<double>(agent.load.speed));
}

/// Returns the expected time in milliseconds until the task would end at the agent.
double expectedEndMs(const Cluster::AgentInfo &agent, const AgentRecord &record, const PlacementRequest &request)
{
    const double run = request.costMs / effectiveSpeed(agent, record);
    const double excess = occupiedSlots(agent, record) + 1 - agent.load.slots;
    const double wait = excess <= 0 ? 0 : (agent.load.queuedWorkMs + excess * run) / agent.load.slots;
    return wait + run;
}

struct BestCandidate {
    PlacementChoice choice;
    double score = std::numeric_limits<double>::max();
};

class PlacementSearch
{
public:
    PlacementSearch(Context &context, const PlacementRequest &request) : context_(context), request_(request), available_(context.state.availableAgents) { }

    PlacementChoice operator()(const ExpectedWait &)
    {
        return sample(placementSampleSize, [&](const auto &agent, const auto &record) { return expectedEndMs(agent, record, request_); });
    }

    PlacementChoice operator()(const Random &)
    {
        return sample(1, [](const auto &, const auto &) { return 0.0; });
    }

    PlacementChoice operator()(const PowerOfTwo &)
    {
        return sample(2, [](const auto &agent, const auto &record) { return occupiedSlots(agent, record) / agent.load.slots; });
    }

    PlacementChoice operator()(const RoundRobin &)
    {
        return scan(context_.state.roundRobinPosition++);
    }

private:
    template<typename Score>
    PlacementChoice sample(std::size_t size, const Score &score)
    {
        BestCandidate best;
        // With few agents all are compared, starting at a random position so that ties are spread evenly.
        const bool all = available_.size() <= size;
        std::size_t position = context_.state.random();
        const std::size_t tries = std::min(size, available_.size());
        for (std::size_t i = 0; i < tries && !available_.empty(); ++i) {
            position = all ? position + 1 : context_.state.random();
            consider(position % available_.size(), score, best);
            if (best.choice.isProbe) {
                break;
            }
        }
        return best.choice.agent != nullptr ? best.choice : scan(context_.state.random());
    }

    /// Returns the first agent that fits, and one that the task avoids only if no other fits.
    PlacementChoice scan(std::size_t start)
    {
        BestCandidate best;
        const std::size_t tries = std::min(maxPlacementScan, available_.size());
        for (std::size_t i = 0; i < tries && !available_.empty(); ++i) {
            consider((start + i) % available_.size(), [](const auto &, const auto &) { return 0.0; }, best);
            if (best.choice.agent != nullptr && best.score == 0) {
                break;
            }
        }
        return best.choice;
    }

    template<typename Score>
    void consider(std::size_t position, const Score &score, BestCandidate &best)
    {
        const std::string &name = available_[position];
        const auto found = context_.cluster.agents.find(name);
        AgentRecord &record = context_.state.agents[name];
        if (found == context_.cluster.agents.end() || !hasCapacity(context_, found->second, record)) {
            record.isListed = false;
            std::swap(available_[position], available_.back());
            available_.pop_back();
            return;
        }
        const Cluster::AgentInfo &agent = found->second;
        if (!canRun(agent, record, request_)) {
            return;
        }
        const auto &avoid = request_.task->avoidedAgents;
        const bool avoided = std::find(avoid.begin(), avoid.end(), agent.id.name) != avoid.end();
        const double value = record.health == Health::Ejected ? 0 : score(agent, record) + (avoided ? avoidedPenalty : 0);
        if (value < best.score) {
            best = {{&agent, record.health == Health::Ejected}, value};
        }
    }

    static constexpr double avoidedPenalty = 1e9;

    Context &context_;
    const PlacementRequest &request_;
    std::vector<std::string> &available_;
};

} // namespace

PlacementChoice choosePlacement(Context &context, const PlacementRequest &request)
{
    return std::visit(PlacementSearch(context, request), context.state.placement);
}

void refreshAgents(Context &context)
{
    DispatchState &state = context.state;
    state.availableAgents.clear();
    state.agentCountByKind.clear();
    state.anyKindAgentCount = 0;
    state.knownAgentCount = 0;
    state.totalSlots = 0;
    for (const auto &[name, agent] : context.cluster.agents) {
        AgentRecord &record = state.agents[name];
        record.isListed = false;
        if (agent.fenced || agent.state == Protocol::AgentState::Leaving) {
            continue;
        }
        ++state.knownAgentCount;
        state.anyKindAgentCount += agent.kinds.empty() ? 1 : 0;
        for (const std::string &kind : agent.kinds) {
            ++state.agentCountByKind[kind];
        }
        if (!Cluster::acceptsWork(context.cluster, agent)) {
            continue;
        }
        state.totalSlots += record.health == Health::Ejected ? 0 : agent.load.slots;
        if (hasCapacity(context, agent, record)) {
            record.isListed = true;
            state.availableAgents.push_back(name);
        }
    }
    state.nextAgentRefreshAt = state.now + agentRefreshInterval;
}

void relistAgent(Context &context, const std::string &name)
{
    DispatchState &state = context.state;
    AgentRecord &record = state.agents[name];
    const auto found = context.cluster.agents.find(name);
    if (record.isListed || found == context.cluster.agents.end() || !hasCapacity(context, found->second, record)) {
        return;
    }
    record.isListed = true;
    state.availableAgents.push_back(name);
}

bool isPlaceable(const DispatchState &state, std::string_view kind)
{
    return state.knownAgentCount == 0 || state.anyKindAgentCount > 0 || state.agentCountByKind.contains(kind);
}

} // namespace LaburnumFlow::Dispatch::Internal
