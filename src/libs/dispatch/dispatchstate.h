#pragma once

#include "base/types.h"
#include "events/entryevents.h"
#include "protocol/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

namespace LaburnumFlow::Dispatch {

/// Places a task on the agent of a random sample that is expected to end it first.
struct ExpectedWait {
};
/// Places a task on a random agent.
struct Random {
};
/// Places tasks on the agents in turn.
struct RoundRobin {
};
/// Places a task on the less occupied of two random agents.
struct PowerOfTwo {
};

using PlacementPolicy = std::variant<ExpectedWait, Random, RoundRobin, PowerOfTwo>;

using BodyPointer = std::shared_ptr<const Protocol::JobBody>;

/// An attempt that was sent and has neither ended nor been fenced.
struct Attempt {
    std::uint16_t number = 0;
    std::string agent;
    std::uint64_t incarnation = 0; ///< Of the agent
    Protocol::AttemptState state = Protocol::AttemptState::Queued;
    bool acknowledged = false; ///< The agent has reported it
    bool idempotent = false; ///< As sent; the rule may have changed since
    bool cancelSent = false;
    bool isHedge = false;
    bool isProbe = false;
    bool isLongTask = false;
    bool recovered = false; ///< Taken over from a former owner; the agent's incarnation at its start is not known for certain
    Base::MonoTime sentAt{};
};

enum class TaskPhase : std::uint8_t {
    New, ///< Not yet begun, or taken over with an ended attempt
    Blocked, ///< Waits for an earlier task of its ordering key
    Queued, ///< In the queue of its kind
    Suspended, ///< Waits for the authority to start it, or for a recovered attempt that may have the same ordering key
    Active, ///< Has live attempts
    Backoff, ///< Waits for the delay before its next attempt
    Succeeded,
    Dropped, ///< Ended without success, or never started
};

struct Task {
    TaskPhase phase = TaskPhase::New;
    std::uint16_t nextAttemptNumber = 1;
    std::uint16_t refusalCount = 0;
    std::uint16_t attemptsRun = 0; ///< Attempts that ran or may have run
    bool ordered = false;
    bool inOrderQueue = false;
    bool started = false; ///< An attempt started or may have started
    bool outcomeUnknown = false; ///< Whether an attempt took effect can't be known
    bool isLongTask = false;
    float costMs = 0; ///< Expected run time at reference speed, as counted in the team's waiting work
    std::vector<Attempt> liveAttempts;
    std::vector<std::string> avoidedAgents;
    Protocol::TaskUpdate lastEnd; ///< Newest ended attempt, with its result
    std::string lastAgent; ///< Agent of lastEnd
    bool lastIdempotent = false; ///< Whether the attempt of lastEnd was sent as idempotent
    Base::MonoTime orderBlockedUntil{}; ///< A lost attempt may run until then
};

/// Receiver of a job's answer: a request at this entry (peer is empty) or a relay from another entry.
struct Waiter {
    std::string peer;
    std::uint64_t request = 0;
};

/// How a job that ends without success is answered.
struct FailureDetails {
    Protocol::Reason reason = Protocol::Reason::None;
    std::uint16_t taskIndex = 0;
    std::uint32_t retryAfterMs = 0;
    std::string detail;
};

/// A record of the ledger: a submitted job and its tasks.
struct Submission {
    Base::Uuid id;
    Protocol::Partition partition = 0;
    std::string team;
    std::string orderingKey;
    std::uint64_t bodyDigest = 0;
    BodyPointer body; ///< Null after the end, and for recovered submissions until they are submitted again
    Base::MonoTime deadline{};
    Base::MonoTime expiresAt{}; ///< When the record is removed
    std::vector<Waiter> waiters;
    std::vector<Task> tasks;
    std::uint16_t taskCount = 0;
    std::uint16_t startedTasks = 0;
    std::uint16_t succeededTasks = 0;
    std::uint32_t liveAttemptCount = 0;
    bool mayRunUnreported = false; ///< An agent that did not answer after a takeover may run tasks of it, so none is started again
    std::optional<FailureDetails> stopping; ///< Set once the whole job ends: queued tasks are dropped and live attempts cancelled
    std::optional<Protocol::JobAnswer> answer;
    std::size_t answerBytes = 0;
};

struct QueuedTask {
    Base::TaskKey key;
    Base::MonoTime since{};
};

struct KindState {
    std::deque<QueuedTask> queue; ///< May contain entries of tasks that have left the phase Queued
    std::uint32_t queuedCount = 0; ///< Tasks in the phase Queued
    double estimatedRunMs = 0; ///< At reference speed
    double estimatedP95Ms = 0; ///< 95th percentile of the run time at reference speed
    std::uint32_t sampleCount = 0; ///< Run times behind the estimates
    std::uint64_t blockedInRound = 0; ///< Scheduling round in which no agent had free capacity for this kind
};

struct TeamState {
    std::map<std::string, KindState, std::less<>> kinds;
    std::uint32_t waitingCount = 0; ///< Tasks that are neither active nor ended
    std::uint32_t liveAttemptCount = 0;
    double virtualTime = 0; ///< Expected run time of all started work in milliseconds, divided by the team's weight
    double waitingShortMs = 0; ///< Expected run time of the waiting short tasks
    double waitingLongMs = 0; ///< Expected run time of the waiting long tasks
    double retryTokens = 0;
    double hedgeTokens = 0;
    bool initialized = false; ///< The token buckets have their first contents
};

enum class Health : std::uint8_t {
    Healthy,
    Ejected, ///< Gets only probes
    SlowStart, ///< Readmitted; its share of work grows over slowStartDuration
};

/// State of an agent that dispatch keeps in addition to cluster's AgentInfo.
struct AgentRecord {
    std::unordered_set<Base::AttemptKey, Base::AttemptKeyHash> liveAttempts;
    std::uint32_t unacknowledged = 0; ///< Live attempts that the agent has not reported yet
    std::uint32_t liveLongTasks = 0;
    bool isListed = false; ///< In availableAgents
    double speedEstimate = 1; ///< Relative to reference speed
    std::uint32_t speedSampleCount = 0;
    Health health = Health::Healthy;
    double decayedOutcomes = 0; ///< Recorded outcomes; older ones count less
    double decayedFailures = 0; ///< Failures among decayedOutcomes
    std::uint32_t probesPassed = 0; ///< Successful probes in a row
    bool probeInFlight = false;
    Base::MonoTime nextProbeAt{};
    Base::Duration probeDelay{};
    Base::MonoTime readmittedAt{};
};

/// Tasks of one ordering key in the order of their acceptance.
struct OrderQueue {
    std::deque<Base::TaskKey> tasks;
    std::unordered_set<Base::TaskKey, Base::TaskKeyHash> endedEarly; ///< Tasks that ended before they reached the front
};

/// A caller's request at this entry that is not answered yet.
struct OpenRequest {
    Events::RequestId id = 0;
    Base::Uuid submission;
    BodyPointer body;
    Protocol::Partition partition = 0;
    Base::MonoTime deadline{};
    bool idGenerated = false; ///< This entry generated the submission id, so no caller knows it
    bool wasSubmitted = false; ///< An owner may have accepted it already; further relays are marked as resubmitted
    bool awaitsLocalJob = false; ///< Waits for a submission in the ledger of this entry
    std::uint64_t relayId = 0; ///< Newest relay; 0 if none was sent
    std::string owner; ///< Receiver of the newest relay
};

/// A relayed job that is accepted or refused once this entry can serve its partition.
struct DeferredRelay {
    std::string peer;
    Protocol::RelayJob job;
    Base::MonoTime deadline{};
};

/// A status request or cancellation that was sent to the owner.
struct StatusRelay {
    Events::RequestId request = 0;
    Base::Uuid submission;
};

enum class TimerKind : std::uint8_t {
    JobStop,
    JobDeadline,
    RequestDeadline,
    StatusDeadline,
    TaskRetry,
    TaskHedge,
    OrderRelease,
    LedgerExpiry,
};

struct Timer {
    Base::MonoTime at{};
    TimerKind kind = TimerKind::JobDeadline;
    Base::TaskKey task; ///< Submission and, for timers of tasks, the task's index
    std::uint64_t number = 0; ///< Request, relay or attempt number

    bool operator>(const Timer &other) const
    {
        return at > other.at;
    }
};

/// Everything that dispatch owns. Made by initialState() in dispatch.h.
struct DispatchState {
    std::string self; ///< Name of this entry
    PlacementPolicy placement;
    std::mt19937_64 random;
    Base::MonoTime now{};
    Base::WallTime wall{};
    bool draining = false;
    std::optional<Base::MonoTime> lastServingAt; ///< When authority to start was last observed

    std::unordered_map<Base::Uuid, Submission, Base::UuidHash> ledger;
    std::map<Protocol::Partition, std::unordered_set<Base::Uuid, Base::UuidHash>> submissionsByPartition;
    std::deque<Base::Uuid> retainedAnswers; ///< Ended jobs, oldest first
    std::size_t retainedBytes = 0; ///< Size of the answers of ended jobs
    std::size_t openJobs = 0; ///< Begun and not yet answered
    std::size_t liveAttemptCount = 0;

    std::map<std::string, TeamState, std::less<>> teams;
    double virtualTime = 0; ///< Highest virtual time at which a team started work
    std::uint64_t schedulingRound = 0;
    std::map<Protocol::Partition, std::vector<Base::TaskKey>> suspendedTasks;
    std::unordered_map<std::string, OrderQueue> orderQueues; ///< By orderQueueKey()
    /// Ended tasks that keep their place in the order queue, named by its key, while a lost attempt may still run.
    std::unordered_map<Base::TaskKey, std::string, Base::TaskKeyHash> pendingOrderReleases;
    /// Tasks with recovered attempts whose ordering key is not known, by team and partition.
    std::map<std::pair<std::string, Protocol::Partition>, std::set<Base::TaskKey>> recoveredOrderedTasks;

    std::unordered_map<std::string, AgentRecord> agents;
    std::vector<std::string> availableAgents; ///< Agents that may have free capacity
    std::size_t roundRobinPosition = 0;
    std::map<std::string, std::uint32_t, std::less<>> agentCountByKind; ///< Agents that list the kind
    std::uint32_t anyKindAgentCount = 0; ///< Agents that list no kinds and run all
    std::uint32_t knownAgentCount = 0; ///< Agents that are neither fenced nor leaving
    std::uint32_t ejectedCount = 0;
    double totalSlots = 0; ///< Of the agents that accept work and are not ejected
    double decayedOutcomes = 0; ///< Sum over the agents that are not ejected
    double decayedFailures = 0; ///< Sum over the agents that are not ejected
    Base::MonoTime nextAgentRefreshAt{};

    std::unordered_map<Events::RequestId, OpenRequest> requests;
    std::map<Protocol::Partition, std::set<Events::RequestId>> requestsByPartition;
    std::unordered_map<std::uint64_t, Events::RequestId> requestsByRelay;
    std::unordered_map<std::uint64_t, StatusRelay> statusRelays;
    std::uint64_t lastRelayId = 0; ///< begins above those of former processes of this entry
    std::map<Protocol::Partition, std::vector<DeferredRelay>> deferredRelays;
    std::size_t deferredRelayCount = 0;
    /// Newest refused relay id and its deadline, for each peer and submission that was relayed more than once.
    std::map<std::pair<std::string, Base::Uuid>, std::pair<std::uint64_t, Base::MonoTime>> refusedRelays;

    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
};

} // namespace LaburnumFlow::Dispatch
