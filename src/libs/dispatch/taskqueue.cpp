#include "taskqueue.h"

#include "dispatchconstants.h"
#include "ledger.h"

#include <algorithm>
#include <cmath>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

constexpr std::size_t staleAllowance = 1024; ///< entries of tasks that left the queue, beyond the waiting ones
constexpr double tailShare = 0.95;

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
    const Submission *submission = find(state, entry.key.submission);
    return submission != nullptr && entry.key.index < submission->tasks.size() && submission->tasks[entry.key.index].phase == TaskPhase::Queued;
}

void dropStale(DispatchState &state, KindState &kind)
{
    if (kind.queue.size() > 2UL * kind.queued + staleAllowance) {
        std::erase_if(kind.queue, [&](const QueuedTask &entry) { return !isQueued(state, entry); });
    }
    while (!kind.queue.empty() && !isQueued(state, kind.queue.front())) {
        kind.queue.pop_front();
    }
}

bool atQuota(const DispatchState &state, const Settings::TeamRules *rules, const TeamState &team)
{
    // A full quota sets no bound, since agents take a few more tasks than they have slots.
    return rules != nullptr && rules->quota < 1 && team.running >= std::max(1.0, std::floor(rules->quota * state.totalSlots));
}

/// The kind to serve next: short or aged work by age, then long work by age.
std::pair<const std::string *, KindState *> selectKind(Context &context, const Settings::TeamRules *rules, const std::string &name, TeamState &team)
{
    DispatchState &state = context.state;
    std::pair<const std::string *, KindState *> best{};
    bool bestLong = true;
    for (auto &[kindName, kind] : team.kinds) {
        if (kind.queued == 0 || kind.blockedRound == state.round) {
            continue;
        }
        dropStale(state, kind);
        if (kind.queue.empty()) {
            continue;
        }
        const Base::MonoTime since = kind.queue.front().since;
        const bool isLong = state.now - since < longWorkAgeing && isLongWork(state, rules, name, kindName);
        const bool better = best.second == nullptr || (bestLong && !isLong) || (bestLong == isLong && since < best.second->queue.front().since);
        if (better) {
            best = {&kindName, &kind};
            bestLong = isLong;
        }
    }
    return best;
}

} // namespace

TeamState &teamOf(DispatchState &state, const Settings::TeamRules *rules, const std::string &name)
{
    TeamState &team = state.teams[name];
    if (!team.seen) {
        team.seen = true;
        team.retryTokens = rules != nullptr && rules->retryBudget > 0 ? retryBurst : 0;
        team.hedgeTokens = 0;
    }
    return team;
}

double expectedRunMs(const DispatchState &state, const Settings::TeamRules *rules, std::string_view team, std::string_view kind)
{
    const KindState *learned = kindState(state, team, kind);
    if (learned != nullptr && learned->samples >= minSamples) {
        return learned->runMs;
    }
    const Settings::KindRules *declared = kindRules(rules, kind);
    return declared == nullptr ? 1.0 : std::max(1.0, static_cast<double>(declared->expectedMs));
}

bool isLongWork(const DispatchState &state, const Settings::TeamRules *rules, std::string_view team, std::string_view kind)
{
    const Settings::KindRules *declared = kindRules(rules, kind);
    return (declared == nullptr || !declared->urgent) && expectedRunMs(state, rules, team, kind) > shortRunMs;
}

void addWaiting(Context &context, Submission &submission, std::uint16_t index)
{
    DispatchState &state = context.state;
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, submission.team);
    TeamState &team = teamOf(state, rules, submission.team);
    Task &task = submission.tasks[index];
    const std::string &kind = submission.body->tasks[index].kind;
    task.costMs = static_cast<float>(expectedRunMs(state, rules, submission.team, kind));
    task.longWork = isLongWork(state, rules, submission.team, kind);
    ++team.queued;
    (task.longWork ? team.longWorkMs : team.shortWorkMs) += task.costMs;
}

void removeWaiting(DispatchState &state, const Submission &submission, std::uint16_t index)
{
    TeamState &team = state.teams[submission.team];
    const Task &task = submission.tasks[index];
    --team.queued;
    double &work = task.longWork ? team.longWorkMs : team.shortWorkMs;
    work = team.queued == 0 ? 0 : std::max(0.0, work - task.costMs);
}

void enqueue(Context &context, Submission &submission, std::uint16_t index, bool front)
{
    DispatchState &state = context.state;
    TeamState &team = state.teams[submission.team];
    bool wasIdle = true;
    for (const auto &[name, kind] : team.kinds) {
        wasIdle = wasIdle && kind.queued == 0;
    }
    if (wasIdle) {
        team.virtualTime = std::max(team.virtualTime, state.virtualTime);
    }
    KindState &kind = team.kinds[submission.body->tasks[index].kind];
    submission.tasks[index].phase = TaskPhase::Queued;
    ++kind.queued;
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
    --kind.queued;
    submission.tasks[index].phase = next;
    dropStale(state, kind);
}

std::optional<Selection> selectNext(Context &context)
{
    DispatchState &state = context.state;
    std::optional<Selection> selection;
    double lowest = 0;
    for (auto &[name, team] : state.teams) {
        if (team.queued == 0 || (selection && team.virtualTime >= lowest)) {
            continue;
        }
        const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, name);
        if (atQuota(state, rules, team)) {
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

void learnRunTime(DispatchState &state, std::string_view teamName, std::string_view kindName, double runMs)
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
    if (kind.samples == 0) {
        kind.runMs = runMs;
        kind.tailMs = runMs;
    }
    ++kind.samples;
    kind.runMs += learnRate * (runMs - kind.runMs);
    // Stochastic quantile estimate: rises 19 steps for each sample above it and falls one for each below.
    const double step = std::max(1.0, kind.runMs) * 0.05;
    kind.tailMs = std::max(kind.runMs, kind.tailMs + (runMs > kind.tailMs ? step * tailShare : -step * (1 - tailShare)));
}

} // namespace LaburnumFlow::Dispatch::Internal
