#include "admission.h"

#include "dispatchconstants.h"
#include "placement.h"
#include "taskqueue.h"

#include "protocol/protocolconstants.h"

#include <algorithm>
#include <cmath>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

using Protocol::JobFailed;
using Protocol::Outcome;
using Protocol::Reason;

constexpr std::uint32_t fallbackDeadlineMs = 10'000; ///< For teams whose rules this entry lacks
constexpr double minRetryAfterMs = 50;
constexpr double maxRetryAfterMs = 10'000;

/// Returns the slots that this entry can expect to use. All entries share the agents; the number of its live attempts is the
/// better estimate if callers favour this entry.
double estimatedOwnSlots(const Context &context)
{
    const double entries = context.cluster.map ? std::max<double>(1, static_cast<double>(context.cluster.map->entries.size())) : 1;
    return std::max({1.0, context.state.totalSlots / entries, static_cast<double>(context.state.liveAttemptCount)});
}

/// Returns the team's share of these slots by weight among the teams with waiting tasks, at most its quota.
double estimatedTeamSlots(Context &context, const Settings::TeamRules &rules)
{
    double weights = rules.weight;
    for (const auto &[name, team] : context.state.teams) {
        const Settings::TeamRules *other = team.waitingCount > 0 && name != rules.team ? Cluster::rulesFor(context.cluster, name) : nullptr;
        weights += other == nullptr ? 0 : other->weight;
    }
    const double share = estimatedOwnSlots(context) * rules.weight / weights;
    return std::max(1.0, std::min(share, std::floor(rules.quota * context.state.totalSlots)));
}

struct LoadEstimate {
    double waitMs = 0;
    double runMs = 0; ///< 0 while a kind of the job has too few samples
};

LoadEstimate estimateLoad(Context &context, const Settings::TeamRules &rules, const TeamState &team, const Protocol::JobBody &body)
{
    const DispatchState &state = context.state;
    const double slots = estimatedTeamSlots(context, rules);
    double total = 0;
    double longest = 0;
    bool longTask = false;
    bool estimated = true;
    for (const Protocol::TaskSpec &task : body.tasks) {
        const double run = expectedRunMs(state, &rules, rules.team, task.kind);
        const auto kind = team.kinds.find(task.kind);
        estimated = estimated && kind != team.kinds.end() && kind->second.sampleCount >= minEstimateSamples;
        longTask = longTask || isLongTask(state, &rules, rules.team, task.kind);
        total += run;
        longest = std::max(longest, run);
    }
    const bool hasCapacity = !state.availableAgents.empty() && team.waitingCount == 0;
    const double work = team.waitingShortMs + (longTask ? team.waitingLongMs : 0);
    return {hasCapacity ? 0 : work / slots, estimated ? std::max(longest, total / slots) : 0};
}

std::uint32_t clampRetryAfterMs(double waitMs)
{
    return static_cast<std::uint32_t>(std::clamp(waitMs, minRetryAfterMs, maxRetryAfterMs));
}

} // namespace

JobFailed makeRefusal(Outcome outcome, Reason reason, std::uint32_t retryAfterMs, std::string detail)
{
    return JobFailed{outcome, reason, retryAfterMs, 0, std::move(detail)};
}

std::optional<JobFailed> checkBodyLimits(const Protocol::JobBody &body)
{
    if (body.tasks.empty()) {
        return makeRefusal(Outcome::NotRun, Reason::BadRequest, 0, "tasks: expected at least one task, found none");
    }
    if (body.tasks.size() > Protocol::maxTasksPerJob) {
        return makeRefusal(Outcome::NotRun, Reason::TooManyTasks);
    }
    std::size_t bytes = 0;
    for (const Protocol::TaskSpec &task : body.tasks) {
        bytes += task.kind.size() + task.payload.size();
    }
    return bytes > Protocol::maxBodyBytes ? std::optional(makeRefusal(Outcome::NotRun, Reason::BodyTooLarge)) : std::nullopt;
}

std::optional<JobFailed> checkTeamRules(Context &context, const Protocol::JobBody &body)
{
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, body.team);
    if (rules == nullptr) {
        return makeRefusal(Outcome::NotRun, Reason::UnknownTeam, 0, body.team);
    }
    if (body.tasks.size() > rules->guards.maxTasksPerJob) {
        return makeRefusal(Outcome::NotRun, Reason::TooManyTasks);
    }
    for (std::size_t i = 0; i < body.tasks.size(); ++i) {
        const Protocol::TaskSpec &task = body.tasks[i];
        const auto index = static_cast<std::uint16_t>(i);
        if (kindRules(rules, task.kind) == nullptr) {
            return JobFailed{Outcome::NotRun, Reason::UnknownKind, 0, index, task.kind};
        }
        if (task.payload.size() > rules->guards.maxPayloadBytes) {
            return JobFailed{Outcome::NotRun, Reason::BodyTooLarge, 0, index, {}};
        }
        if (!isPlaceable(context.state, task.kind)) {
            return JobFailed{Outcome::NotRun, Reason::Unplaceable, 0, index, task.kind};
        }
    }
    return std::nullopt;
}

std::optional<JobFailed> checkLoad(Context &context, const Protocol::JobBody &body, Base::MonoTime deadline)
{
    DispatchState &state = context.state;
    const Settings::TeamRules &rules = *Cluster::rulesFor(context.cluster, body.team);
    const TeamState &team = teamState(state, &rules, body.team);
    const LoadEstimate expected = estimateLoad(context, rules, team, body);
    if (team.waitingCount + body.tasks.size() > rules.guards.maxQueuedTasks) {
        const bool quotaReached = rules.quota < 1 && team.liveAttemptCount >= std::floor(rules.quota * state.totalSlots);
        return makeRefusal(Outcome::NotRun, quotaReached ? Reason::QuotaExceeded : Reason::Overloaded, clampRetryAfterMs(expected.waitMs));
    }
    const double leftMs = remainingMs(deadline, state.now);
    if (expected.waitMs + expected.runMs > leftMs) {
        return makeRefusal(Outcome::NotRun, Reason::Overloaded, clampRetryAfterMs(expected.waitMs + expected.runMs - leftMs));
    }
    return std::nullopt;
}

std::uint32_t effectiveDeadlineMs(const Settings::TeamRules *rules, std::uint32_t deadlineMs)
{
    if (rules == nullptr) {
        return deadlineMs == 0 ? fallbackDeadlineMs : std::min(deadlineMs, fallbackDeadlineMs);
    }
    return std::min(deadlineMs == 0 ? rules->deadlineMs : deadlineMs, rules->maxDeadlineMs);
}

} // namespace LaburnumFlow::Dispatch::Internal
