#pragma once

#include "base/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace LaburnumFlow::Jobs {

using namespace std::chrono_literals;

// Authority of the owner over an agent. Both ends use the same figures.
constexpr Base::Duration maxTokenAgeForStart = 1s; ///< agents refuse starts whose echoed token is older
constexpr Base::Duration maxTokenAgeForRenewal = 2s; ///< agents stop renewing the worker's lease when the echoed token is older
constexpr Base::Duration workerLease = 1s; ///< the longest lease that a worker grants
constexpr double clockDriftFactor = 1.02; ///< a worker's clock may run this much slower
constexpr Base::Duration leaseSlack = 150ms; ///< for timers that fire late

/// After this time without a younger token nothing that an agent's worker was running can still run.
constexpr Base::Duration runExpiryTimeout = maxTokenAgeForRenewal + std::chrono::duration_cast<Base::Duration>(workerLease * clockDriftFactor) + leaseSlack;

constexpr Base::Duration orphanGracePeriod = 2500ms; ///< runs of best-effort jobs that are not submitted again within this time of a takeover are stopped

// A best-effort job comes again when its caller's patience has ended without an answer and this pause has passed.
constexpr Base::Duration resubmitDelayMax = 2s; ///< the longest, with delays on the way
constexpr Base::Duration maxResubmitWindow = 60s; ///< bounds the memory that answers for callers of endless patience take
constexpr std::chrono::milliseconds defaultCallerTimeout = 3s; ///< of callers that do not say for how long they wait, and at least assumed of all

constexpr Base::Duration queryHoldDuration = 200ms; ///< a query of a job that is not final is held for this long, so that its caller need not ask again

constexpr Base::Duration unlinkedAgentRetention = 300ms; ///< an agent without runs stays recorded for this long, as links are replaced at times
constexpr Base::Duration ordersKeepAliveInterval = 350ms; ///< the owner echoes each agent's token at least this often
constexpr Base::Duration agentSilenceTimeout = 900ms; ///< no new work for an agent not heard of for this long

// Recording in the platform's store.
constexpr std::size_t maxChangesPerCommit = 400; ///< in one pack and one segment
constexpr std::size_t maxKeyRemovalsPerCommit = 24; ///< per commit; a transaction takes 32 entries
constexpr Base::Duration packRewriteAge = 30s; ///< jobs that are not final then are written anew, so that old keys can be removed
constexpr Base::Duration packRewriteInterval = 5s; ///< between looks for such jobs
constexpr std::size_t maxCommitBytes = 400'000;
constexpr std::size_t maxFinishedPerSegment = 128; ///< finished jobs per key
constexpr Base::Duration commitInterval = 12ms; ///< between the starts of two commits; saves calls to the store
constexpr Base::Duration commitRetryDelayInitial = 20ms;
constexpr Base::Duration commitRetryDelayMax = 300ms;
constexpr Base::Duration progressCommitDelay = 400ms; ///< ends of unfinished jobs are recorded after this time, when most jobs have ended
constexpr Base::Duration finalStateRetention = 130s; ///< final states are kept for 120 s and some slack
constexpr Base::Duration commitStallTimeout = 700ms; ///< a commit that hangs for longer makes the owner refuse new jobs

constexpr std::uint32_t runsPerEpoch = 65'536; ///< runs of a task under one owner; keeps runs rising across owners, also of lasting tasks that start often

// Scheduling.
constexpr double maxLatenessFactor = 3.0; ///< an answer later than this many objectives is worth nothing to its caller
constexpr Base::Duration starvationTimeout = 5s; ///< an accepted job that is late anyhow comes first after this time, as it has to end
constexpr double runTimeMargin = 1.45; ///< times the estimate; slow workers and wrong estimates make a job late that begins at the last moment
constexpr Base::Duration demandTimeConstant
    = 1500ms; ///< over which demand is averaged; what has gathered in an outage and comes at once must not look like overload
constexpr double minLateWorkShare = 0.1; ///< of the capacity that work which is late anyhow is expected to get
constexpr std::size_t maxUnplacedScanned = 64; ///< jobs that do not fit and are passed over in one round
constexpr std::uint32_t defaultEstimateMs = 200; ///< of a task about which nothing is known

constexpr double remoteFactor = 1.5; ///< run time away from the data's rack, or from the others of the step
constexpr Base::Duration reservationDelay = 300ms; ///< a gang that waits for longer has workers kept free for it, as smaller work would always come first
constexpr Base::Duration preemptionDelay = 1500ms; ///< a lasting task that waits for longer takes the room of other work
constexpr std::uint32_t longRunningRetryAfterS = 10; ///< room for lasting tasks comes with a cancelling or new workers, which take their time
constexpr Base::Duration longRunningHealthyRunTime = 5s; ///< a lasting task that ran for longer was sound
constexpr std::uint8_t maxImmediateRestarts = 2; ///< so many in succession are followed by a start at once, further ones by a pause
constexpr Base::Duration longRunningRestartDelayInitial = 100ms; ///< doubles with each quick end
constexpr Base::Duration longRunningRestartDelayMax = 1600ms; ///< the platform counts a job as lost of which nothing runs for 3 s
constexpr double maxLongRunningShare = 0.9; ///< of a service's capacity that lasting tasks may fill

// Advice on workers.
constexpr std::uint32_t adviceSpareWorkers = 4; ///< workers asked about beyond one for each task, as some may not run the step
constexpr std::uint32_t maxWorkersPerAdviceCall = 100; ///< in one call
constexpr Base::Duration adviceTimeoutSlack = 1500ms; ///< for calls of other processes that the service takes first
constexpr Base::Duration minTicketValidity = 300ms; ///< a ticket that ends sooner may come too late to the worker
constexpr Base::Duration adviceRetryDelayInitial = 100ms;
constexpr Base::Duration adviceRetryDelayMax = 1s;

// Worker health.
constexpr std::uint32_t runFailureWeight = 2; ///< of a run that failed or stalled
constexpr std::uint32_t unansweredStartWeight = 1; ///< of a start that was not answered; single calls get lost on sound workers too
constexpr std::uint32_t suspensionThreshold = 4; ///< of successive failures of different jobs; suspends the worker
constexpr Base::Duration suspensionInitial = 1s;
constexpr Base::Duration suspensionMax = 8s;

} // namespace LaburnumFlow::Jobs
