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

constexpr std::uint32_t defaultRunLimitMs = 60'000; ///< For kinds that the rules no longer list

bool isEnded(AttemptState state)
{
    return state != AttemptState::Queued && state != AttemptState::Running;
}

Protocol::StartTask makeStartTask(Context &context, const Submission &submission, std::uint16_t index, const Attempt &attempt)
{
    const Settings::TeamRules &rules = *Cluster::rulesFor(context.cluster, submission.team);
    const Protocol::TaskSpec &spec = submission.body->tasks[index];
    const Settings::KindRules &kind = *kindRules(&rules, spec.kind);
    Protocol::StartTask start;
    start.key = {{submission.id, index}, attempt.number};
    start.partition = submission.partition;
    start.bodyDigest = submission.bodyDigest;
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

void armHedgeTimer(Context &context, const Submission &submission, std::uint16_t index, const Attempt &attempt)
{
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, submission.team);
    if (rules->hedgeBudget <= 0 || !attempt.idempotent || attempt.isHedge) {
        return;
    }
    const KindState &kind = context.state.teams[submission.team].kinds[submission.body->tasks[index].kind];
    if (kind.sampleCount < minEstimateSamples) {
        return;
    }
    const auto wait = std::chrono::milliseconds(std::lround(kind.estimatedP95Ms * hedgeDelayFactor));
    context.armTimer(context.state.now + wait, TimerKind::TaskHedge, {submission.id, index}, attempt.number);
}

void markStarted(Submission &submission, Task &task)
{
    if (!task.started) {
        task.started = true;
        ++submission.startedTasks;
    }
}

void updateEstimates(Context &context, const Submission &submission, std::uint16_t index, const Attempt &attempt, const Protocol::TaskUpdate &update)
{
    if (update.state != AttemptState::Succeeded || submission.body == nullptr) {
        return;
    }
    const std::string &kind = submission.body->tasks[index].kind;
    AgentRecord &record = context.state.agents[attempt.agent];
    const double expected = expectedRunMs(context.state, Cluster::rulesFor(context.cluster, submission.team), submission.team, kind);
    const double runMs = std::max(1.0, static_cast<double>(update.runMs));
    const double speed = record.speedSampleCount >= minEstimateSamples ? record.speedEstimate : 1;
    // Clamped, since the run times of a kind also vary for reasons other than the agent's speed.
    record.speedEstimate
        = std::clamp(record.speedEstimate * std::pow(std::clamp(expected / (runMs * record.speedEstimate), 0.25, 4.0), estimateSmoothingFactor), 0.05, 20.0);
    ++record.speedSampleCount;
    updateRunTimeEstimate(context.state, submission.team, kind, runMs * speed);
}

void recordAgentOutcome(Context &context, const Attempt &attempt, const Protocol::TaskUpdate &update)
{
    const bool unreachable = update.state == AttemptState::Refused && update.reason == AgentReason::BackendUnreachable;
    const bool failed = update.state == AttemptState::Failed || update.state == AttemptState::Lost || unreachable;
    if (failed || update.state == AttemptState::Succeeded) {
        recordOutcome(context, attempt.agent, !failed, attempt.isProbe);
    } else if (attempt.isProbe) {
        context.state.agents[attempt.agent].probeInFlight = false;
    }
}

/// Blocks the ordering key while a lost attempt may still run: an idempotent one until its lease ends, any other up to its run
/// time limit. One that is not idempotent may even start later from the queue of a disconnected agent, up to the job's deadline.
void blockOrderAfterLoss(Context &context, const Submission &submission, Task &task, std::uint16_t index, const Attempt &attempt, AttemptState state)
{
    if (state != AttemptState::Lost || !task.ordered) {
        return;
    }
    const auto *kind = kindRules(Cluster::rulesFor(context.cluster, submission.team), submission.body->tasks[index].kind);
    const Base::Duration limit = std::chrono::milliseconds(kind != nullptr ? kind->limitMs : defaultRunLimitMs);
    const Base::Duration lease = Protocol::leaseDuration + Protocol::leaseMargin;
    task.orderBlockedUntil
        = attempt.idempotent ? context.state.now + lease : std::max(context.state.now + lease, submission.deadline + Protocol::maxTokenAge) + limit;
}

void handleTaskSucceeded(Context &context, Submission &submission, std::uint16_t index, const Protocol::TaskUpdate &update)
{
    Task &task = submission.tasks[index];
    task.lastEnd = update;
    ++submission.succeededTasks;
    cancelLiveAttempts(context, submission, index);
    if (task.liveAttempts.empty()) {
        endTask(context, submission, index, TaskPhase::Succeeded);
    } else {
        task.phase = TaskPhase::Succeeded;
    }
}

/// Updates the task after one of its attempts ended. Another attempt may have succeeded before.
void handleAttemptEnded(Context &context, Submission &submission, std::uint16_t index, const Attempt &attempt, const Protocol::TaskUpdate &update)
{
    Task &task = submission.tasks[index];
    if (task.phase == TaskPhase::Succeeded) {
        if (task.liveAttempts.empty()) {
            endTask(context, submission, index, TaskPhase::Succeeded);
        }
        return;
    }
    if (update.state == AttemptState::Succeeded) {
        handleTaskSucceeded(context, submission, index, update);
        return;
    }
    task.lastEnd = update;
    task.lastAgent = attempt.agent;
    task.lastIdempotent = attempt.idempotent;
    if (submission.body == nullptr) {
        task.phase = TaskPhase::New;
        return;
    }
    blockOrderAfterLoss(context, submission, task, index, attempt, update.state);
    if (!task.liveAttempts.empty()) {
        return;
    }
    if (submission.stopping || submission.answer) {
        endTask(context, submission, index, TaskPhase::Dropped);
        return;
    }
    retryOrFail(context, submission, index, attempt, update);
}

void endAttempt(Context &context, Submission &submission, std::uint16_t index, std::size_t position, Protocol::TaskUpdate update)
{
    Task &task = submission.tasks[index];
    const Attempt attempt = task.liveAttempts[position];
    removeLiveAttempt(context.state, submission, index, position);
    // A restarted agent reports as fenced what its former incarnation may have started, and what may run on until the lease granted by that one ends.
    if (attempt.recovered && update.state == AttemptState::Refused && update.reason == AgentReason::Fenced) {
        update.state = AttemptState::Lost;
        update.reason = AgentReason::BackendLost;
    }
    if (update.state != AttemptState::Refused) {
        markStarted(submission, task);
    }
    task.outcomeUnknown = task.outcomeUnknown || update.state == AttemptState::Lost;
    recordAgentOutcome(context, attempt, update);
    updateEstimates(context, submission, index, attempt, update);
    handleAttemptEnded(context, submission, index, attempt, update);
    answerIfDone(context, submission);
    relistAgent(context, attempt.agent);
}

void handleUpdate(Context &context, const Base::ProcessId &agent, const Protocol::TaskUpdate &update)
{
    Submission *submission = findSubmission(context.state, update.key.task.submission);
    if (submission == nullptr || update.key.task.index >= submission->tasks.size()) {
        context.count("updates.unmatched");
        return;
    }
    Task &task = submission->tasks[update.key.task.index];
    const auto found = std::find_if(task.liveAttempts.begin(), task.liveAttempts.end(), [&](const Attempt &attempt) {
        return attempt.number == update.key.attempt && attempt.agent == agent.name && attempt.incarnation == agent.incarnation;
    });
    if (found == task.liveAttempts.end()) {
        context.count("updates.unmatched");
        return;
    }
    if (!found->acknowledged) {
        found->acknowledged = true;
        --context.state.agents[agent.name].unacknowledged;
    }
    if (isEnded(update.state)) {
        endAttempt(context, *submission, update.key.task.index, static_cast<std::size_t>(found - task.liveAttempts.begin()), update);
    } else if (update.state == AttemptState::Running) {
        found->state = AttemptState::Running;
        markStarted(*submission, task);
    }
}

} // namespace

void addLiveAttempt(Context &context, Submission &submission, std::uint16_t index, Attempt attempt)
{
    DispatchState &state = context.state;
    AgentRecord &record = state.agents[attempt.agent];
    record.liveAttempts.insert({{submission.id, index}, attempt.number});
    record.unacknowledged += attempt.acknowledged ? 0 : 1;
    record.liveLongTasks += attempt.isLongTask ? 1 : 0;
    record.probeInFlight = record.probeInFlight || attempt.isProbe;
    ++state.teams[submission.team].liveAttemptCount;
    ++state.liveAttemptCount;
    ++submission.liveAttemptCount;
    submission.tasks[index].liveAttempts.push_back(std::move(attempt));
}

void removeLiveAttempt(DispatchState &state, Submission &submission, std::uint16_t index, std::size_t position)
{
    Task &task = submission.tasks[index];
    const Attempt &attempt = task.liveAttempts[position];
    AgentRecord &record = state.agents[attempt.agent];
    record.liveAttempts.erase({{submission.id, index}, attempt.number});
    record.unacknowledged -= attempt.acknowledged ? 0 : 1;
    record.liveLongTasks -= attempt.isLongTask ? 1 : 0;
    --state.teams[submission.team].liveAttemptCount;
    --state.liveAttemptCount;
    --submission.liveAttemptCount;
    const auto recovered = state.recoveredOrderedTasks.find({submission.team, submission.partition});
    if (attempt.recovered && recovered != state.recoveredOrderedTasks.end()) {
        recovered->second.erase({submission.id, index});
        if (recovered->second.empty()) {
            state.recoveredOrderedTasks.erase(recovered);
        }
    }
    task.liveAttempts.erase(task.liveAttempts.begin() + static_cast<std::ptrdiff_t>(position));
}

void startAttempt(Context &context, Submission &submission, std::uint16_t index, const PlacementChoice &choice, bool hedge)
{
    DispatchState &state = context.state;
    Task &task = submission.tasks[index];
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, submission.team);
    TeamState &team = teamState(state, rules, submission.team);
    if (!hedge) {
        dequeue(state, submission, index, TaskPhase::Active);
        removeWaitingTask(state, submission, index);
        chargeStart(state, rules, team, task.costMs);
    }
    Attempt attempt;
    attempt.number = task.nextAttemptNumber++;
    attempt.agent = choice.agent->id.name;
    attempt.incarnation = choice.agent->id.incarnation;
    attempt.isHedge = hedge;
    attempt.isProbe = choice.isProbe;
    attempt.isLongTask = task.isLongTask;
    attempt.sentAt = state.now;
    Protocol::StartTask start = makeStartTask(context, submission, index, attempt);
    attempt.idempotent = start.idempotent;

    Protocol::StartBatch &batch = context.starts[attempt.agent];
    batch.token = choice.agent->token;
    batch.tasks.push_back(std::move(start));
    context.count(choice.isProbe ? "starts.probe" : hedge ? "starts.hedge" : "starts.sent");
    armHedgeTimer(context, submission, index, attempt);
    addLiveAttempt(context, submission, index, std::move(attempt));
}

void handleUpdates(Context &context, const Base::ProcessId &agent, const Protocol::TaskUpdates &updates)
{
    for (const Protocol::TaskUpdate &update : updates.updates) {
        handleUpdate(context, agent, update);
    }
    relistAgent(context, agent.name);
}

void cancelLiveAttempts(Context &context, Submission &submission, std::uint16_t index)
{
    for (Attempt &attempt : submission.tasks[index].liveAttempts) {
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
    for (const Base::AttemptKey &key : found->second.liveAttempts) {
        const Submission &submission = state.ledger.at(key.task.submission);
        for (const Attempt &attempt : submission.tasks[key.task.index].liveAttempts) {
            // A newer incarnation does not know the attempt and would report it as not started.
            if (attempt.number != key.attempt || attempt.incarnation != info->second.id.incarnation) {
                continue;
            }
            auto &keys = attempt.cancelSent ? context.cancels[agent].keys : context.queries[agent].keys;
            keys.push_back(key);
        }
    }
}

void endFencedAttempts(Context &context, const Base::ProcessId &agent)
{
    DispatchState &state = context.state;
    const auto found = state.agents.find(agent.name);
    if (found == state.agents.end()) {
        return;
    }
    const std::vector<Base::AttemptKey> keys(found->second.liveAttempts.begin(), found->second.liveAttempts.end());
    for (const Base::AttemptKey &key : keys) {
        Submission *submission = findSubmission(state, key.task.submission);
        if (submission == nullptr || key.task.index >= submission->tasks.size()) {
            continue;
        }
        const auto &live = submission->tasks[key.task.index].liveAttempts;
        for (std::size_t i = 0; i < live.size(); ++i) {
            if (live[i].number == key.attempt && live[i].incarnation == agent.incarnation) {
                context.count("attempts.fenced");
                endAttempt(context, *submission, key.task.index, i, {key, AttemptState::Lost, AgentReason::Fenced, 0, {}});
                break;
            }
        }
    }
}

void handleHedgeTimer(Context &context, const Base::TaskKey &key, std::uint64_t attemptNumber)
{
    DispatchState &state = context.state;
    Submission *submission = findSubmission(state, key.submission);
    if (submission == nullptr || submission->stopping || submission->answer || key.index >= submission->tasks.size()) {
        return;
    }
    const Task &task = submission->tasks[key.index];
    const Settings::TeamRules *rules = Cluster::rulesFor(context.cluster, submission->team);
    const std::string &kindName = submission->body->tasks[key.index].kind;
    const Settings::KindRules *kind = kindRules(rules, kindName);
    const bool isOnlyAttempt
        = task.phase == TaskPhase::Active && task.liveAttempts.size() == 1 && task.liveAttempts[0].number == attemptNumber && task.liveAttempts[0].idempotent;
    if (!isOnlyAttempt || kind == nullptr || !kind->idempotent || rules->hedgeBudget <= 0
        || Cluster::authority(context.cluster, submission->partition) != Cluster::Authority::Serving) {
        return;
    }
    TeamState &team = teamState(state, rules, submission->team);
    if (team.hedgeTokens < 1) {
        context.count("hedge.budget-exhausted");
        return;
    }
    const PlacementChoice choice = choosePlacement(context, {kindName, task.costMs, task.isLongTask, false, &task});
    if (choice.agent == nullptr || choice.isProbe) {
        return;
    }
    team.hedgeTokens -= 1;
    startAttempt(context, *submission, key.index, choice, true);
}

} // namespace LaburnumFlow::Dispatch::Internal
