#include "owner.h"

#include "jobsconstants.h"
#include "ownersteps.h"
#include "waitingsteps.h"

#include "base/earliest.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace LaburnumFlow::Jobs {

namespace {

using Internal::Context;

void handle(Context &context, const TimePassed &event)
{
    for (const Agent &agent : context.state.agents) {
        const Base::MonoTime until = agent.health.suspendedUntil;
        context.state.schedulingDue |= until > context.state.now && until <= event.now;
    }
    context.state.schedulingDue |= context.state.rescheduleAt && *context.state.rescheduleAt <= event.now;
    context.state.now = event.now;
    context.state.wall = event.wall;
    Internal::expireAgents(context);
    Internal::answerHeldQueries(context);
    Internal::expireJobs(context);
    Internal::stopOrphans(context);
    Internal::stopStoredRuns(context);
    Internal::recordAgents(context);
    Internal::resolveTasksInDoubt(context);
    Internal::beginDueOccurrences(context);
    Internal::flushProgress(context);
    Internal::rewriteOldRecords(context);
}

void handle(Context &context, const CallArrived &event)
{
    Internal::handleCall(context, event);
}

void handle(Context &context, const AgentLinked &event)
{
    Agent &agent = Internal::findOrAddAgent(context.state, event.agent);
    agent.linked = true;
    context.state.agentsChanged = true;
    agent.reported = false;
    // Another process of the agent may have linked, on a machine whose clock has begun anew.
    agent.token = 0;
    const std::vector<std::string> &recorded = context.state.recorder.recordedAgents();
    agent.recorded = std::binary_search(recorded.begin(), recorded.end(), agent.name);
    agent.ordersAt = {};
    agent.outbox = {};
    agent.outbox.entries = context.state.entries;
}

void handle(Context &context, const AgentUnlinked &event)
{
    Internal::handleUnlinked(context, event.agent);
}

void handle(Context &context, const AgentReported &event)
{
    Internal::handleReport(context, event.agent, event.report);
    Internal::resolveTasksInDoubt(context);
}

void handle(Context &context, const CommitEnded &event)
{
    OwnerState &state = context.state;
    switch (state.recorder.finish(event.result, state.now)) {
    case Recorder::Verdict::Recorded:
        Internal::handleRecordedChanges(context, state.recorder.takeRecorded());
        Internal::updateRecordedAgents(context);
        return;
    case Recorder::Verdict::Retry:
        return;
    case Recorder::Verdict::OwnershipLost:
        Internal::logDecision(context, "owner.deposed", {{"epoch", std::to_string(state.epoch)}});
        context.effects.push_back(StepDown{});
        return;
    }
}

void handle(Context &context, const RulesChanged &event)
{
    OwnerState &state = context.state;
    if (event.version <= state.rulesVersion) {
        return;
    }
    state.rulesVersion = event.version;
    state.rules.clear();
    for (const QueueRules &rules : event.queues) {
        state.rules.emplace(rules.name, rules);
    }
    for (auto &[id, job] : state.jobs) {
        const auto found = state.rules.find(job.rules.name);
        if (found == state.rules.end()) {
            continue;
        }
        // The job's place in the queue and the workers that may run its steps depend on its rules.
        leaveQueue(state, job);
        job.rules = found->second;
        Internal::requeue(context, job);
    }
    state.schedulingDue = true;
}

void handle(Context &context, const AdviceGiven &event)
{
    Internal::handleAdvice(context, event);
}

void handle(Context &context, const AuthorityRenewed &event)
{
    OwnerState &state = context.state;
    const bool regained = !Internal::hasAuthority(state) && state.now < event.until;
    state.authorityUntil = event.until;
    const Base::MonoTime storedWorkUntil = event.confirmedByStore ? Base::MonoTime::max() : event.storeConfirmedAt + storedWorkTimeout;
    const bool storedWorkResumes = state.now >= state.storedWorkUntil && state.now < storedWorkUntil;
    state.storedWorkUntil = storedWorkUntil;
    state.storedRunsStopped = state.storedRunsStopped && state.now >= storedWorkUntil;
    const bool newProof = event.storeConfirmedAt > state.storeConfirmedAt;
    state.storeConfirmedAt = event.storeConfirmedAt;
    state.schedulingDue |= regained || storedWorkResumes || (newProof && !state.ready.empty());
    state.confirmedByStore = event.confirmedByStore;
}

void handle(Context &context, const FormerOwnersFenced & /*event*/)
{
    OwnerState &state = context.state;
    state.formerOwnersFenced = true;
    Internal::awaitGivenUpAgents(context);
    state.formerRunsResolvedBy = std::min(state.formerRunsResolvedBy, state.now + formerRunExpiryTimeout);
}

void handle(Context &context, const EntriesChanged &event)
{
    context.state.entries = event.entries;
    for (Agent &agent : context.state.agents) {
        agent.outbox.entries = event.entries;
        agent.ordersAt = {};
    }
}

bool ordersDue(const Agent &agent, Base::MonoTime now)
{
    if (!agent.linked) {
        return false;
    }
    return agent.hasOrders() || agent.ordersAt == Base::MonoTime{} || now - agent.ordersAt >= ordersKeepAliveInterval;
}

void sendOrders(Context &context)
{
    if (!Internal::hasAuthority(context.state)) {
        return;
    }
    for (Agent &agent : context.state.agents) {
        if (!ordersDue(agent, context.state.now)) {
            continue;
        }
        OwnerOrders orders = std::exchange(agent.outbox, {});
        orders.epoch = context.state.epoch;
        orders.number = ++agent.ordersSent;
        orders.echo = agent.token;
        orders.workerStartTimeMs = agent.worker ? agent.worker->startTimeMs : 0;
        orders.endsRecorded = agent.endsRecorded;
        orders.confirmedByStore = context.state.confirmedByStore;
        orders.endsToLapse = agent.endsToLapse;
        agent.ordersAt = context.state.now;
        context.effects.push_back(SendOrders{agent.name, std::move(orders)});
    }
}

void startCommit(Context &context)
{
    OwnerState &state = context.state;
    if (std::optional<Commit> commit = state.recorder.next(state.now, state.wall)) {
        context.effects.push_back(StartCommit{std::move(*commit)});
        Internal::updateRecordedAgents(context);
    }
}

/// Returns the occurrences that the record of a job without RepeatedJobRecord is about: the first ones, in order.
std::vector<std::uint32_t> occurrencesInOrder(const JobRecord &record)
{
    const std::size_t perOccurrence = std::max<std::size_t>(1, countTasks(record.spec));
    const std::size_t begun = (record.done.size() + perOccurrence - 1) / perOccurrence;
    std::vector<std::uint32_t> numbers(std::min<std::size_t>(begun, record.spec.repetition.count));
    std::iota(numbers.begin(), numbers.end(), 0U);
    return numbers;
}

std::optional<RepeatedJobRecord> decodeAnyJobRecord(std::string_view text)
{
    if (std::optional<RepeatedJobRecord> repeated = decodeRepeatedJobRecord(text)) {
        return repeated;
    }
    std::optional<JobRecord> record = decodeJobRecord(text);
    if (!record) {
        return std::nullopt;
    }
    std::vector<std::uint32_t> occurrences = occurrencesInOrder(*record);
    const auto next = static_cast<std::uint32_t>(occurrences.size());
    return RepeatedJobRecord{std::move(*record), next, std::move(occurrences)};
}

/// Restores what is recorded of the job's tasks. A former owner may have started any of those that aren't done, also those of steps that look blocked, as it may not
/// have recorded the latest ends.
void restoreTasks(OwnerState &state, Job &job, JobRecord &record)
{
    for (std::size_t flat = 0; flat < job.tasks.size(); ++flat) {
        Task &task = job.tasks[flat];
        const bool isDone = flat < record.done.size() && record.done[flat] != 0;
        task.failures = flat < record.failures.size() ? record.failures[flat] : 0;
        task.checkpoint = flat < record.checkpoints.size() ? std::move(record.checkpoints[flat]) : std::string();
        Internal::setPhase(state, job, task, isDone ? Task::Phase::Done : Task::Phase::InDoubt);
    }
}

Job restoreJob(OwnerState &state, RepeatedJobRecord stored, const FailedRunsRecord &failedRuns)
{
    JobRecord &record = stored.job;
    Job job = makeJob(record.id, std::move(record.rules), std::move(record.spec), state.now);
    job.stored = true;
    job.failedRuns.insert(failedRuns.runs.begin(), failedRuns.runs.end());
    if (job.spec.repetition.count > 0) {
        restoreOccurrences(job, stored.nextOccurrence, std::move(stored.occurrences));
    }
    restoreTasks(state, job, record);
    for (OccurrencePosition position = 0; position < job.occurrences.numbers().size(); ++position) {
        if (isOccurrenceDone(job, position)) {
            job.occurrences.release(position);
        }
    }
    return job;
}

/// Restores unfinished jobs. The latest record of a job is that in the pack with the greatest key; earlier ones are ignored.
void restoreJobs(OwnerState &state, std::vector<StoredJobs::Pack> packs)
{
    std::sort(packs.begin(), packs.end(), [](const auto &left, const auto &right) { return left.key > right.key; });
    for (StoredJobs::Pack &pack : packs) {
        std::vector<JobId> live;
        FailedRunsRecord failedRuns;
        std::reverse(pack.content.records.begin(), pack.content.records.end());
        for (const std::string &text : pack.content.records) {
            if (std::optional<FailedRunsRecord> runs = decodeFailedRunsRecord(text)) {
                failedRuns = std::move(*runs);
                continue;
            }
            std::optional<RepeatedJobRecord> record = decodeAnyJobRecord(text);
            const FailedRunsRecord runsOfJob = std::exchange(failedRuns, {});
            if (!record || state.finished.contains(record->job.id) || state.jobs.contains(record->job.id)) {
                continue;
            }
            Job job = restoreJob(state, std::move(*record), runsOfJob);
            ++state.unstarted[job.rules.name];
            live.push_back(job.id);
            Job &kept = state.jobs.emplace(job.id, std::move(job)).first->second;
            Internal::updateNextOccurrence(state, kept, true);
        }
        state.recorder.adoptPack(pack.key, live, pack.content.writtenMs);
    }
}

} // namespace

namespace Internal {

bool hasAuthority(const OwnerState &state)
{
    return state.now < state.authorityUntil;
}

void logDecision(Context &context, std::string event, std::vector<std::pair<std::string, std::string>> fields)
{
    context.effects.push_back(Decision{std::move(event), std::move(fields)});
}

} // namespace Internal

OwnerState takeOver(StoredJobs stored, Base::MonoTime now, Base::WallTime wall, const OwnerSettings &settings)
{
    OwnerState state;
    state.settings = settings;
    state.epoch = stored.owner.epoch;
    state.now = now;
    state.wall = wall;
    state.awaitedAgents.insert(stored.owner.agents.begin(), stored.owner.agents.end());
    // Agents are looked up by binary search.
    std::sort(stored.owner.agents.begin(), stored.owner.agents.end());
    state.recorder = Recorder(std::move(stored.owner), stored.ownerRevision, settings.finalStateRetention);
    std::sort(
        stored.finished.begin(), stored.finished.end(), [](const auto &left, const auto &right) { return left.content.newestMs < right.content.newestMs; });
    for (const StoredJobs::Segment &segment : stored.finished) {
        state.recorder.adoptSegment(segment.key, segment.content.newestMs);
        for (const FinishedJob &job : segment.content.jobs) {
            Internal::keepFinalState(state, job.id, job.state);
        }
    }
    restoreJobs(state, std::move(stored.packs));
    state.formerRunsResolvedBy = now + unfencedRunExpiryTimeout;
    state.orphansUntil = now + orphanGracePeriod;
    state.tookOverAt = now;
    return state;
}

OwnerEffects handleEvent(OwnerState &state, const OwnerEvent &event)
{
    OwnerEffects effects;
    Context context{state, effects};
    std::visit([&context](const auto &concreteEvent) { handle(context, concreteEvent); }, event);
    return effects;
}

OwnerEffects endTurn(OwnerState &state)
{
    OwnerEffects effects;
    Context context{state, effects};
    startCommit(context);
    Internal::schedule(context);
    sendOrders(context);
    startCommit(context);
    return effects;
}

OwnerEffects reduce(OwnerState &state, const OwnerEvent &event)
{
    OwnerEffects effects = handleEvent(state, event);
    OwnerEffects more = endTurn(state);
    std::move(more.begin(), more.end(), std::back_inserter(effects));
    return effects;
}

std::optional<Base::MonoTime> nextDue(const OwnerState &state)
{
    Base::Earliest due;
    due.consider(state.recorder.nextDue());
    if (!state.progressDue.empty()) {
        due.consider(state.progressDue.begin()->first);
    }
    due.consider(state.rescheduleAt);
    if (!state.occurrences.empty()) {
        due.consider(state.now + std::max<Base::Duration>(state.occurrences.begin()->first - state.wall, Base::Duration(1)));
    }
    if (!state.timelinessChanges.empty()) {
        due.consider(state.timelinessChanges.begin()->first);
    }
    if (state.tasksInDoubt > 0) {
        due.consider(state.resolution.jobs.empty() ? state.formerRunsResolvedBy : state.now + Base::Duration(1));
    }
    if (!state.orphans.empty() && state.now < state.orphansUntil) {
        due.consider(state.orphansUntil);
    }
    if (!state.storedRunsStopped && state.storedWorkUntil != Base::MonoTime::max()) {
        due.consider(state.storedWorkUntil);
    }
    if (!state.heldQueries.empty()) {
        due.consider(state.heldQueries.front().until);
    }
    if (!state.expiring.empty()) {
        due.consider(state.expiring.begin()->first);
    }
    const bool sendsOrders = Internal::hasAuthority(state);
    for (const Agent &agent : state.agents) {
        if (agent.linked && sendsOrders) {
            due.consider(agent.ordersAt + ordersKeepAliveInterval);
        }
        if (!agent.linked && agent.recorded && agent.runs.empty()) {
            due.consider(std::max(agent.unlinkedAt + unlinkedAgentRetention, state.now + unlinkedAgentRetention / 4));
        }
        if (!agent.runs.empty()) {
            due.consider(agent.tokenAt + runExpiryTimeout + Base::Duration(1));
        }
        if (!state.ready.empty() && state.now < agent.health.suspendedUntil) {
            due.consider(agent.health.suspendedUntil);
        }
    }
    return due.time();
}

} // namespace LaburnumFlow::Jobs
