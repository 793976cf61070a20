#include "placement.h"

#include "dispatchconstants.h"
#include "workerhealth.h"

#include <algorithm>
#include <limits>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

double occupancy(const Cluster::AgentInfo &agent, const AgentWork &work)
{
    const double reported = static_cast<double>(agent.load.running) + agent.load.queued + work.unacknowledged;
    return std::max(reported, static_cast<double>(work.live.size()));
}

/// A quarter more than the slots, so that an agent does not idle for a round trip between two tasks.
double roomLimit(const DispatchState &state, const Cluster::AgentInfo &agent, const AgentWork &work)
{
    if (work.health == Health::Ejected) {
        return probeDue(state, work) ? std::numeric_limits<double>::max() : 0;
    }
    if (suspected(state, work)) {
        return 1;
    }
    const double slots = agent.load.slots;
    const double limit = slots + std::max(1.0, slots / 4);
    return std::max(1.0, limit * healthShare(state, work));
}

bool hasRoom(Context &context, const Cluster::AgentInfo &agent, const AgentWork &work)
{
    return agent.load.slots > 0 && occupancy(agent, work) < roomLimit(context.state, agent, work) && Cluster::acceptsWork(context.cluster, agent);
}

bool runsKind(const Cluster::AgentInfo &agent, std::string_view kind)
{
    return agent.kinds.empty() || std::find(agent.kinds.begin(), agent.kinds.end(), kind) != agent.kinds.end();
}

bool runsAlready(const Task &task, const std::string &agent)
{
    return std::any_of(task.live.begin(), task.live.end(), [&](const Attempt &attempt) { return attempt.agent == agent; });
}

bool fits(const Cluster::AgentInfo &agent, const AgentWork &work, const PlacementRequest &request)
{
    if (!runsKind(agent, request.kind) || runsAlready(*request.task, agent.id.name)) {
        return false;
    }
    if (work.health == Health::Ejected && !request.idempotent) {
        return false;
    }
    const std::uint32_t longLimit = static_cast<std::uint32_t>(agent.load.slots - agent.load.slots / 4);
    return !request.longWork || std::max<std::uint32_t>(agent.load.runningLongTasks, work.longLive) < longLimit;
}

double speedOf(const Cluster::AgentInfo &agent, const AgentWork &work)
{
    return std::max(0.01, work.speedSamples >= minSamples ? work.speed : static_cast<double>(agent.load.speed));
}

/// Expected time in ms until the task would end there.
double expectedEnd(const Cluster::AgentInfo &agent, const AgentWork &work, const PlacementRequest &request)
{
    const double run = request.costMs / speedOf(agent, work);
    const double excess = occupancy(agent, work) + 1 - agent.load.slots;
    const double wait = excess <= 0 ? 0 : (agent.load.queuedWorkMs + excess * run) / agent.load.slots;
    return wait + run;
}

struct Best {
    PlacementChoice choice;
    double score = std::numeric_limits<double>::max();
};

class Search
{
public:
    Search(Context &context, const PlacementRequest &request) : context_(context), request_(request), open_(context.state.openAgents) { }

    PlacementChoice operator()(const ExpectedWait &)
    {
        return sample(placementSample, [&](const auto &agent, const auto &work) { return expectedEnd(agent, work, request_); });
    }

    PlacementChoice operator()(const Random &)
    {
        return sample(1, [](const auto &, const auto &) { return 0.0; });
    }

    PlacementChoice operator()(const PowerOfTwo &)
    {
        return sample(2, [](const auto &agent, const auto &work) { return occupancy(agent, work) / agent.load.slots; });
    }

    PlacementChoice operator()(const RoundRobin &)
    {
        return scan(context_.state.roundRobin++);
    }

private:
    template<typename Score>
    PlacementChoice sample(std::size_t size, const Score &score)
    {
        Best best;
        // With few agents all are compared, from a random position on; ties then fall evenly.
        const bool all = open_.size() <= size;
        std::size_t position = context_.state.random();
        const std::size_t tries = std::min(size, open_.size());
        for (std::size_t i = 0; i < tries && !open_.empty(); ++i) {
            position = all ? position + 1 : context_.state.random();
            consider(position % open_.size(), score, best);
            if (best.choice.probe) {
                break;
            }
        }
        return best.choice.agent != nullptr ? best.choice : scan(context_.state.random());
    }

    /// The first agent that fits; one that the task avoids only if no other does.
    PlacementChoice scan(std::size_t start)
    {
        Best best;
        const std::size_t tries = std::min(placementScan, open_.size());
        for (std::size_t i = 0; i < tries && !open_.empty(); ++i) {
            consider((start + i) % open_.size(), [](const auto &, const auto &) { return 0.0; }, best);
            if (best.choice.agent != nullptr && best.score == 0) {
                break;
            }
        }
        return best.choice;
    }

    template<typename Score>
    void consider(std::size_t position, const Score &score, Best &best)
    {
        const std::string &name = open_[position];
        const auto found = context_.cluster.agents.find(name);
        AgentWork &work = context_.state.agents[name];
        if (found == context_.cluster.agents.end() || !hasRoom(context_, found->second, work)) {
            work.open = false;
            std::swap(open_[position], open_.back());
            open_.pop_back();
            return;
        }
        const Cluster::AgentInfo &agent = found->second;
        if (!fits(agent, work, request_)) {
            return;
        }
        const auto &avoid = request_.task->avoid;
        const bool avoided = std::find(avoid.begin(), avoid.end(), agent.id.name) != avoid.end();
        const double value = work.health == Health::Ejected ? 0 : score(agent, work) + (avoided ? avoidedPenalty : 0);
        if (value < best.score) {
            best = {{&agent, work.health == Health::Ejected}, value};
        }
    }

    static constexpr double avoidedPenalty = 1e9;

    Context &context_;
    const PlacementRequest &request_;
    std::vector<std::string> &open_;
};

} // namespace

PlacementChoice choosePlacement(Context &context, const PlacementRequest &request)
{
    return std::visit(Search(context, request), context.state.placement);
}

void refreshAgents(Context &context)
{
    DispatchState &state = context.state;
    state.openAgents.clear();
    state.kindAgents.clear();
    state.anyKindAgents = 0;
    state.knownAgents = 0;
    state.totalSlots = 0;
    for (const auto &[name, agent] : context.cluster.agents) {
        AgentWork &work = state.agents[name];
        work.open = false;
        if (agent.fenced || agent.state == Protocol::AgentState::Leaving) {
            continue;
        }
        ++state.knownAgents;
        state.anyKindAgents += agent.kinds.empty() ? 1 : 0;
        for (const std::string &kind : agent.kinds) {
            ++state.kindAgents[kind];
        }
        if (!Cluster::acceptsWork(context.cluster, agent)) {
            continue;
        }
        state.totalSlots += work.health == Health::Ejected ? 0 : agent.load.slots;
        if (hasRoom(context, agent, work)) {
            work.open = true;
            state.openAgents.push_back(name);
        }
    }
    state.nextRefresh = state.now + membershipRefreshInterval;
}

void reopenAgent(Context &context, const std::string &name)
{
    DispatchState &state = context.state;
    AgentWork &work = state.agents[name];
    const auto found = context.cluster.agents.find(name);
    if (work.open || found == context.cluster.agents.end() || !hasRoom(context, found->second, work)) {
        return;
    }
    work.open = true;
    state.openAgents.push_back(name);
}

bool placeable(const DispatchState &state, std::string_view kind)
{
    return state.knownAgents == 0 || state.anyKindAgents > 0 || state.kindAgents.contains(kind);
}

} // namespace LaburnumFlow::Dispatch::Internal
