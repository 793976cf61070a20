#pragma once

#include "fleet.h"
#include "messages.h"
#include "occurrencepositions.h"
#include "ownersettings.h"
#include "recorder.h"

#include "base/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

namespace LaburnumFlow::Jobs {

using AgentIndex = std::uint32_t;
constexpr AgentIndex noAgent = 0xFFFFFFFFU;

struct Task {
    enum class Phase : std::uint8_t {
        Blocked, ///< Earlier steps aren't done.
        Ready,
        Active, ///< Ordered to start; may be running.
        InDoubt, ///< A former owner may have started it.
        Done,
    };

    Phase phase = Phase::Blocked;
    std::uint8_t failures = 0;
    std::uint16_t starts = 0; ///< Number of starts under this owner.
    std::uint32_t run = 0;
    AgentIndex agent = noAgent; ///< Agent of the active run.
    AgentIndex avoidedAgent = noAgent; ///< Agent on which the last run failed or stalled.
    Base::MonoTime avoidedUntil{}; ///< From then on the task may return to avoidedAgent although other workers could run it.
    std::string checkpoint; ///< From the latest run that had one; the next run resumes from it.
    std::uint8_t consecutiveQuickEnds = 0; ///< Of a long-running task: consecutive ends by itself soon after a start.
    Base::MonoTime notBefore{}; ///< Earliest time of the next start.
    /// When the last run was given up without a word of its agent, which may have followed a successor that has recorded the end. The next start waits
    /// until the store has held this owner's claim since.
    std::optional<Base::MonoTime> givenUpAt;
};

/// Index of a step among those of all occurrences that the job holds, in the order of their positions. For a job that isn't repeated it is the index in the spec.
using StepIndex = std::uint32_t;

struct StepProgress {
    Base::MonoTime readySince{}; ///< When tasks of the step last became ready.
    std::uint32_t blockedTasks = 0; ///< Counts of its tasks by phase; setPhase() keeps them.
    std::uint32_t readyTasks = 0;
    std::uint32_t doneTasks = 0;
    bool waiting = false; ///< It is among OwnerState::waitingSteps.
    Base::MonoTime waitLoggedAt{}; ///< When a long wait of its tasks was last logged.
};

/// Whether a job can still end in time if it gets workers now.
enum class Timeliness : std::uint8_t {
    InTime,
    Late, ///< It can't end within its objective any more.
    TooLate, ///< It can't end within maxLatenessFactor times its objective any more.
};

/// Sorts jobs by the order in which they get workers. Late jobs come after those that can be in time. Otherwise each job would delay the next under overload,
/// and all of them would be late.
struct QueuePlace {
    Timeliness timeliness = Timeliness::InTime;
    std::uint32_t priority = 0; ///< 0 is the highest.
    Base::MonoTime dueAt{}; ///< End of the job's objective.
    JobId job = 0;

    auto operator<=>(const QueuePlace &) const = default;
};

struct Job {
    JobId id = 0;
    QueueRules rules;
    JobSpec spec;
    JobState state = JobState::Queued; ///< As callers may see it.
    bool bestEffort = false; ///< The job is never stored, and its callers wait for its end.
    bool mayHaveRun = false; ///< It may have run under a lost owner, so it must not be refused as never run.
    /// No task starts until then while agents haven't reported: a former owner that wasn't fenced may have started the job there.
    std::optional<Base::MonoTime> formerRunsUntil;
    bool stored = false; ///< The store holds the job, or it is best-effort; its tasks may start.
    bool finishing = false; ///< Its final state is being recorded.
    bool cancelRequested = false; ///< A cancellation came before the job was stored.
    OccurrencePositions occurrences; ///< Which occurrences the job holds tasks of.
    std::vector<Task> tasks; ///< Tasks of these occurrences, in the order of the steps.
    std::vector<std::uint32_t> firstTask; ///< Position in tasks of the first task of each StepIndex, followed by the number of tasks.
    std::vector<StepProgress> steps; ///< By StepIndex.
    std::vector<StepIndex> stepsToRequeue; ///< Steps that have begun or ceased to have ready tasks since the last requeue().
    std::set<FailedRun> failedRuns; ///< Runs that the tasks' failures count. An agent reports an end again until it is acknowledged.
    std::optional<Base::WallTime> nextOccurrence; ///< When the next occurrence begins, if the owner waits for it and not for the end of an earlier one.
    bool longRunning = false; ///< It has tasks that run until it is cancelled.
    std::uint32_t doneTasks = 0;
    std::uint32_t readyTasks = 0;
    Base::MonoTime arrivedAt{};
    Base::Duration objective{}; ///< The job is in time if it ends within this time of its arrival.
    std::uint32_t chainMs = 0; ///< Estimated run time of the longest chain of steps.
    Timeliness timeliness = Timeliness::InTime; ///< As of the last update.
    bool starved = false; ///< It has waited for so long that it goes before jobs that can be in time.
    std::optional<QueuePlace> queuedAt; ///< Its place among the jobs with ready tasks; set while it waits for workers.
    std::optional<Base::MonoTime> timelinessChangesAt; ///< When its timeliness must be updated next; set while it waits for workers.
    std::optional<Base::MonoTime> progressDue; ///< When its progress must be recorded.
    std::vector<EndAck> unrecordedEnds; ///< Ends to acknowledge once the next progress record or the final state is stored.
    std::optional<Base::MonoTime> expiresAt; ///< When the callers of a best-effort job stop waiting; if abandoned, when the job is removed.
    bool abandoned = false; ///< All callers have stopped waiting. No task starts until a caller submits the job again.
    Base::Duration resubmitWindow{}; ///< Of a best-effort job: a caller that missed the answer submits again within this time of it.
    std::vector<CallId> waitingForAcceptance; ///< Submissions to answer when the job is stored, or when a best-effort job has ended.
    std::vector<CallId> waitingForCancel;
    std::vector<CallId> waitingForState; ///< Queries that are held until the job is final, or for queryHoldDuration.
};

/// Returns the job's place in the queue. Long-running jobs come first, as their users notice at once when a task is down.
inline QueuePlace queuePlace(const Job &job)
{
    return job.longRunning ? QueuePlace{Timeliness::InTime, 0, {}, job.id}
                           : QueuePlace{job.timeliness, job.rules.priority, job.arrivedAt + job.objective, job.id};
}

/// What makes a worker suitable for a step, however much room it has.
struct WorkerRequirements {
    std::string service;
    std::string requiredLabel; ///< As in StepSpec.
    std::string dataRack; ///< As in StepSpec.
    std::optional<std::pair<JobId, StepIndex>> onlyStep; ///< Set if it depends on the step's own tasks, tickets or reservations.

    auto operator<=>(const WorkerRequirements &) const = default;
};

/// All that decides which workers may run a step, except for the limits of single tasks. If no worker has room for one of two steps with equal requirements,
/// none has room for the other.
struct PlacementRequirements {
    WorkerRequirements worker;
    Resources need; ///< Compared last, so that the groups with equal worker requirements follow each other by the processor capacity that they need.

    auto operator<=>(const PlacementRequirements &) const = default;
};

/// A step with ready tasks, in the order in which steps get workers.
struct WaitingStep {
    QueuePlace place; ///< Of its job.
    StepIndex step = 0;

    auto operator<=>(const WaitingStep &) const = default;
};

/// A run that a former owner started for a best-effort job that hasn't been submitted to this owner yet.
struct Orphan {
    AgentIndex agent = noAgent;
    RunRef run;
};

/// Decaying average of the work that arrives for one service.
struct Demand {
    double coreMilliPerMs = 0.0; ///< Thousandths of a core that the work keeps busy.
    Base::MonoTime at{}; ///< Time of the last update.
};

/// The advice service's decision on a worker for a step.
struct WorkerAdvice {
    std::int64_t workerStartTimeMs = 0; ///< The decision applies only to this incarnation.
    std::string ticket; ///< Empty if the worker may not run the step; such a decision is permanent.
    Base::MonoTime ticketUntil{};
};

/// Advice applies to a step of one occurrence.
using AdvisedStep = std::pair<JobId, StepIndex>;

/// A call to the advice service that awaits its response.
struct PendingAdvice {
    struct AskedWorker {
        AgentIndex agent = noAgent;
        std::int64_t workerStartTimeMs = 0;
        std::string worker; ///< Worker ID.
    };

    std::uint64_t number = 0;
    AdvisedStep step;
    std::uint32_t occurrence = 0; ///< Of the step.
    std::vector<AskedWorker> workers; ///< Workers named in the call.
    Base::MonoTime askedAt{};
};

/// How much work the scheduling rounds have done. Tests of their cost count this rather than time.
struct RoundCounts {
    std::uint64_t rounds = 0;
    std::uint64_t steps = 0; ///< Waiting steps that were looked at.
    std::uint64_t workerSearches = 0; ///< Searches of a worker for a task, each over all agents.
};

/// The state of the owner's reducer.
struct OwnerState {
    OwnerSettings settings;
    std::uint64_t epoch = 0;
    Base::MonoTime now{};
    Base::WallTime wall{};
    Recorder recorder;
    std::unordered_map<JobId, Job> jobs; ///< Jobs that aren't final or whose final state isn't recorded yet.
    std::unordered_map<JobId, JobState> finished; ///< Recorded final states. Changed only by keepFinalState() and when they expire.
    std::size_t withdrawnJobs = 0; ///< Number of withdrawn jobs among them.
    std::unordered_set<JobId> withdrawing; ///< Jobs that are withdrawn, but not recorded as such yet.
    std::deque<std::pair<Base::MonoTime, JobId>> finishedOrder; ///< Entries of finished by the time at which they were added, oldest first.
    Base::MonoTime packsCheckedAt{};
    std::deque<JobId> jobsToRewrite; ///< Jobs whose old records are rewritten over several turns.
    std::unordered_map<JobId, JobState> recentBestEffort; ///< Final states of best-effort jobs, for callers that missed the answer.
    std::set<std::pair<Base::MonoTime, JobId>> recentUntil; ///< When entries of recentBestEffort are removed.
    std::set<std::pair<Base::MonoTime, JobId>> expiring; ///< Best-effort jobs by expiresAt.
    std::unordered_map<JobId, std::vector<Orphan>> orphans; ///< By job.
    Base::MonoTime orphansUntil{}; ///< Orphans are stopped from then on.
    Base::MonoTime tookOverAt{};
    std::set<QueuePlace> ready; ///< Jobs with ready tasks.
    std::map<PlacementRequirements, std::set<WaitingStep>> waitingSteps; ///< The steps of these jobs that have ready tasks, in placement groups.
    std::set<std::pair<Base::MonoTime, JobId>> timelinessChanges; ///< Ready jobs by timelinessChangesAt.
    std::set<std::pair<Base::WallTime, JobId>> occurrences; ///< Repeated jobs by nextOccurrence.
    std::set<std::pair<Base::MonoTime, JobId>> progressDue; ///< Jobs by the time at which their progress must be recorded.
    /// A query that is answered when the job is final or the hold time is over.
    struct HeldQuery {
        Base::MonoTime until{};
        CallId call = 0;
        JobId job = 0;
    };

    std::deque<HeldQuery> heldQueries; ///< Oldest first.
    std::vector<Agent> agents;
    std::unordered_map<std::string, AgentIndex> agentByName;
    std::unordered_map<TaskRef, std::uint32_t, TaskRefHash> runCounts; ///< Number of runs of each task on all agents; no entry if there is none.
    std::set<std::string> awaitedAgents; ///< Agents without a full report yet that may run tasks of a former owner.
    bool formerOwnersFenced = false; ///< As in FormerOwnersFenced.
    std::set<std::string> lateAgents; ///< Agents that had not reported when the wait for them ended.
    std::set<std::string> givenUpAgents; ///< Agents that had not reported when the wait for them ended, with former owners not fenced.
    bool agentsChanged = true; ///< Set if the list of agents to record may have changed since agentsListedAt.
    Base::MonoTime agentsListedAt{};
    std::size_t tasksInDoubt = 0;
    /// Jobs whose tasks in doubt are unblocked over several turns, once no run of a former owner is unknown.
    struct Resolution {
        std::deque<JobId> jobs;
        std::optional<Base::MonoTime> givenUpAt; ///< Task::givenUpAt of these tasks; set if agents had not reported.
    };

    Resolution resolution;
    Base::MonoTime formerRunsResolvedBy{}; ///< From then on no unreported run of a former owner can still be running.
    Base::MonoTime authorityUntil = Base::MonoTime::max(); ///< No orders are sent from then on, as another entry may own the jobs.
    bool confirmedByStore = true; ///< As in AuthorityRenewed.
    Base::MonoTime storedWorkUntil = Base::MonoTime::max(); ///< No tasks of stored jobs start from then on, and those that run are stopped.
    bool storedRunsStopped = false; ///< The stops were ordered.
    Base::MonoTime storeConfirmedAt = Base::MonoTime::max(); ///< As in AuthorityRenewed.
    KindSpeeds kindSpeeds;
    std::unordered_map<std::string, QueueRules> rules; ///< By queue.
    std::uint64_t rulesVersion = 0;
    std::map<AdvisedStep, std::map<AgentIndex, WorkerAdvice>> advice;
    std::map<AdvisedStep, std::uint64_t> adviceAskedLast; ///< Number of the last call for each step.
    std::optional<PendingAdvice> pendingAdvice; ///< At most one, as the service handles the calls of a process one after the other.
    std::uint64_t adviceCalls = 0;
    Base::MonoTime adviceNotBefore{}; ///< No call before then, as an earlier one failed.
    Base::Duration adviceRetryDelay{}; ///< Last delay after a failed call; doubles with each failure.
    std::vector<Base::Endpoint> entries;
    std::unordered_map<std::string, Demand> demands; ///< By service.
    bool schedulingDue = false;
    RoundCounts roundCounts;
    Base::MonoTime waitsCheckedAt{}; ///< When a round last looked at all waiting steps, to log long waits.
    std::optional<Base::MonoTime> rescheduleAt; ///< When the next scheduling round is due although nothing else happens.
    std::unordered_map<std::string, std::uint32_t> unstarted; ///< By queue: number of accepted jobs of which no task has started.
};

// Events.

struct TimePassed {
    Base::MonoTime now{};
    Base::WallTime wall{};
};

struct CallArrived {
    CallId id = 0;
    Call call;
};

struct AgentLinked {
    std::string agent;
};

struct AgentUnlinked {
    std::string agent;
};

struct AgentReported {
    std::string agent;
    AgentReport report;
};

struct CommitEnded {
    CommitResult result;
};

struct RulesChanged {
    std::uint64_t version = 0;
    std::vector<QueueRules> queues;
};

/// The owner may send orders until the given time.
struct AuthorityRenewed {
    Base::MonoTime until{};
    bool confirmedByStore = true; ///< The store has recently held the owner's claim; otherwise only other entries confirm the owner.
    Base::MonoTime storeConfirmedAt{}; ///< Latest time at which the store is known to have held the owner's claim.
};

/// Most entries can't confirm a former owner any more, so its authority ends within ownerAuthorityTimeout.
struct FormerOwnersFenced {
};

struct EntriesChanged {
    std::vector<Base::Endpoint> entries;
};

/// The response of the advice service to AskAdvice, or its absence.
struct AdviceGiven {
    std::uint64_t number = 0; ///< As in AskAdvice.
    bool answered = false; ///< False if the call failed.
    std::vector<std::pair<std::string, std::string>> tickets; ///< Worker ID and ticket of each worker that may run the step.
    std::optional<std::uint32_t> validMs; ///< Validity of the tickets; if not set, that of the queue's rules.
};

using OwnerEvent = std::variant<TimePassed,
                                CallArrived,
                                AgentLinked,
                                AgentUnlinked,
                                AgentReported,
                                CommitEnded,
                                RulesChanged,
                                AuthorityRenewed,
                                FormerOwnersFenced,
                                EntriesChanged,
                                AdviceGiven>;

// Effects.

struct Reply {
    CallId id = 0;
    CallAnswer answer;
};

struct SendOrders {
    std::string agent;
    OwnerOrders orders;
};

struct StartCommit {
    Commit commit;
};

/// Asks the advice service which of the workers may run the step.
struct AskAdvice {
    std::uint64_t number = 0;
    TaskRef step; ///< Only job, step and occurrence are used.
    std::vector<std::string> workers; ///< Worker IDs.
    Base::Duration timeout{};
};

/// Another entry owns the jobs. The state must be dropped and calls without a reply forwarded to the new owner.
struct StepDown {
    std::uint64_t seenEpoch = 0; ///< Epoch of the other owner; 0 if unknown.
};

/// A decision to log.
struct Decision {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using OwnerEffect = std::variant<Reply, SendOrders, StartCommit, AskAdvice, StepDown, Decision>;
using OwnerEffects = std::vector<OwnerEffect>;

} // namespace LaburnumFlow::Jobs
