#include "waitingmodel.h"

#include "ownercounts.h"

#include <algorithm>

namespace LaburnumFlow::Jobs::Testing {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t workerCount = 6;
constexpr std::uint32_t coresMilli = 16'000;
constexpr std::uint32_t memoryMb = 64'000;
constexpr Base::Duration stepTime = 50ms;
constexpr Base::Duration trafficTime = 15s;
constexpr Base::Duration finishTime = 14s; ///< After the end of the traffic; from then on no job may be left waiting.
constexpr Base::Duration checkTime = 8s;
constexpr Base::Duration longestWait = 3s; ///< A task whose turn has come starts within this time if there is ample room.
constexpr Base::Duration leaseTime = 3s; ///< Runs of an agent that is silent for longer lapse.
constexpr Base::Duration stallTime = 1s;
constexpr Base::Duration lastingStartTime = 6s; ///< The same for a task that lasts.

std::vector<std::string> agentNames()
{
    std::vector<std::string> names;
    for (std::uint32_t i = 0; i < workerCount; ++i) {
        names.push_back("agent-" + std::to_string(i));
    }
    return names;
}

} // namespace

WaitingModel::WaitingModel(unsigned seed) : seed_(seed), random_(seed), owner_(agentNames())
{
    addWorkers();
}

std::uint32_t WaitingModel::draw(std::uint32_t from, std::uint32_t to)
{
    return from + static_cast<std::uint32_t>(random_() % (to - from + 1));
}

bool WaitingModel::chance(double probability)
{
    return random_() % 10'000 < static_cast<std::uint32_t>(probability * 10'000);
}

void WaitingModel::addWorkers()
{
    for (const std::string &name : agentNames()) {
        ModelWorker worker;
        worker.agent = name;
        const std::uint32_t index = static_cast<std::uint32_t>(workers_.size());
        const std::string kind = index == 0 ? "b" : "a";
        const std::string rack = "rack-" + std::to_string(index / 2);
        worker.info = {"worker-" + name, 1'700'000'000'000, service, "domain-1", kind, rack, {kind, rack}, {coresMilli, memoryMb, 0}, false};
        owner_.feed(AgentLinked{name});
        AgentReport report = owner_.report(name);
        report.full = true;
        report.worker = worker.info;
        owner_.feed(AgentReported{name, report});
        workers_.push_back(std::move(worker));
    }
}

StepSpec WaitingModel::drawStep(bool first)
{
    StepSpec step;
    step.count = draw(1, 4);
    step.need = {draw(200, chance(0.1) ? 12'000 : 2500), draw(64, chance(0.1) ? 40'000 : 2000), 0};
    step.estimateMs = draw(50, chance(0.1) ? 4000 : 500);
    if (!first && chance(0.7)) {
        step.after = {0};
    }
    if (chance(0.3)) {
        const std::vector<std::string> labels{"a", "b", "rack-0", "rack-1", "nowhere"};
        step.requiredLabel = labels[draw(0, 4)];
    }
    if (chance(0.2)) {
        step.dataRack = "rack-" + std::to_string(draw(0, 3));
    }
    step.maxPerWorker = chance(0.2) ? draw(1, 2) : 0;
    step.gang = chance(0.2);
    step.sameRack = chance(0.2);
    step.checkpointing = chance(0.2);
    return step;
}

SubmitCall WaitingModel::drawJob(JobId id)
{
    SubmitCall call;
    call.job = id;
    call.rules = queueRules("queue-" + std::to_string(draw(0, 2)));
    call.rules.priority = draw(0, 2);
    if (chance(0.15)) {
        call.rules.advice = AdviceRules{20, 5, draw(500, 3000)};
    }
    if (chance(0.05)) {
        call.rules.service = "other-service";
    }
    call.bestEffort = chance(0.2);
    call.callerTimeoutMs = call.bestEffort ? 1500 : 0;
    const std::uint32_t steps = draw(1, 3);
    for (std::uint32_t i = 0; i < steps; ++i) {
        call.spec.steps.push_back(drawStep(i == 0));
    }
    if (!call.bestEffort && chance(0.08)) {
        call.spec.steps.resize(1);
        call.spec.steps.front().longRunning = true;
        call.spec.steps.front().need.cpuMilli = draw(200, 5000);
    } else if (!call.bestEffort && chance(0.05)) {
        call.spec.repetition = {draw(1, 3), owner_.state.wall.count() / 1000 + draw(0, 2000), draw(200, 1000)};
    }
    return call;
}

void WaitingModel::submitJob()
{
    const JobId id = nextJob_++;
    owner_.submit(id, drawJob(id));
}

void WaitingModel::cancelJob()
{
    if (nextJob_ > 1) {
        const JobId id = draw(1, static_cast<std::uint32_t>(nextJob_ - 1));
        owner_.feed(CallArrived{1'000'000 + id, CancelCall{id}});
    }
}

void WaitingModel::makeTrouble()
{
    ModelWorker &worker = workers_[draw(0, workerCount - 1)];
    const Base::MonoTime now = owner_.state.now;
    if (worker.lost) {
        return;
    }
    switch (draw(0, 6)) {
    case 0:
        worker.lost = chance(0.3);
        break;
    case 1:
    case 2:
    case 3:
        worker.grey = chance(0.5) ? Grey::Fails : Grey::Refuses;
        worker.greyUntil = now + std::chrono::milliseconds(draw(500, 6000));
        break;
    case 4:
        worker.silentSince = now;
        worker.silentUntil = now + std::chrono::milliseconds(draw(200, 5000));
        break;
    default: {
        owner_.feed(AgentUnlinked{worker.agent});
        owner_.feed(AgentLinked{worker.agent});
        AgentReport report = owner_.report(worker.agent);
        report.full = true;
        report.worker = worker.info;
        for (const auto &[run, active] : worker.runs) {
            report.running.push_back({run, active.need});
        }
        owner_.feed(AgentReported{worker.agent, report});
    }
    }
    if (worker.lost) {
        worker.runs.clear();
        AgentReport report = owner_.report(worker.agent);
        report.workerTerminated = true;
        owner_.feed(AgentReported{worker.agent, report});
    }
}

void WaitingModel::refuse(const ModelWorker &worker, const RunRef &run, RunRefusal::Reason reason)
{
    AgentReport report = owner_.report(worker.agent);
    report.refusals.push_back({run, reason});
    owner_.feed(AgentReported{worker.agent, report});
}

void WaitingModel::begin(ModelWorker &worker, const RunRef &run)
{
    const Base::MonoTime now = owner_.state.now;
    const auto job = owner_.state.jobs.find(run.task.job);
    if (worker.lost || job == owner_.state.jobs.end()) {
        refuse(worker, run, RunRefusal::Reason::NoWorker);
        return;
    }
    const bool grey = now < worker.greyUntil;
    if ((grey && worker.grey == Grey::Refuses) || chance(0.01)) {
        refuse(worker, run, grey ? RunRefusal::Reason::Unhealthy : RunRefusal::Reason::NoAnswer);
        return;
    }
    const StepSpec &step = job->second.spec.steps[run.task.step];
    ModelRun active{now, std::nullopt, false, RunOutcome::Done, step.need};
    const auto runTime = std::chrono::milliseconds(step.estimateMs * draw(3, 25) / 10);
    active.stalls = !step.longRunning && chance(0.01);
    if (grey || chance(0.01)) {
        active.outcome = RunOutcome::Failed;
        active.endsAt = now + std::chrono::milliseconds(20);
    } else if (!step.longRunning && !active.stalls) {
        active.endsAt = now + runTime;
    }
    worker.runs.emplace(run, active);
}

void WaitingModel::takeOrders(ModelWorker &worker)
{
    const std::vector<RunRef> starts = owner_.orderedStarts(worker.agent);
    while (worker.startsSeen < starts.size()) {
        begin(worker, starts[worker.startsSeen++]);
    }
    const std::vector<RunRef> stops = owner_.orderedStops(worker.agent);
    while (worker.stopsSeen < stops.size()) {
        const RunRef run = stops[worker.stopsSeen++];
        if (worker.runs.contains(run)) {
            reportEnd(worker, run, RunOutcome::Stopped);
        } else if (!worker.lost) {
            refuse(worker, run, RunRefusal::Reason::Stale);
        }
    }
}

void WaitingModel::reportEnd(ModelWorker &worker, const RunRef &run, RunOutcome outcome)
{
    const auto ended = worker.runs.extract(run);
    const auto runTime = std::chrono::duration_cast<std::chrono::milliseconds>(owner_.state.now - ended.mapped().since);
    owner_.reportEnd(worker.agent, run, outcome, static_cast<std::uint32_t>(runTime.count()) + 1);
}

void WaitingModel::endRuns(ModelWorker &worker)
{
    const Base::MonoTime now = owner_.state.now;
    const bool lapsed = now >= worker.silentSince + leaseTime && worker.silentUntil > worker.silentSince + leaseTime;
    const std::map<RunRef, ModelRun> runs = worker.runs;
    for (const auto &[run, active] : runs) {
        if (lapsed && active.since < worker.silentUntil) {
            reportEnd(worker, run, RunOutcome::Lapsed);
        } else if (active.endsAt && now >= *active.endsAt) {
            reportEnd(worker, run, active.outcome);
        } else if (active.stalls && now >= active.since + stallTime) {
            AgentReport report = owner_.report(worker.agent);
            report.stalled.push_back(run);
            owner_.feed(AgentReported{worker.agent, report});
        }
    }
}

bool WaitingModel::isAllowed(JobId job, const std::string &worker) const
{
    return (job * 31 + static_cast<JobId>(worker.back())) % 10 < 7;
}

void WaitingModel::answerAdvice()
{
    while (adviceAnswered_ < owner_.adviceRequests.size()) {
        const AskAdvice asked = owner_.adviceRequests[adviceAnswered_++];
        AdviceGiven given{asked.number, !chance(0.05), {}, std::nullopt};
        for (const std::string &worker : asked.workers) {
            if (given.answered && isAllowed(asked.step.job, worker)) {
                given.tickets.emplace_back(worker, "ticket");
            }
        }
        owner_.feed(given);
    }
}

void WaitingModel::step()
{
    owner_.advanceTime(stepTime);
    owner_.commit();
    answerAdvice();
    for (ModelWorker &worker : workers_) {
        if (owner_.state.now < worker.silentUntil) {
            continue;
        }
        endRuns(worker);
        takeOrders(worker);
        owner_.feed(AgentReported{worker.agent, owner_.report(worker.agent)});
    }
}

std::uint64_t WaitingModel::countRuns(const ModelWorker &worker, JobId job, const StepSpec *step, std::uint16_t stepNumber) const
{
    return static_cast<std::uint64_t>(std::count_if(worker.runs.begin(), worker.runs.end(), [&](const auto &run) {
        return run.first.task.job == job && (step == nullptr || run.first.task.step == stepNumber);
    }));
}

std::uint64_t WaitingModel::roomFor(const Job &job, const StepSpec &step, std::uint16_t stepNumber) const
{
    std::uint64_t room = 0;
    for (const ModelWorker &worker : workers_) {
        const bool labelled
            = step.requiredLabel.empty() || std::find(worker.info.labels.begin(), worker.info.labels.end(), step.requiredLabel) != worker.info.labels.end();
        if (worker.lost || !labelled || job.rules.service != worker.info.service || (job.rules.advice && !isAllowed(job.id, worker.info.id))) {
            continue;
        }
        Resources used;
        for (const auto &[run, active] : worker.runs) {
            used += active.need;
        }
        std::uint64_t fitting = 0;
        const std::uint64_t running = countRuns(worker, job.id, &step, stepNumber);
        while (isWithin(used + step.need, worker.info.capacity) && (step.maxPerWorker == 0 || running + fitting < step.maxPerWorker)) {
            used += step.need;
            ++fitting;
        }
        room += fitting;
    }
    return room;
}

bool WaitingModel::isHalfIdle() const
{
    std::uint64_t used = 0;
    std::uint64_t capacity = 0;
    for (const ModelWorker &worker : workers_) {
        capacity += worker.lost ? 0 : worker.info.capacity.cpuMilli;
        for (const auto &[run, active] : worker.runs) {
            used += active.need.cpuMilli;
        }
    }
    return used * 2 < capacity;
}

bool WaitingModel::isLeftWaiting(const Job &job, StepIndex step) const
{
    const auto first = job.tasks.begin() + job.firstTask[step];
    const auto last = job.tasks.begin() + job.firstTask[step + 1U];
    const bool isDone = std::all_of(first, last, [](const Task &task) { return task.phase == Task::Phase::Done; });
    const auto stepNumber = static_cast<std::uint16_t>(step % job.spec.steps.size());
    const StepSpec &spec = job.spec.steps[stepNumber];
    const bool isBlocked = std::any_of(spec.after.begin(), spec.after.end(), [&](std::uint16_t earlier) {
        const StepIndex index = step - stepNumber + earlier;
        return std::any_of(job.tasks.begin() + job.firstTask[index], job.tasks.begin() + job.firstTask[index + 1U], [](const Task &task) {
            return task.phase != Task::Phase::Done;
        });
    });
    if (isDone || isBlocked || job.finishing) {
        return false;
    }
    std::uint64_t running = 0;
    for (const ModelWorker &worker : workers_) {
        running += countRuns(worker, job.id, spec.longRunning ? &spec : nullptr, stepNumber);
    }
    const bool waits = spec.longRunning ? running < spec.count : running == 0;
    return waits && roomFor(job, spec, stepNumber) >= 2ULL * (spec.gang ? spec.count : 1U) && isHalfIdle();
}

void WaitingModel::noteWaiting()
{
    const Base::MonoTime now = owner_.state.now;
    std::map<std::pair<JobId, StepIndex>, Base::MonoTime> waiting;
    for (const auto &[id, job] : owner_.state.jobs) {
        for (StepIndex step = 0; job.stored && !job.bestEffort && step < job.steps.size(); ++step) {
            if (!isLeftWaiting(job, step)) {
                continue;
            }
            const auto known = waitingSince_.find({id, step});
            const Base::MonoTime since = known == waitingSince_.end() ? now : known->second;
            waiting.emplace(std::pair(id, step), since);
            const Base::Duration limit = job.longRunning ? lastingStartTime : longestWait;
            if (now - since > limit && fault_.empty()) {
                fault_ = "seed " + std::to_string(seed_) + ": step " + std::to_string(step) + " of job " + std::to_string(id) + " is left waiting";
            }
        }
    }
    waitingSince_ = std::move(waiting);
}

std::string WaitingModel::checkCounts() const
{
    const std::string miscount = findMiscount(owner_.state);
    return miscount.empty() ? std::string() : "seed " + std::to_string(seed_) + ": " + miscount;
}

std::string WaitingModel::play()
{
    const Base::MonoTime begin = owner_.state.now;
    const Base::MonoTime trafficEnd = begin + trafficTime;
    const Base::MonoTime checksBegin = trafficEnd + finishTime;
    while (owner_.state.now < checksBegin + checkTime && fault_.empty()) {
        if (owner_.state.now < trafficEnd && chance(0.3)) {
            submitJob();
        }
        if (owner_.state.now < trafficEnd && chance(0.03)) {
            cancelJob();
        }
        if (owner_.state.now < trafficEnd && chance(0.02)) {
            makeTrouble();
        }
        step();
        if (owner_.state.now >= checksBegin) {
            noteWaiting();
        }
        if (fault_.empty()) {
            fault_ = checkCounts();
        }
    }
    return fault_;
}

} // namespace LaburnumFlow::Jobs::Testing
