#pragma once

#include "cluster/cluster.h"
#include "dispatchstate.h"
#include "events/entryeffects.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace LaburnumFlow::Dispatch::Internal {

/// State of one call of the reducer. Collects starts, cancellations and queries, so that each agent gets one message of each.
struct Context {
    DispatchState &state;
    const Cluster::ClusterState &cluster;
    Events::Effects effects;
    std::map<std::string, Protocol::StartBatch, std::less<>> starts;
    std::map<std::string, Protocol::CancelTasks, std::less<>> cancels;
    std::map<std::string, Protocol::QueryAttempts, std::less<>> queries;

    void count(std::string_view counter)
    {
        effects.emplace_back(Events::Count{counter, 1});
    }

    void armTimer(Base::MonoTime at, TimerKind kind, const Base::TaskKey &task, std::uint64_t number = 0)
    {
        state.timers.push(Timer{at, kind, task, number});
    }

    Protocol::Epoch epoch() const
    {
        return cluster.map ? cluster.map->epoch : 0;
    }
};

/// Returns the rules of a kind, or null if the team or the kind is unknown.
inline const Settings::KindRules *kindRules(const Settings::TeamRules *rules, std::string_view kind)
{
    if (rules == nullptr) {
        return nullptr;
    }
    const auto found = rules->kinds.find(kind);
    return found == rules->kinds.end() ? nullptr : &found->second;
}

/// Returns the whole milliseconds left until a time, at least 0.
inline std::uint32_t remainingMs(Base::MonoTime until, Base::MonoTime now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - now).count();
    return left <= 0 ? 0U : static_cast<std::uint32_t>(left);
}

} // namespace LaburnumFlow::Dispatch::Internal
