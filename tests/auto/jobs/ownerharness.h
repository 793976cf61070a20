#pragma once

#include "jobs/jobsconstants.h"
#include "jobs/owner.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Drives the owner's reducer with one step of time for each event and keeps its effects.
namespace LaburnumFlow::Jobs::Testing {

constexpr const char *service = "service";

QueueRules queueRules(const std::string &queue, std::uint32_t maxAttempts = 3);

/// Equal tasks of one step.
SubmitCall submission(JobId id, std::uint32_t tasks, std::uint32_t estimateMs = 100, std::uint32_t cpuMilli = 1000);
SubmitCall bestEffort(JobId id, std::uint32_t tasks, std::uint32_t estimateMs = 100, std::uint32_t cpuMilli = 1000);

class OwnerHarness
{
public:
    /// An owner whose record names the agents.
    explicit OwnerHarness(std::vector<std::string> recordedAgents, std::uint64_t epoch = 1, const std::vector<JobRecord> &jobs = {});

    void advanceTime(Base::Duration time);
    void feed(const OwnerEvent &event);

    void submit(CallId call, const SubmitCall &submission);

    /// Links the agent and lets it report a worker and what it runs.
    void join(const std::string &agent, std::uint32_t cpuMilli = 8000, std::vector<PossibleRun> running = {}, std::vector<RunEnd> ends = {});
    void joinOnRack(const std::string &agent, const std::string &rack, std::uint32_t cpuMilli = 8000);
    AgentReport report(const std::string &agent) const;
    void reportEnd(const std::string &agent, const RunRef &run, RunOutcome outcome, std::uint32_t runTimeMs = 100, const std::string &checkpoint = {});
    void saveCheckpoint(const std::string &agent, const RunRef &run, const std::string &checkpoint);
    /// Lets the agents confirm that the stops they were ordered have ended the runs.
    void confirmStops();
    /// Lets time pass in small steps, in which all agents report.
    void advanceTimeWithReports(Base::Duration time);

    /// Answers the commit in progress, if there is one. Returns whether there was.
    bool commit();

    /// Lets time pass and answers commits until none is left.
    void commitAll();

    std::optional<CallAnswer> answerTo(CallId call) const;

    /// All runs that were ordered to start on the agent.
    std::vector<RunRef> orderedStarts(const std::string &agent) const;
    std::vector<RunRef> orderedStops(const std::string &agent) const;
    std::size_t orderedStartCount() const;
    /// Of the last order to start the run.
    std::string orderedCheckpoint(const RunRef &run) const;
    std::string orderedTicket(const RunRef &run) const;

    OwnerState state;
    Base::Duration timePerEvent = std::chrono::milliseconds(1);
    std::vector<Commit> commits;
    std::optional<StepDown> steppedDown;
    std::vector<RunRequirements> runRequirements; ///< as the agents were told
    std::vector<AskAdvice> adviceRequests;
    std::map<std::string, std::uint64_t> endsRecorded; ///< as the agents were told

private:
    void recordEffects(OwnerEffects effects);

    Base::MonoTime now_{std::chrono::seconds(100)};
    std::map<CallId, CallAnswer> answers_;
    std::map<std::string, std::vector<RunRef>> starts_;
    std::map<std::string, std::vector<RunRef>> stops_;
    std::map<RunRef, std::string> checkpoints_;
    std::map<RunRef, std::string> tickets_;
    std::map<std::string, std::size_t> confirmedStopCount_;
    std::map<std::string, std::uint64_t> lastEndNumber_;
    std::map<std::string, std::uint64_t> ordersSeen_;
    std::int64_t revision_ = 100;
    bool isCommitPending_ = false;
};

} // namespace LaburnumFlow::Jobs::Testing
