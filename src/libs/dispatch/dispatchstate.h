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

struct ExpectedWait {
};
struct Random {
};
struct RoundRobin {
};
struct PowerOfTwo {
};

using PlacementPolicy = std::variant<ExpectedWait, Random, RoundRobin, PowerOfTwo>;

using BodyPointer = std::shared_ptr<const Protocol::JobBody>;

/// An attempt that was sent and has neither ended nor been fenced.
struct Attempt {
    std::uint16_t number = 0;
    std::string agent;
    std::uint64_t incarnation = 0;
    Protocol::AttemptState state = Protocol::AttemptState::Queued;
    bool acknowledged = false; ///< the agent has reported it
    bool idempotent = false; ///< as sent
    bool cancelSent = false;
    bool isHedge = false;
    bool isProbe = false;
    bool longTask = false;
    bool recovered = false; ///< taken over; the agent's incarnation at its start is not known for certain
    Base::MonoTime sentAt{};
};

enum class TaskPhase : std::uint8_t {
    New, ///< not yet begun, or taken over with an ended attempt
    Blocked, ///< waits for an earlier task of its ordering key
    Queued,
    Suspended, ///< the partition is not served at the moment
    Active, ///< has live attempts
    Backoff,
    Succeeded,
    Dropped, ///< ended without success, or never started
};

struct Task {
    TaskPhase phase = TaskPhase::New;
    std::uint16_t nextAttemptNumber = 1;
    std::uint16_t refusalCount = 0;
    std::uint16_t attemptsRun = 0; ///< attempts that ran or may have run
    bool ordered = false;
    bool inOrderQueue = false; ///< has a place in its order's queue
    bool started = false; ///< an attempt started or may have started
    bool outcomeUnknown = false; ///< the end of an attempt can't be known
    bool longTask = false;
    float costMs = 0; ///< counted in the team's queued work
    std::vector<Attempt> liveAttempts;
    std::vector<std::string> avoidedAgents;
    Protocol::TaskUpdate lastEnd; ///< newest ended attempt, with the result
    std::string lastAgent;
    bool lastIdempotent = false;
    Base::MonoTime orderBlockedUntil{}; ///< a lost attempt may run until then
};

/// Who gets the answer: a request of this entry (peer empty) or a relay of another entry.
struct Waiter {
    std::string peer;
    std::uint64_t request = 0;
};

/// A job that ends as a whole; its queued tasks are dropped and its live attempts cancelled.
struct FailureDetails {
    Protocol::Reason reason = Protocol::Reason::None;
    std::uint16_t taskIndex = 0;
    std::uint32_t retryAfterMs = 0;
    std::string detail;
};

struct Submission {
    Base::Uuid id;
    Protocol::Partition partition = 0;
    std::string team;
    std::string orderingKey;
    std::uint64_t bodyDigest = 0;
    BodyPointer body; ///< none after the end, and for recovered submissions until they are submitted again
    Base::MonoTime deadline{};
    Base::MonoTime expiresAt{};
    std::vector<Waiter> waiters;
    std::vector<Task> tasks;
    std::uint16_t taskCount = 0;
    std::uint16_t startedTasks = 0;
    std::uint16_t succeededTasks = 0;
    std::uint32_t liveAttemptCount = 0;
    std::optional<FailureDetails> stopping;
    std::optional<Protocol::JobAnswer> answer;
    std::size_t answerBytes = 0;
};

struct QueuedTask {
    Base::TaskKey key;
    Base::MonoTime since{};
};

struct KindState {
    std::deque<QueuedTask> queue; ///< may hold tasks that have left the phase Queued
    std::uint32_t queuedCount = 0; ///< tasks in the phase Queued
    double estimatedRunMs = 0; ///< learned, at reference speed
    double estimatedP95Ms = 0; ///< learned 95th percentile
    std::uint32_t sampleCount = 0;
    std::uint64_t blockedInRound = 0; ///< no agent had room for it in this round
};

struct TeamState {
    std::map<std::string, KindState, std::less<>> kinds;
    std::uint32_t waitingCount = 0; ///< tasks that are neither active nor ended
    std::uint32_t liveAttemptCount = 0; ///< live attempts
    double virtualTime = 0; ///< work started, divided by the weight
    double waitingShortMs = 0;
    double waitingLongMs = 0;
    double retryTokens = 0;
    double hedgeTokens = 0;
    bool initialized = false;
};

enum class Health : std::uint8_t {
    Healthy,
    Ejected,
    SlowStart, ///< slow start
};

/// What dispatch knows of an agent beyond cluster's AgentInfo.
struct AgentRecord {
    std::unordered_set<Base::AttemptKey, Base::AttemptKeyHash> liveAttempts;
    std::uint32_t unacknowledged = 0; ///< sent since the agent last reported
    std::uint32_t liveLongTasks = 0;
    bool isListed = false; ///< listed in openAgents
    double speedEstimate = 1;
    std::uint32_t speedSampleCount = 0;
    Health health = Health::Healthy;
    double decayedOutcomes = 0;
    double decayedFailures = 0;
    std::uint32_t probesPassed = 0;
    bool probeInFlight = false;
    Base::MonoTime nextProbeAt{};
    Base::Duration probeDelay{};
    Base::MonoTime readmittedAt{};
};

struct OrderQueue {
    std::deque<Base::TaskKey> tasks;
    std::unordered_set<Base::TaskKey, Base::TaskKeyHash> endedEarly; ///< ended before their turn
};

struct OpenRequest {
    Events::RequestId id = 0;
    Base::Uuid submission;
    BodyPointer body;
    Protocol::Partition partition = 0;
    Base::MonoTime deadline{};
    bool idGenerated = false; ///< the id was made here, so nobody else knows it
    bool wasSubmitted = false;
    bool awaitsLocalJob = false; ///< waits for a submission of the own ledger
    std::uint64_t relayId = 0; ///< of the newest relay; 0 if not relayed at the moment
    std::string owner;
};

struct DeferredRelay {
    std::string peer;
    Protocol::RelayJob job;
    Base::MonoTime deadline{};
};

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
    Base::TaskKey task; ///< submission and, for tasks, index
    std::uint64_t number = 0; ///< request or attempt number

    bool operator>(const Timer &other) const
    {
        return at > other.at;
    }
};

struct DispatchState {
    std::string self;
    PlacementPolicy placement;
    std::mt19937_64 random;
    Base::MonoTime now{};
    Base::WallTime wall{};
    bool draining = false;
    std::optional<Base::MonoTime> lastServingAt; ///< when authority to start was last observed

    std::unordered_map<Base::Uuid, Submission, Base::UuidHash> ledger;
    std::map<Protocol::Partition, std::unordered_set<Base::Uuid, Base::UuidHash>> submissionsByPartition;
    std::deque<Base::Uuid> retainedAnswers; ///< ended jobs, oldest first
    std::size_t retainedBytes = 0;
    std::size_t openJobs = 0; ///< begun and not yet answered
    std::size_t liveAttemptCount = 0; ///< live attempts

    std::map<std::string, TeamState, std::less<>> teams;
    double virtualTime = 0;
    std::uint64_t schedulingRound = 0;
    std::map<Protocol::Partition, std::vector<Base::TaskKey>> suspendedTasks;
    std::unordered_map<std::string, OrderQueue> orderQueues;
    std::unordered_map<Base::TaskKey, std::string, Base::TaskKeyHash> pendingOrderReleases;
    std::map<std::pair<std::string, Protocol::Partition>, std::set<Base::TaskKey>>
        recoveredOrderedTasks; ///< recovered attempts whose ordering key is not known

    std::unordered_map<std::string, AgentRecord> agents;
    std::vector<std::string> availableAgents; ///< agents that may have room
    std::size_t roundRobinPosition = 0;
    std::map<std::string, std::uint32_t, std::less<>> agentCountByKind; ///< agents that list the kind
    std::uint32_t anyKindAgentCount = 0;
    std::uint32_t knownAgentCount = 0;
    std::uint32_t ejectedCount = 0;
    double totalSlots = 0;
    double decayedOutcomes = 0;
    double decayedFailures = 0;
    Base::MonoTime nextAgentRefreshAt{};

    std::unordered_map<Events::RequestId, OpenRequest> requests;
    std::map<Protocol::Partition, std::set<Events::RequestId>> requestsByPartition;
    std::unordered_map<std::uint64_t, Events::RequestId> requestsByRelay;
    std::unordered_map<std::uint64_t, StatusRelay> statusRelays;
    std::uint64_t lastRelayId = 0;
    std::map<Protocol::Partition, std::vector<DeferredRelay>> deferredRelays;
    std::size_t deferredRelayCount = 0;
    /// Newest relay number refused of each submission that was relayed more than once, until its deadline.
    std::map<std::pair<std::string, Base::Uuid>, std::pair<std::uint64_t, Base::MonoTime>> refusedRelays;

    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
};

} // namespace LaburnumFlow::Dispatch
