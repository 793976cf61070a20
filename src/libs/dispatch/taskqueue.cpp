#include "taskqueue.h"

#include "dispatchconstants.h"
#include "ledger.h"

#include <algorithm>
#include <cmath>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

constexpr std::size_t maxStaleEntries = 1024; ///< Entries of tasks that left the queue, allowed beyond the number of queued tasks
constexpr double tailQuantile = 0.95;

const KindState *kindState(const DispatchState &state, std::string_view team, std::string_view kind)
{
    const auto foundTeam = state.teams.find(team);
    if (foundTeam == state.teams.end()) {
        return nullptr;
    }
    const auto found = foundTeam->second.kinds.find(kind);
    return found == foundTeam->second.kinds.end() ? nullptr : &found->second;
}

bool isQueued(DispatchState &state, const QueuedTask &entry)
{
    const Submission *submission = findSubmission(state, entry.key.submission);
    return submission != nullptr && entry.key.index < submission->tasks.size() && submission->tasks[entry.key.index].phase == TaskPhase::Queued;
}

void dropStaleEntries(DispatchState &state, KindState &kind)
{
    if (kind.queue.size() > 2UL * kind.queuedCount + maxStaleEntries) {
        std::erase_if(kind.queue, [&](const QueuedTask &entry) { return !isQueued(state, entry); });
    }
    while (!kind.queue.empty() && !isQueued(state, kind.queue.front())) {
        kind.queue.pop_front();
    }
}

bool isAtQuota(const DispatchState &state, const Settings::TeamRules *rules, const TeamState &team)
{
    // A quota of 1 sets no bound, since agents take a few more tasks than they have slots.
    return rules != nullptr && rules->quota < 1 && team.liveAttemptCount >= std::max(1.0, std::floor(rules->quota * state.totalSlots));
}

/// Selects the kind to serve next: first short tasks and long ones above the age threshold, then other long ones, each by age.
std::pair<const std::string *, KindState *> selectKind(Context &context, const Settings::TeamRules *rules, const std::string &name, TeamState &team)
{
    DispatchState &state = context.state;
    std::pair<const std::string *, KindState *> best{};
    bool bestLong = true;
    for (auto &[kindName, kind] : team.kinds) {
        if (kind.queuedCount == 0 || kind.blockedInRound == state.schedulingRound) {
            continue;
        }
        dropStaleEntries(state, kind);
        if (kind.queue.empty()) {
            continue;
        }
        const Base::MonoTime since = kind.queue.front().since;
        const bool isLong = state.now - since < longTaskAgeThreshold && isLongTask(state, rules, name, kindName);
        const bool better = best.second == nullptr || (bestLong && !isLong) || (bestLong == isLong && since < best.second->queue.front().since);
        if (better) {
            best = {&kindName, &kind};
            bestLong = isLong;
        }
    }
    return best;
}

} // namespace

TeamState &teamState(DispatchState &state, const Settings::TeamRules *rules, const std::string &name)
{
    TeamState &team = state.teams[name];
    if (!team.initialized) {
        team.initialized = true;
        team.retryTokens = rules != nullptr && rules->retryBudget > 0 ? retryBurst : 0;
        team.hedgeTokens = 0;
    }
    return team;
}

double expectedRunMs(const DispatchState &state, const Settings::TeamRules *rules, std::string_view team, std::string_view kind)
{
    const KindState *estimated = kindState(state, team, kind);
    if (estimated != nullptr && estimated->sampleCount >= minEstimateSamples) {
        return estimated->estimatedRunMs;
    }
    const Settings::KindRules *declared = kindRules(rules, kind);
    return declared == nullptr ? 1.0 : std::max(1.0, static_cast<double>(declared->expectedMs));
}

bool isLongTask(const DispatchState &state, const Settings::TeamRules *rules, std::string_view team, std::string_view kind)
{
    const Settings::KindRules *declared = kindRules(rules, kind);
    return (declared == nullptr || !declared->urgent) && expectedRunMs(state, rules, team, kind) > maxShortRunMs;
}

void addWaitingTask(Context &context, Submission &submission, std::uint16_t index)
{
    DispatchState &state = context.state;
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, submission.team);
    TeamState &team = teamState(state, rules, submission.team);
    Task &task = submission.tasks[index];
    const std::string &kind = submission.body->tasks[index].kind;
    task.costMs = static_cast<float>(expectedRunMs(state, rules, submission.team, kind));
    task.isLongTask = isLongTask(state, rules, submission.team, kind);
    ++team.waitingCount;
    (task.isLongTask ? team.waitingLongMs : team.waitingShortMs) += task.costMs;
}

void removeWaitingTask(DispatchState &state, const Submission &submission, std::uint16_t index)
{
    TeamState &team = state.teams[submission.team];
    const Task &task = submission.tasks[index];
    --team.waitingCount;
    double &work = task.isLongTask ? team.waitingLongMs : team.waitingShortMs;
    work = team.waitingCount == 0 ? 0 : std::max(0.0, work - task.costMs);
}

void enqueue(Context &context, Submission &submission, std::uint16_t index, bool front)
{
    DispatchState &state = context.state;
    TeamState &team = state.teams[submission.team];
    bool wasIdle = true;
    for (const auto &[name, kind] : team.kinds) {
        wasIdle = wasIdle && kind.queuedCount == 0;
    }
    if (wasIdle) {
        team.virtualTime = std::max(team.virtualTime, state.virtualTime);
    }
    KindState &kind = team.kinds[submission.body->tasks[index].kind];
    submission.tasks[index].phase = TaskPhase::Queued;
    ++kind.queuedCount;
    const QueuedTask entry{{submission.id, index}, state.now};
    if (front) {
        kind.queue.push_front(entry);
    } else {
        kind.queue.push_back(entry);
    }
}

void dequeue(DispatchState &state, Submission &submission, std::uint16_t index, TaskPhase next)
{
    KindState &kind = state.teams[submission.team].kinds[submission.body->tasks[index].kind];
    --kind.queuedCount;
    submission.tasks[index].phase = next;
    dropStaleEntries(state, kind);
}

std::optional<Selection> selectNext(Context &context)
{
    DispatchState &state = context.state;
    std::optional<Selection> selection;
    double lowest = 0;
    for (auto &[name, team] : state.teams) {
        if (team.waitingCount == 0 || (selection && team.virtualTime >= lowest)) {
            continue;
        }
        const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, name);
        if (isAtQuota(state, rules, team)) {
            continue;
        }
        const auto [kindName, kind] = selectKind(context, rules, name, team);
        if (kind == nullptr) {
            continue;
        }
        lowest = team.virtualTime;
        selection = Selection{name, *kindName, kind->queue.front().key};
    }
    return selection;
}

void chargeStart(DispatchState &state, const Settings::TeamRules *rules, TeamState &team, double costMs)
{
    state.virtualTime = std::max(state.virtualTime, team.virtualTime);
    team.virtualTime += costMs / (rules == nullptr ? 1.0 : rules->weight);
    if (rules != nullptr) {
        team.retryTokens = std::min(team.retryTokens + rules->retryBudget, std::max(retryBurst, rules->retryBudget * 100));
        team.hedgeTokens = std::min(team.hedgeTokens + rules->hedgeBudget, hedgeBurst);
    }
}

void updateRunTimeEstimate(DispatchState &state, std::string_view teamName, std::string_view kindName, double runMs)
{
    const auto team = state.teams.find(teamName);
    if (team == state.teams.end()) {
        return;
    }
    const auto found = team->second.kinds.find(kindName);
    if (found == team->second.kinds.end()) {
        return;
    }
    KindState &kind = found->second;
    if (kind.sampleCount == 0) {
        kind.estimatedRunMs = runMs;
        kind.estimatedP95Ms = runMs;
    }
    ++kind.sampleCount;
    kind.estimatedRunMs += estimateSmoothingFactor * (runMs - kind.estimatedRunMs);
    // Stochastic quantile estimate: rises 19 steps for each sample above it and falls one step for each below.
    const double step = std::max(1.0, kind.estimatedRunMs) * 0.05;
    kind.estimatedP95Ms = std::max(kind.estimatedRunMs, kind.estimatedP95Ms + (runMs > kind.estimatedP95Ms ? step * tailQuantile : -step * (1 - tailQuantile)));
}

} // namespace LaburnumFlow::Dispatch::Internal
