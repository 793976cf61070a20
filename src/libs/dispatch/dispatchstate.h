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
    bool hedge = false;
    bool probe = false;
    bool longWork = false;
    bool recovered = false; ///< taken over; the agent's incarnation at its start is not known for certain
    Base::MonoTime sentAt{};
};

enum class TaskPhase : std::uint8_t {
    New, ///< not yet begun, or taken over with an ended attempt
    Blocked, ///< waits for an earlier task of its ordering key
    Queued,
    Parked, ///< the partition is not served at the moment
    Active, ///< has live attempts
    Backoff,
    Succeeded,
    Dropped, ///< ended without success, or never started
};

struct Task {
    TaskPhase phase = TaskPhase::New;
    std::uint16_t nextAttempt = 1;
    std::uint16_t refusals = 0;
    std::uint16_t ran = 0; ///< attempts that ran or may have run
    bool ordered = false;
    bool inOrder = false; ///< has a place in its order's queue
    bool started = false; ///< an attempt started or may have started
    bool lost = false; ///< the end of an attempt can't be known
    bool longWork = false;
    float costMs = 0; ///< counted in the team's queued work
    std::vector<Attempt> live;
    std::vector<std::string> avoid;
    Protocol::TaskUpdate last; ///< newest ended attempt, with the result
    std::string lastAgent;
    bool lastIdempotent = false;
    Base::MonoTime orderHoldUntil{}; ///< a lost attempt may run until then
};

/// Who gets the answer: a request of this entry (peer empty) or a relay of another entry.
struct Waiter {
    std::string peer;
    std::uint64_t request = 0;
};

/// A job that ends as a whole; its queued tasks are dropped and its live attempts cancelled.
struct Closing {
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
    std::uint64_t digest = 0;
    BodyPointer body; ///< none after the end, and for recovered submissions until they are submitted again
    Base::MonoTime deadline{};
    Base::MonoTime expiresAt{};
    std::vector<Waiter> waiters;
    std::vector<Task> tasks;
    std::uint16_t taskCount = 0;
    std::uint16_t started = 0;
    std::uint16_t succeeded = 0;
    std::uint32_t liveAttempts = 0;
    std::optional<Closing> closing;
    std::optional<Protocol::JobAnswer> answer;
    std::size_t answerBytes = 0;
};

struct QueuedTask {
    Base::TaskKey key;
    Base::MonoTime since{};
};

struct KindState {
    std::deque<QueuedTask> queue; ///< may hold tasks that have left the phase Queued
    std::uint32_t queued = 0; ///< tasks in the phase Queued
    double runMs = 0; ///< learned, at reference speed
    double tailMs = 0; ///< learned 95th percentile
    std::uint32_t samples = 0;
    std::uint64_t blockedRound = 0; ///< no agent had room for it in this round
};

struct TeamState {
    std::map<std::string, KindState, std::less<>> kinds;
    std::uint32_t queued = 0; ///< tasks that are neither active nor ended
    std::uint32_t running = 0; ///< live attempts
    double virtualTime = 0; ///< work started, divided by the weight
    double shortWorkMs = 0;
    double longWorkMs = 0;
    double retryTokens = 0;
    double hedgeTokens = 0;
    bool seen = false;
};

enum class Health : std::uint8_t {
    Good,
    Ejected,
    Returning, ///< slow start
};

/// What dispatch knows of an agent beyond cluster's AgentInfo.
struct AgentWork {
    std::unordered_set<Base::AttemptKey, Base::AttemptKeyHash> live;
    std::uint32_t unacknowledged = 0; ///< sent since the agent last reported
    std::uint32_t longLive = 0;
    bool open = false; ///< listed in openAgents
    double speed = 1;
    std::uint32_t speedSamples = 0;
    Health health = Health::Good;
    double outcomes = 0;
    double failures = 0;
    std::uint32_t probesPassed = 0;
    bool probing = false;
    Base::MonoTime nextProbe{};
    Base::Duration probeWait{};
    Base::MonoTime returnedAt{};
};

struct OrderQueue {
    std::deque<Base::TaskKey> tasks;
    std::unordered_set<Base::TaskKey, Base::TaskKeyHash> left; ///< ended before their turn
};

struct OpenRequest {
    Events::RequestId id = 0;
    Base::Uuid submission;
    BodyPointer body;
    Protocol::Partition partition = 0;
    Base::MonoTime deadline{};
    bool minted = false; ///< the id was made here, so nobody else knows it
    bool relayedBefore = false;
    bool joined = false; ///< waits for a submission of the own ledger
    std::uint64_t relayNumber = 0; ///< of the newest relay; 0 if not relayed at the moment
    std::string owner;
};

struct HeldRelay {
    std::string peer;
    Protocol::RelayJob job;
    Base::MonoTime deadline{};
};

struct StatusRelay {
    Events::RequestId request = 0;
    Base::Uuid submission;
};

enum class TimerKind : std::uint8_t {
    JobClosing,
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
    std::optional<Base::MonoTime> servingSeen; ///< when authority to start was last observed

    std::unordered_map<Base::Uuid, Submission, Base::UuidHash> ledger;
    std::map<Protocol::Partition, std::unordered_set<Base::Uuid, Base::UuidHash>> byPartition;
    std::deque<Base::Uuid> retained; ///< ended jobs, oldest first
    std::size_t retainedBytes = 0;
    std::size_t openJobs = 0; ///< begun and not yet answered
    std::size_t totalLive = 0; ///< live attempts

    std::map<std::string, TeamState, std::less<>> teams;
    double virtualTime = 0;
    std::uint64_t round = 0;
    std::map<Protocol::Partition, std::vector<Base::TaskKey>> parked;
    std::unordered_map<std::string, OrderQueue> orders;
    std::unordered_map<Base::TaskKey, std::string, Base::TaskKeyHash> orderHolds;
    std::map<std::pair<std::string, Protocol::Partition>, std::set<Base::TaskKey>> recoveredOrder; ///< recovered attempts whose ordering key is not known

    std::unordered_map<std::string, AgentWork> agents;
    std::vector<std::string> openAgents; ///< agents that may have room
    std::size_t roundRobin = 0;
    std::map<std::string, std::uint32_t, std::less<>> kindAgents; ///< agents that list the kind
    std::uint32_t anyKindAgents = 0;
    std::uint32_t knownAgents = 0;
    std::uint32_t ejected = 0;
    double totalSlots = 0;
    double outcomes = 0;
    double failures = 0;
    Base::MonoTime nextRefresh{};

    std::unordered_map<Events::RequestId, OpenRequest> requests;
    std::map<Protocol::Partition, std::set<Events::RequestId>> requestsByPartition;
    std::unordered_map<std::uint64_t, Events::RequestId> relays;
    std::unordered_map<std::uint64_t, StatusRelay> statusRelays;
    std::uint64_t lastRelay = 0;
    std::map<Protocol::Partition, std::vector<HeldRelay>> heldRelays;
    std::size_t heldCount = 0;
    /// Newest relay number refused of each submission that was relayed more than once, until its deadline.
    std::map<std::pair<std::string, Base::Uuid>, std::pair<std::uint64_t, Base::MonoTime>> refusedRelays;

    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
};

} // namespace LaburnumFlow::Dispatch
