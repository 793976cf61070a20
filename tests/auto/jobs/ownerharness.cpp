#include "ownerharness.h"

#include <utility>

namespace LaburnumFlow::Jobs::Testing {

namespace {

constexpr std::int64_t startTimeMs = 1'700'000'000'000;

} // namespace

QueueRules queueRules(const std::string &queue, std::uint32_t maxAttempts)
{
    return {queue, service, 0, maxAttempts, 1.6, 60};
}

SubmitCall submission(JobId id, std::uint32_t tasks, std::uint32_t estimateMs, std::uint32_t cpuMilli)
{
    SubmitCall call;
    call.job = id;
    call.rules = queueRules("queue");
    call.spec.payload = "payload";
    call.spec.steps.push_back({tasks, {cpuMilli, 64, 0}, estimateMs, {}, {}, {}, 0});
    return call;
}

SubmitCall bestEffort(JobId id, std::uint32_t tasks, std::uint32_t estimateMs, std::uint32_t cpuMilli)
{
    SubmitCall call = submission(id, tasks, estimateMs, cpuMilli);
    call.bestEffort = true;
    return call;
}

JobRecord jobRecord(JobId id, std::uint32_t tasks)
{
    const SubmitCall call = submission(id, tasks);
    return {id, call.rules, call.spec, std::vector<std::uint8_t>(tasks, 0), std::vector<std::uint8_t>(tasks, 0), {}};
}

PossibleRun possibleRun(JobId job, std::uint32_t index, std::uint32_t run)
{
    return {{{job, 0, index}, run}, {1000, 64, 0}};
}

OwnerHarness::OwnerHarness(std::vector<std::string> recordedAgents, std::uint64_t epoch, const std::vector<JobRecord> &jobs)
{
    StoredJobs stored;
    stored.owner = {epoch, 0, "entry-1", 1, std::move(recordedAgents)};
    stored.ownerRevision = revision_;
    JobPack pack;
    for (const JobRecord &job : jobs) {
        pack.records.push_back(encodeRecord(job));
    }
    stored.packs.push_back({packKey(epoch - 1, 0), std::move(pack)});
    state = takeOver(std::move(stored), now_, Base::WallTime(1'000'000));
}

OwnerHarness OwnerHarness::successorOf(const OwnerHarness &former)
{
    OwnerHarness successor({});
    successor.now_ = former.now_;
    successor.inherited_ = former.storedForSuccessor();
    successor.state = takeOver(successor.inherited_, former.now_, former.state.wall);
    return successor;
}

StoredJobs OwnerHarness::storedForSuccessor() const
{
    StoredJobs stored = inherited_;
    stored.owner = {state.epoch + 1, 0, "entry-2", 1, state.recorder.owner().agents};
    stored.ownerRevision = revision_;
    for (const Commit &commit : commits) {
        for (const Commit::Write &write : commit.writes) {
            if (write.key.starts_with(jobPrefix)) {
                stored.packs.push_back({write.key, decodeJobPack(write.value).value()});
            } else if (write.key.starts_with(finishedPrefix)) {
                stored.finished.push_back({write.key, decodeFinishedSegment(write.value).value()});
            }
        }
    }
    return stored;
}

void OwnerHarness::advanceTime(Base::Duration time)
{
    now_ += time;
    recordEffects(reduce(state, TimePassed{now_, Base::WallTime(1'000'000 + now_.count() / 1000)}));
}

void OwnerHarness::feed(const OwnerEvent &event)
{
    advanceTime(timePerEvent);
    recordEffects(reduce(state, event));
}

void OwnerHarness::recordEffects(OwnerEffects effects)
{
    for (OwnerEffect &effect : effects) {
        if (auto *reply = std::get_if<Reply>(&effect)) {
            answers_.insert_or_assign(reply->id, reply->answer);
        } else if (auto *orders = std::get_if<SendOrders>(&effect)) {
            for (const StartOrder &start : orders->orders.starts) {
                auto &starts = starts_[orders->agent];
                starts.insert(starts.end(), start.runs.begin(), start.runs.end());
                for (const RunRef &run : start.runs) {
                    checkpoints_[run] = start.checkpoint;
                    tickets_[run] = start.ticket;
                }
            }
            auto &stops = stops_[orders->agent];
            stops.insert(stops.end(), orders->orders.stops.begin(), orders->orders.stops.end());
            runRequirements.insert(runRequirements.end(), orders->orders.runRequirements.begin(), orders->orders.runRequirements.end());
            endsRecorded[orders->agent] = orders->orders.endsRecorded;
            endsToLapse[orders->agent] = orders->orders.endsToLapse;
            echoes[orders->agent] = orders->orders.echo;
            ordersSeen_[orders->agent] = orders->orders.number;
        } else if (auto *commit = std::get_if<StartCommit>(&effect)) {
            commits.push_back(std::move(commit->commit));
            isCommitPending_ = true;
        } else if (auto *ask = std::get_if<AskAdvice>(&effect)) {
            adviceRequests.push_back(std::move(*ask));
        } else if (auto *decision = std::get_if<Decision>(&effect)) {
            decisions.push_back(std::move(*decision));
        } else if (auto *stepDown = std::get_if<StepDown>(&effect)) {
            steppedDown = *stepDown;
        }
    }
}

void OwnerHarness::submit(CallId call, const SubmitCall &submission)
{
    feed(CallArrived{call, submission});
}

AgentReport OwnerHarness::report(const std::string &agent) const
{
    AgentReport report;
    report.token = now_.count() / 1000;
    report.epoch = state.epoch;
    const auto seen = ordersSeen_.find(agent);
    report.ordersSeen = seen == ordersSeen_.end() ? 0 : seen->second;
    return report;
}

void OwnerHarness::join(const std::string &agent, std::uint32_t cpuMilli, std::vector<PossibleRun> running, std::vector<RunEnd> ends, bool endsIncomplete)
{
    feed(AgentLinked{agent});
    AgentReport full = report(agent);
    full.full = true;
    full.worker = WorkerInfo{"worker-" + agent, startTimeMs, service, "domain-1", "a", "rack-1", {"a", "rack-1"}, {cpuMilli, 65'536, 0}, false};
    full.running = std::move(running);
    full.ends = std::move(ends);
    full.endsIncomplete = endsIncomplete;
    full.formerEpoch = formerEpoch;
    for (const RunEnd &end : full.ends) {
        lastEndNumber_[agent] = std::max(lastEndNumber_[agent], end.number);
    }
    feed(AgentReported{agent, std::move(full)});
}

void OwnerHarness::joinOnRack(const std::string &agent, const std::string &rack, std::uint32_t cpuMilli)
{
    feed(AgentLinked{agent});
    AgentReport full = report(agent);
    full.full = true;
    full.worker = WorkerInfo{"worker-" + agent, startTimeMs, service, "domain-1", "a", rack, {"a", rack}, {cpuMilli, 65'536, 0}, false};
    feed(AgentReported{agent, std::move(full)});
}

void OwnerHarness::reportEnd(const std::string &agent, const RunRef &run, RunOutcome outcome, std::uint32_t runTimeMs, const std::string &checkpoint)
{
    AgentReport ended = report(agent);
    ended.ends.push_back({++lastEndNumber_[agent], run, outcome, runTimeMs, checkpoint});
    feed(AgentReported{agent, std::move(ended)});
}

void OwnerHarness::saveCheckpoint(const std::string &agent, const RunRef &run, const std::string &checkpoint)
{
    AgentReport saved = report(agent);
    saved.checkpoints.push_back({run, checkpoint});
    feed(AgentReported{agent, std::move(saved)});
}

void OwnerHarness::confirmStops()
{
    const auto ordered = stops_;
    for (const auto &[agent, runs] : ordered) {
        for (std::size_t i = std::exchange(confirmedStopCount_[agent], runs.size()); i < runs.size(); ++i) {
            reportEnd(agent, runs[i], RunOutcome::Stopped);
        }
    }
}

void OwnerHarness::advanceTimeWithReports(Base::Duration time)
{
    constexpr Base::Duration step = std::chrono::milliseconds(50);
    for (Base::Duration passed{}; passed < time; passed += step) {
        advanceTime(step);
        const std::vector<Agent> agents = state.agents;
        for (const Agent &agent : agents) {
            feed(AgentReported{agent.name, report(agent.name)});
        }
    }
}

std::string OwnerHarness::orderedTicket(const RunRef &run) const
{
    const auto found = tickets_.find(run);
    return found == tickets_.end() ? std::string() : found->second;
}

std::string OwnerHarness::orderedCheckpoint(const RunRef &run) const
{
    const auto found = checkpoints_.find(run);
    return found == checkpoints_.end() ? std::string() : found->second;
}

bool OwnerHarness::commit()
{
    if (!std::exchange(isCommitPending_, false)) {
        return false;
    }
    feed(CommitEnded{Committed{++revision_}});
    return true;
}

void OwnerHarness::commitAll()
{
    constexpr int rounds = 50;
    for (int i = 0; i < rounds; ++i) {
        advanceTime(std::chrono::milliseconds(20));
        commit();
    }
}

std::optional<CallAnswer> OwnerHarness::answerTo(CallId call) const
{
    const auto found = answers_.find(call);
    return found == answers_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<RunRef> OwnerHarness::orderedStarts(const std::string &agent) const
{
    const auto found = starts_.find(agent);
    return found == starts_.end() ? std::vector<RunRef>{} : found->second;
}

std::vector<RunRef> OwnerHarness::orderedStops(const std::string &agent) const
{
    const auto found = stops_.find(agent);
    return found == stops_.end() ? std::vector<RunRef>{} : found->second;
}

std::size_t OwnerHarness::orderedStartCount() const
{
    std::size_t count = 0;
    for (const auto &[agent, starts] : starts_) {
        count += starts.size();
    }
    return count;
}

} // namespace LaburnumFlow::Jobs::Testing
