#pragma once

#include "fleet.h"
#include "messages.h"
#include "recorder.h"

#include "base/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace LaburnumFlow::Jobs {

/// Identifies a call that awaits its answer; chosen by who passes the call on.
using CallId = std::uint64_t;

using AgentIndex = std::uint32_t;
constexpr AgentIndex noAgent = 0xFFFFFFFFU;

struct Task {
    enum class Phase : std::uint8_t {
        Blocked, ///< earlier steps are not done
        Ready,
        Active, ///< ordered to start; may run
        InDoubt, ///< a former owner may have started it
        Done,
    };

    Phase phase = Phase::Blocked;
    std::uint8_t failures = 0;
    std::uint16_t starts = 0; ///< under this owner
    std::uint32_t run = 0;
    AgentIndex agent = noAgent; ///< of the active run
    AgentIndex avoidedAgent = noAgent; ///< where the last run failed or stalled
    std::string checkpoint; ///< of the latest run that had one; the next run resumes from it
    std::uint8_t consecutiveQuickEnds = 0; ///< of a lasting task: ends by its own fault in succession, each soon after the start
    Base::MonoTime notBefore{}; ///< the next start
};

/// Counts a job's steps one after the other for each occurrence that has begun; so a plain job has those of its spec.
using StepIndex = std::uint32_t;

struct StepProgress {
    Base::MonoTime readySince{}; ///< when tasks of the step became ready last
    std::uint32_t failedRun = 0; ///< of a gang: its last run that a member failed, so that a run counts as one failure
};

/// What a job still gains for its caller if it gets workers now.
enum class Timeliness : std::uint8_t {
    InTime,
    Late, ///< it can't end within its objective any more
    TooLate, ///< nor within maxLatenessFactor times that
};

struct Job {
    JobId id = 0;
    QueueRules rules;
    JobSpec spec;
    JobState state = JobState::Queued; ///< as callers may see it
    bool bestEffort = false; ///< never stored
    bool mayHaveRun = false; ///< under a lost owner, so that a refusal would not be true
    bool stored = false; ///< its tasks may start
    bool finishing = false; ///< its final state is being recorded
    bool cancelRequested = false; ///< before it was stored
    std::vector<Task> tasks; ///< of all steps that have begun, in order
    std::vector<std::uint32_t> firstTask; ///< by StepIndex, and the number of tasks at the end
    std::vector<StepProgress> steps; ///< by StepIndex
    std::optional<Base::WallTime> nextOccurrence; ///< when it begins, if the owner waits for it
    bool longRunning = false; ///< has tasks that run until it is cancelled
    std::uint32_t doneTasks = 0;
    std::uint32_t readyTasks = 0;
    Base::MonoTime arrivedAt{};
    Base::Duration objective{}; ///< an answer within this time is in time
    std::uint32_t chainMs = 0; ///< estimated run time of the longest chain
    Timeliness timeliness = Timeliness::InTime; ///< as of the last look at it
    bool starved = false; ///< has waited so long that it comes before jobs which can be in time
    std::optional<Base::MonoTime> timelinessChangesAt; ///< while it waits for workers: when its gain is less
    std::optional<Base::MonoTime> progressDue; ///< when its progress is to be recorded
    std::vector<EndAck> unrecordedEnds; ///< ends that the next progress record, or the final state, settles
    std::optional<Base::MonoTime> expiresAt; ///< when the callers of a best-effort job stop waiting; once they have, when it is forgotten
    bool abandoned = false; ///< nobody waits for it; nothing of it starts until a caller sends it again
    Base::Duration resubmitWindow{}; ///< of a best-effort job: a caller that misses the answer asks again within this time of it
    std::vector<CallId> waitingForAcceptance; ///< of a best-effort job: for its end
    std::vector<CallId> waitingForCancel;
    std::vector<CallId> waitingForState; ///< queries that are held until the job is final, or for queryHoldDuration
};

/// The place of a job in the order in which jobs get workers. Jobs that are late anyhow come after those that can be in
/// time; otherwise all jobs would become late behind each other when more comes than the workers can do.
struct QueuePlace {
    Timeliness timeliness = Timeliness::InTime;
    std::uint32_t priority = 0; ///< 0 comes first
    Base::MonoTime dueAt{}; ///< the end of its objective
    JobId job = 0;

    auto operator<=>(const QueuePlace &) const = default;
};

/// A lasting task that is down is missed by its users all the time, so it goes before all work that can wait.
inline QueuePlace queuePlace(const Job &job)
{
    return job.longRunning ? QueuePlace{Timeliness::InTime, 0, {}, job.id}
                           : QueuePlace{job.timeliness, job.rules.priority, job.arrivedAt + job.objective, job.id};
}

/// A run that a former owner started for a job that has not been submitted to this one yet.
struct Orphan {
    AgentIndex agent = noAgent;
    RunRef run;
};

/// Work of one service that has come lately.
struct Demand {
    double coreMilliPerMs = 0.0; ///< thousandths of a core that it keeps busy
    Base::MonoTime at{};
};

/// What the advice service has said of a worker for a step.
struct WorkerAdvice {
    std::int64_t workerStartTimeMs = 0; ///< another incarnation must be asked for anew
    std::string ticket; ///< empty: the worker may not run the step, which does not change
    Base::MonoTime ticketUntil{};
};

/// Advice is given for a step of one occurrence.
using AdvisedStep = std::pair<JobId, StepIndex>;

/// A call to the advice service that has not been answered.
struct PendingAdvice {
    struct AskedWorker {
        AgentIndex agent = noAgent;
        std::int64_t workerStartTimeMs = 0;
        std::string worker; ///< its id
    };

    std::uint64_t number = 0;
    AdvisedStep step;
    std::vector<AskedWorker> workers; ///< in the call
    Base::MonoTime askedAt{};
};

/// All that the owner of the jobs knows.
struct OwnerState {
    std::uint64_t epoch = 0;
    Base::MonoTime now{};
    Base::WallTime wall{};
    Recorder recorder;
    std::unordered_map<JobId, Job> jobs; ///< not final, or not recorded as final
    std::unordered_map<JobId, JobState> finished;
    std::deque<std::pair<Base::MonoTime, JobId>> finishedOrder; ///< oldest first
    Base::MonoTime packsCheckedAt{};
    std::unordered_map<JobId, JobState> recentBestEffort; ///< answers that may have been lost on their way
    std::set<std::pair<Base::MonoTime, JobId>> recentUntil; ///< when recentBestEffort may forget them
    std::set<std::pair<Base::MonoTime, JobId>> expiring; ///< best-effort jobs by expiresAt
    std::unordered_map<JobId, std::vector<Orphan>> orphans; ///< runs of jobs that are not known yet
    Base::MonoTime orphansUntil{}; ///< they are stopped then, or when their job does not want them
    Base::MonoTime tookOverAt{};
    std::set<QueuePlace> ready; ///< jobs with ready tasks
    std::set<std::pair<Base::MonoTime, JobId>> timelinessChanges; ///< of ready jobs
    std::set<std::pair<Base::WallTime, JobId>> occurrences; ///< that are to begin next, of repeated jobs
    std::set<std::pair<Base::MonoTime, JobId>> progressDue; ///< jobs whose progress is to be recorded
    struct HeldQuery {
        Base::MonoTime until{};
        CallId call = 0;
        JobId job = 0;
    };

    std::deque<HeldQuery> heldQueries; ///< oldest first
    std::vector<Agent> agents;
    std::unordered_map<std::string, AgentIndex> agentByName;
    std::set<std::string> awaitedAgents; ///< may run tasks that a former owner started
    bool agentsChanged = true; ///< since the agents to record were listed last
    Base::MonoTime agentsListedAt{};
    std::size_t tasksInDoubt = 0;
    Base::MonoTime formerRunsResolvedBy{}; ///< by then nothing runs that was started by a former owner and not reported
    KindSpeeds kindSpeeds;
    std::unordered_map<std::string, QueueRules> rules; ///< by queue
    std::uint64_t rulesVersion = 0;
    std::map<AdvisedStep, std::map<AgentIndex, WorkerAdvice>> advice;
    std::optional<PendingAdvice> pendingAdvice; ///< the service takes the calls of a process one after the other
    std::uint64_t adviceCalls = 0;
    Base::MonoTime adviceNotBefore{}; ///< after a call that failed
    Base::Duration adviceRetryDelay{}; ///< after the next one
    std::vector<Base::Endpoint> entries;
    std::unordered_map<std::string, Demand> demands; ///< by service
    bool schedulingDue = false;
    std::optional<Base::MonoTime> rescheduleAt; ///< when a job has waited long enough to be placed by other rules
    std::unordered_map<std::string, std::uint32_t> unstarted; ///< by queue: stored jobs of which no task has started
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

struct EntriesChanged {
    std::vector<Base::Endpoint> entries;
};

/// The advice service's answer.
struct AdviceGiven {
    std::uint64_t number = 0; ///< as in AskAdvice
    bool answered = false;
    std::vector<std::pair<std::string, std::string>> tickets; ///< by the ids of the workers that may run the step
    std::optional<std::uint32_t> validMs; ///< nothing: as the queue's rules say
};

using OwnerEvent = std::variant<TimePassed, CallArrived, AgentLinked, AgentUnlinked, AgentReported, CommitEnded, RulesChanged, EntriesChanged, AdviceGiven>;

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
    TaskRef step; ///< its index does not count
    std::vector<std::string> workers; ///< ids
    Base::Duration timeout{};
};

/// Another entry owns the jobs: the state must be dropped, and calls without a reply passed to the new owner.
struct StepDown {
    std::uint64_t seenEpoch = 0; ///< 0 if unknown
};

/// A decision for the log.
struct Decision {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using OwnerEffect = std::variant<Reply, SendOrders, StartCommit, AskAdvice, StepDown, Decision>;
using OwnerEffects = std::vector<OwnerEffect>;

} // namespace LaburnumFlow::Jobs
