#pragma once

#include "jobs/jobsconstants.h"
#include "jobs/owner.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Drives the owner's reducer, advances the time before each event and keeps the effects.
namespace LaburnumFlow::Jobs::Testing {

constexpr const char *service = "service";

QueueRules queueRules(const std::string &queue, std::uint32_t maxAttempts = 3);

/// Creates a job with one step of equal tasks.
SubmitCall submission(JobId id, std::uint32_t tasks, std::uint32_t estimateMs = 100, std::uint32_t cpuMilli = 1000);

/// Creates the same job as a best-effort one, which is never stored.
SubmitCall bestEffort(JobId id, std::uint32_t tasks, std::uint32_t estimateMs = 100, std::uint32_t cpuMilli = 1000);

/// Creates the record of a job with one step of equal tasks, none of which is done.
JobRecord jobRecord(JobId id, std::uint32_t tasks);

/// Creates a run of the task as an agent reports it.
PossibleRun possibleRun(JobId job, std::uint32_t index, std::uint32_t run);

class OwnerHarness
{
public:
    /// Creates an owner that takes over the jobs, with an owner record that names the agents.
    explicit OwnerHarness(std::vector<std::string> recordedAgents, std::uint64_t epoch = 1, const std::vector<JobRecord> &jobs = {});

    /// Creates the owner of the next epoch, which takes over what storedForSuccessor() returns.
    static OwnerHarness successorOf(const OwnerHarness &former);

    /// Returns what the commits of this owner, and of those before it, have written, as the owner of the next epoch finds it. Keys that they have removed are
    /// still there, which must make no difference.
    StoredJobs storedForSuccessor() const;

    void advanceTime(Base::Duration time);

    /// Advances the time by timePerEvent, then handles the event.
    void feed(const OwnerEvent &event);

    void submit(CallId call, const SubmitCall &submission);

    /// Links the agent and sends its full report of a worker, the active runs and the ends.
    void join(const std::string &agent,
              std::uint32_t cpuMilli = 8000,
              std::vector<PossibleRun> running = {},
              std::vector<RunEnd> ends = {},
              bool endsIncomplete = false);
    void joinOnRack(const std::string &agent, const std::string &rack, std::uint32_t cpuMilli = 8000);
    AgentReport report(const std::string &agent) const;
    void reportEnd(const std::string &agent, const RunRef &run, RunOutcome outcome, std::uint32_t runTimeMs = 100, const std::string &checkpoint = {});
    void saveCheckpoint(const std::string &agent, const RunRef &run, const std::string &checkpoint);

    /// Reports for all stop orders that are not confirmed yet that the runs have ended.
    void confirmStops();

    /// Advances the time in steps of 50 ms, each followed by a report of every agent.
    void advanceTimeWithReports(Base::Duration time);

    /// Reports success for the commit in progress. Returns false if there is none.
    bool commit();

    /// Advances the time in 50 steps of 20 ms and lets each commit in progress succeed.
    void commitAll();

    std::optional<CallAnswer> answerTo(CallId call) const;

    /// Returns all runs that the agent was ordered to start, in the order of the orders.
    std::vector<RunRef> orderedStarts(const std::string &agent) const;
    std::vector<RunRef> orderedStops(const std::string &agent) const;
    std::size_t orderedStartCount() const;

    /// Returns the checkpoint of the last order to start the run.
    std::string orderedCheckpoint(const RunRef &run) const;

    /// Returns the ticket of the last order to start the run.
    std::string orderedTicket(const RunRef &run) const;

    OwnerState state;
    Base::Duration timePerEvent = std::chrono::milliseconds(1);
    std::uint64_t formerEpoch = 0; ///< As in the full reports that join() sends.
    std::vector<Commit> commits;
    std::optional<StepDown> steppedDown;
    std::vector<RunRequirements> runRequirements; ///< As sent to the agents
    std::vector<AskAdvice> adviceRequests;
    std::vector<Decision> decisions;
    std::map<std::string, std::uint64_t> endsRecorded; ///< Number of the last acknowledged end, by agent
    std::map<std::string, std::uint64_t> endsToLapse; ///< As in the last orders, by agent
    std::map<std::string, std::int64_t> echoes; ///< As in the last orders, by agent

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
    StoredJobs inherited_; ///< What this owner has taken over; empty for the first one.
    bool isCommitPending_ = false;
};

} // namespace LaburnumFlow::Jobs::Testing
