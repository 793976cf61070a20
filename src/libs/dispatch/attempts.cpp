#include "attempts.h"

#include "dispatchconstants.h"
#include "jobs.h"
#include "ledger.h"
#include "retries.h"
#include "taskqueue.h"
#include "workerhealth.h"

#include "protocol/protocolconstants.h"

#include <algorithm>
#include <cmath>

namespace LaburnumFlow::Dispatch::Internal {

namespace {

using Protocol::AgentReason;
using Protocol::AttemptState;

constexpr std::uint32_t defaultLimitMs = 60'000; ///< of a kind that the rules no longer list

bool isFinal(AttemptState state)
{
    return state != AttemptState::Queued && state != AttemptState::Running;
}

Protocol::StartTask makeStart(Context &context, const Submission &submission, std::uint16_t index, const Attempt &attempt)
{
    const Settings::TeamRules &rules = *Cluster::rulesFor(context.cluster, submission.team);
    const Protocol::TaskSpec &spec = submission.body->tasks[index];
    const Settings::KindRules &kind = *kindRules(&rules, spec.kind);
    Protocol::StartTask start;
    start.key = {{submission.id, index}, attempt.number};
    start.partition = submission.partition;
    start.bodyDigest = submission.digest;
    start.team = submission.team;
    start.kind = spec.kind;
    start.payload = spec.payload;
    start.settingsRevision = rules.revision;
    start.rootRevision = rules.rootRevision;
    start.idempotent = kind.idempotent;
    start.urgent = kind.urgent;
    start.expectedMs = static_cast<std::uint32_t>(std::lround(expectedRunMs(context.state, &rules, submission.team, spec.kind)));
    start.limitMs = kind.limitMs;
    start.remainingMs = std::max(1U, remainingMs(submission.deadline, context.state.now));
    return start;
}

void armHedge(Context &context, const Submission &submission, std::uint16_t index, const Attempt &attempt)
{
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, submission.team);
    if (rules->hedgeBudget <= 0 || !attempt.idempotent || attempt.hedge) {
        return;
    }
    const KindState &kind = context.state.teams[submission.team].kinds[submission.body->tasks[index].kind];
    if (kind.samples < minSamples) {
        return;
    }
    const auto wait = std::chrono::milliseconds(std::lround(kind.tailMs * hedgeFactor));
    context.arm(context.state.now + wait, TimerKind::TaskHedge, {submission.id, index}, attempt.number);
}

void markStarted(Submission &submission, Task &task)
{
    if (!task.started) {
        task.started = true;
        ++submission.started;
    }
}

void learn(Context &context, const Submission &submission, std::uint16_t index, const Attempt &attempt, const Protocol::TaskUpdate &update)
{
    if (update.state != AttemptState::Succeeded || submission.body == nullptr) {
        return;
    }
    const std::string &kind = submission.body->tasks[index].kind;
    AgentWork &work = context.state.agents[attempt.agent];
    const double expected = expectedRunMs(context.state, Cluster::rulesFor(context.cluster, submission.team), submission.team, kind);
    const double runMs = std::max(1.0, static_cast<double>(update.runMs));
    const double speed = work.speedSamples >= minSamples ? work.speed : 1;
    // Bounded, since a kind's run times vary for reasons other than the agent's speed.
    work.speed = std::clamp(work.speed * std::pow(std::clamp(expected / (runMs * work.speed), 0.25, 4.0), learnRate), 0.05, 20.0);
    ++work.speedSamples;
    learnRunTime(context.state, submission.team, kind, runMs * speed);
}

void recordHealth(Context &context, const Attempt &attempt, const Protocol::TaskUpdate &update)
{
    const bool unreachable = update.state == AttemptState::Refused && update.reason == AgentReason::BackendUnreachable;
    const bool failed = update.state == AttemptState::Failed || update.state == AttemptState::Lost || unreachable;
    if (failed || update.state == AttemptState::Succeeded) {
        recordOutcome(context, attempt.agent, !failed, attempt.probe);
    } else if (attempt.probe) {
        context.state.agents[attempt.agent].probing = false;
    }
}

/// A lost attempt can run on: an idempotent one until its lease ends, another one up to its limit. One that is not
/// idempotent may even start later from the queue of a cut-off agent, up to the job's deadline.
void holdOrder(Context &context, const Submission &submission, Task &task, std::uint16_t index, const Attempt &attempt, AttemptState state)
{
    if (state != AttemptState::Lost || !task.ordered) {
        return;
    }
    const auto *kind = kindRules(Cluster::rulesFor(context.cluster, submission.team), submission.body->tasks[index].kind);
    const Base::Duration limit = std::chrono::milliseconds(kind != nullptr ? kind->limitMs : defaultLimitMs);
    const Base::Duration lease = Protocol::leaseDuration + Protocol::leaseMargin;
    task.orderHoldUntil
        = attempt.idempotent ? context.state.now + lease : std::max(context.state.now + lease, submission.deadline + Protocol::maxTokenAge) + limit;
}

void succeedTask(Context &context, Submission &submission, std::uint16_t index, const Protocol::TaskUpdate &update)
{
    Task &task = submission.tasks[index];
    task.last = update;
    ++submission.succeeded;
    cancelLive(context, submission, index);
    if (task.live.empty()) {
        endTask(context, submission, index, TaskPhase::Succeeded);
    } else {
        task.phase = TaskPhase::Succeeded;
    }
}

/// What follows the end of an attempt for its task. The task may already be decided by another attempt.
void afterEnd(Context &context, Submission &submission, std::uint16_t index, const Attempt &attempt, const Protocol::TaskUpdate &update)
{
    Task &task = submission.tasks[index];
    if (task.phase == TaskPhase::Succeeded) {
        if (task.live.empty()) {
            endTask(context, submission, index, TaskPhase::Succeeded);
        }
        return;
    }
    if (update.state == AttemptState::Succeeded) {
        succeedTask(context, submission, index, update);
        return;
    }
    task.last = update;
    task.lastAgent = attempt.agent;
    task.lastIdempotent = attempt.idempotent;
    if (submission.body == nullptr) {
        task.phase = TaskPhase::New;
        return;
    }
    holdOrder(context, submission, task, index, attempt, update.state);
    if (!task.live.empty()) {
        return;
    }
    if (submission.closing || submission.answer) {
        endTask(context, submission, index, TaskPhase::Dropped);
        return;
    }
    decideAfterEnd(context, submission, index, attempt, update);
}

void endAttempt(Context &context, Submission &submission, std::uint16_t index, std::size_t position, Protocol::TaskUpdate update)
{
    Task &task = submission.tasks[index];
    const Attempt attempt = task.live[position];
    removeLive(context.state, submission, index, position);
    // A restarted agent fences what its former incarnation may have started.
    if (attempt.recovered && update.state == AttemptState::Refused && update.reason == AgentReason::Fenced) {
        update.state = AttemptState::Lost;
    }
    if (update.state != AttemptState::Refused) {
        markStarted(submission, task);
    }
    task.lost = task.lost || update.state == AttemptState::Lost;
    recordHealth(context, attempt, update);
    learn(context, submission, index, attempt, update);
    afterEnd(context, submission, index, attempt, update);
    settleJob(context, submission);
    reopenAgent(context, attempt.agent);
}

void handleUpdate(Context &context, const Base::ProcessId &agent, const Protocol::TaskUpdate &update)
{
    Submission *submission = find(context.state, update.key.task.submission);
    if (submission == nullptr || update.key.task.index >= submission->tasks.size()) {
        context.count("updates.unmatched");
        return;
    }
    Task &task = submission->tasks[update.key.task.index];
    const auto found = std::find_if(task.live.begin(), task.live.end(), [&](const Attempt &attempt) {
        return attempt.number == update.key.attempt && attempt.agent == agent.name && attempt.incarnation == agent.incarnation;
    });
    if (found == task.live.end()) {
        context.count("updates.unmatched");
        return;
    }
    if (!found->acknowledged) {
        found->acknowledged = true;
        --context.state.agents[agent.name].unacknowledged;
    }
    if (isFinal(update.state)) {
        endAttempt(context, *submission, update.key.task.index, static_cast<std::size_t>(found - task.live.begin()), update);
    } else if (update.state == AttemptState::Running) {
        found->state = AttemptState::Running;
        markStarted(*submission, task);
    }
}

} // namespace

void addLive(Context &context, Submission &submission, std::uint16_t index, Attempt attempt)
{
    DispatchState &state = context.state;
    AgentWork &work = state.agents[attempt.agent];
    work.live.insert({{submission.id, index}, attempt.number});
    work.unacknowledged += attempt.acknowledged ? 0 : 1;
    work.longLive += attempt.longWork ? 1 : 0;
    work.probing = work.probing || attempt.probe;
    ++state.teams[submission.team].running;
    ++state.totalLive;
    ++submission.liveAttempts;
    submission.tasks[index].live.push_back(std::move(attempt));
}

void removeLive(DispatchState &state, Submission &submission, std::uint16_t index, std::size_t position)
{
    Task &task = submission.tasks[index];
    const Attempt &attempt = task.live[position];
    AgentWork &work = state.agents[attempt.agent];
    work.live.erase({{submission.id, index}, attempt.number});
    work.unacknowledged -= attempt.acknowledged ? 0 : 1;
    work.longLive -= attempt.longWork ? 1 : 0;
    --state.teams[submission.team].running;
    --state.totalLive;
    --submission.liveAttempts;
    const auto recovered = state.recoveredOrder.find({submission.team, submission.partition});
    if (attempt.recovered && recovered != state.recoveredOrder.end()) {
        recovered->second.erase({submission.id, index});
        if (recovered->second.empty()) {
            state.recoveredOrder.erase(recovered);
        }
    }
    task.live.erase(task.live.begin() + static_cast<std::ptrdiff_t>(position));
}

void startAttempt(Context &context, Submission &submission, std::uint16_t index, const PlacementChoice &choice, bool hedge)
{
    DispatchState &state = context.state;
    Task &task = submission.tasks[index];
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, submission.team);
    TeamState &team = teamOf(state, rules, submission.team);
    if (!hedge) {
        dequeue(state, submission, index, TaskPhase::Active);
        removeWaiting(state, submission, index);
        chargeStart(state, rules, team, task.costMs);
    }
    Attempt attempt;
    attempt.number = task.nextAttempt++;
    attempt.agent = choice.agent->id.name;
    attempt.incarnation = choice.agent->id.incarnation;
    attempt.hedge = hedge;
    attempt.probe = choice.probe;
    attempt.longWork = task.longWork;
    attempt.sentAt = state.now;
    Protocol::StartTask start = makeStart(context, submission, index, attempt);
    attempt.idempotent = start.idempotent;

    Protocol::StartBatch &batch = context.starts[attempt.agent];
    batch.token = choice.agent->token;
    batch.tasks.push_back(std::move(start));
    context.count(choice.probe ? "starts.probe" : hedge ? "starts.hedge" : "starts.sent");
    armHedge(context, submission, index, attempt);
    addLive(context, submission, index, std::move(attempt));
}

void handleUpdates(Context &context, const Base::ProcessId &agent, const Protocol::TaskUpdates &updates)
{
    for (const Protocol::TaskUpdate &update : updates.updates) {
        handleUpdate(context, agent, update);
    }
    reopenAgent(context, agent.name);
}

void cancelLive(Context &context, Submission &submission, std::uint16_t index)
{
    for (Attempt &attempt : submission.tasks[index].live) {
        if (attempt.cancelSent) {
            continue;
        }
        attempt.cancelSent = true;
        Protocol::CancelTasks &cancel = context.cancels[attempt.agent];
        cancel.keys.push_back({{submission.id, index}, attempt.number});
    }
}

void queryAgent(Context &context, const std::string &agent)
{
    DispatchState &state = context.state;
    const auto found = state.agents.find(agent);
    const auto info = context.cluster.agents.find(agent);
    if (found == state.agents.end() || info == context.cluster.agents.end()) {
        return;
    }
    for (const Base::AttemptKey &key : found->second.live) {
        const Submission &submission = state.ledger.at(key.task.submission);
        for (const Attempt &attempt : submission.tasks[key.task.index].live) {
            // A newer incarnation knows nothing of it and would call it not run.
            if (attempt.number != key.attempt || attempt.incarnation != info->second.id.incarnation) {
                continue;
            }
            auto &keys = attempt.cancelSent ? context.cancels[agent].keys : context.queries[agent].keys;
            keys.push_back(key);
        }
    }
}

void loseAttempts(Context &context, const Base::ProcessId &agent)
{
    DispatchState &state = context.state;
    const auto found = state.agents.find(agent.name);
    if (found == state.agents.end()) {
        return;
    }
    const std::vector<Base::AttemptKey> keys(found->second.live.begin(), found->second.live.end());
    for (const Base::AttemptKey &key : keys) {
        Submission *submission = find(state, key.task.submission);
        if (submission == nullptr || key.task.index >= submission->tasks.size()) {
            continue;
        }
        const auto &live = submission->tasks[key.task.index].live;
        for (std::size_t i = 0; i < live.size(); ++i) {
            if (live[i].number == key.attempt && live[i].incarnation == agent.incarnation) {
                context.count("attempts.fenced");
                endAttempt(context, *submission, key.task.index, i, {key, AttemptState::Lost, AgentReason::Fenced, 0, {}});
                break;
            }
        }
    }
}

void hedgeDue(Context &context, const Base::TaskKey &key, std::uint64_t attemptNumber)
{
    DispatchState &state = context.state;
    Submission *submission = find(state, key.submission);
    if (submission == nullptr || submission->closing || submission->answer || key.index >= submission->tasks.size()) {
        return;
    }
    const Task &task = submission->tasks[key.index];
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, submission->team);
    const std::string &kindName = submission->body->tasks[key.index].kind;
    const Settings::KindRules *kind = kindRules(rules, kindName);
    const bool wanted = task.phase == TaskPhase::Active && task.live.size() == 1 && task.live[0].number == attemptNumber && task.live[0].idempotent;
    if (!wanted || kind == nullptr || !kind->idempotent || rules->hedgeBudget <= 0
        || Cluster::authority(context.cluster, submission->partition) != Cluster::Authority::Serving) {
        return;
    }
    TeamState &team = teamOf(state, rules, submission->team);
    if (team.hedgeTokens < 1) {
        context.count("hedge.budget-exhausted");
        return;
    }
    const PlacementChoice choice = choosePlacement(context, {kindName, task.costMs, task.longWork, false, &task});
    if (choice.agent == nullptr || choice.probe) {
        return;
    }
    team.hedgeTokens -= 1;
    startAttempt(context, *submission, key.index, choice, true);
}

} // namespace LaburnumFlow::Dispatch::Internal
