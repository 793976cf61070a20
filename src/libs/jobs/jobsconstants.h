#pragma once

#include "base/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace LaburnumFlow::Jobs {

using namespace std::chrono_literals;

// Validity of the owner's orders. The owner and the agents use the same values.
constexpr Base::Duration maxTokenAgeForStart = 1s; ///< Agents refuse starts that echo an older token.
constexpr Base::Duration maxTokenAgeForRenewal = 2s; ///< Agents stop renewing the worker's lease when the echoed token is older.
constexpr Base::Duration workerLease = 1s; ///< Longest lease that a worker grants.
constexpr double clockDriftFactor = 1.02; ///< A lease may last this much longer than stated, as a worker's clock may run slow.
constexpr Base::Duration leaseSlack = 150ms; ///< Allowance for timers that fire late.

/// Time without a newer token after which none of the runs that an agent's worker had can still be running.
constexpr Base::Duration runExpiryTimeout = maxTokenAgeForRenewal + std::chrono::duration_cast<Base::Duration>(workerLease * clockDriftFactor) + leaseSlack;

/// An owner without newer proof that it has not been replaced sends no orders.
constexpr Base::Duration ownerAuthorityTimeout = 800ms;

/// Time after which no run of a former owner can still be running on an agent that has not reported, counted from when most entries can't
/// confirm the former owner any more. It may not know of the takeover and renew leases until its authority ends.
constexpr Base::Duration formerRunExpiryTimeout = ownerAuthorityTimeout + runExpiryTimeout;

/// The same, counted from the takeover, if the entries that may confirm the former owner don't respond. They are down for good or in a
/// partition that lasts; tasks must not wait for them for ever.
constexpr Base::Duration unfencedRunExpiryTimeout = 12s;

/// An owner that the store has not confirmed for longer starts no more tasks of stored jobs. A successor may start them once
/// unfencedRunExpiryTimeout has passed since its claim, which is later than the last proof.
constexpr Base::Duration storedWorkTimeout = unfencedRunExpiryTimeout - formerRunExpiryTimeout;

/// How long an owner names former owners that may still be confirmed, and agents that have not reported, to its successors. Partitions of
/// regions last for minutes.
constexpr Base::Duration formerOwnerRetention = 10min;

/// Runs of best-effort jobs that are not submitted again within this time of a takeover are stopped. Entries forward their callers' jobs at once. Other
/// callers submit again after 1.3 s, perhaps to an owner on another side of a partition, and the runs must have ended by then.
constexpr Base::Duration orphanGracePeriod = 600ms;

// The caller of a best-effort job that gets no answer within its timeout submits the job again after a delay.
constexpr Base::Duration defaultResubmitDelayMax = 2s; ///< Longest such delay, including network delays.
constexpr Base::Duration maxResubmitWindow = 60s; ///< Bounds the memory for answers that are kept for callers with very long timeouts.
constexpr std::chrono::milliseconds defaultCallerTimeout = 3s; ///< For callers that don't state a timeout, and the least that is assumed of any caller.

constexpr Base::Duration queryHoldDuration = 200ms; ///< A query of a job that isn't final is held for this long, so that callers need not poll often.

constexpr Base::Duration unlinkedAgentRetention
    = 300ms; ///< An unlinked agent without runs stays in the owner record for this long, as agents reconnect at times.
constexpr Base::Duration ordersKeepAliveInterval = 350ms; ///< Longest time between two orders to an agent, each of which echoes its token.
constexpr Base::Duration agentSilenceTimeout = 900ms; ///< An agent that has not reported for longer gets no new work.

// Commits to the platform's store.
constexpr std::size_t maxChangesPerCommit = 400; ///< All job records of a commit go into one pack, all final states into one segment.
constexpr std::size_t maxKeyRemovalsPerCommit = 24; ///< The store accepts 32 entries per transaction.
constexpr Base::Duration packRewriteAge = 30s; ///< Age at which records of unfinished jobs are rewritten under a new key, so that the old key can be removed.
constexpr Base::Duration packRewriteInterval = 5s; ///< Time between two checks for such records.
constexpr std::size_t maxCommitBytes = 400'000;
constexpr std::size_t maxFinishedPerSegment = 128; ///< Final states under one key.
constexpr Base::Duration commitInterval = 12ms; ///< Shortest time between the starts of two commits; batching saves calls to the store.
constexpr Base::Duration commitRetryDelayInitial = 20ms;
constexpr Base::Duration commitRetryDelayMax = 300ms;
constexpr Base::Duration progressCommitDelay = 400ms; ///< Ends of tasks of an unfinished job are recorded after this time, by which most jobs have finished.
constexpr Base::Duration defaultFinalStateRetention = 130s; ///< Callers may ask for final states for 120 s; the rest is slack.
constexpr Base::Duration commitStallTimeout = 700ms; ///< The owner refuses what it must record first while a commit has been pending for longer.
constexpr std::uint32_t storeRetryAfterS = 1; ///< In these refusals.
constexpr std::size_t maxWithdrawnJobs = 20'000; ///< Bounds the memory for cancellations of jobs that aren't known; each is kept as long as a final state.

/// Tasks of the occurrences that a repeated job holds at a time. Further occurrences that are due wait for the end of earlier ones, which bounds the job's record
/// and the steps of the event loop, however many occurrences are due. One occurrence may have more tasks.
constexpr std::size_t maxTasksOfRepeatedJob = 4096;
constexpr std::size_t maxTasksBegunPerTurn = 500; ///< Of occurrences that are due, so that the owner answers calls and renews its lease in between.
constexpr std::size_t maxTasksResolvedPerTurn = 2000; ///< Of tasks in doubt, for the same reason.
constexpr std::size_t maxRewritesWaiting = 200; ///< Old records are rewritten only while fewer changes wait for the store.

/// Number of runs that a task can have under one owner. It spaces the run numbers of successive owners so that they always rise, also for long-running tasks
/// that restart often.
constexpr std::uint32_t runsPerEpoch = 65'536;

// Scheduling.
constexpr double maxLatenessFactor = 3.0; ///< An answer that takes more than this multiple of the job's objective is worthless to the caller.
constexpr Base::Duration starvationTimeout = 5s; ///< A late job that has waited for longer goes first, as an accepted job must finish eventually.
constexpr double runTimeMargin = 1.45; ///< Multiplies run time estimates. Without it slow workers and low estimates make a job late that starts just in time.
constexpr Base::Duration demandTimeConstant
    = 1500ms; ///< Of the decaying average of demand; long enough that the burst after an outage doesn't count as overload.
constexpr double minLateWorkShare = 0.1; ///< Least share of the capacity that late work is expected to get.
constexpr std::uint32_t defaultEstimateMs = 200; ///< Run time of a task whose caller gave no estimate.

constexpr double defaultRemoteFactor = 1.5; ///< Slowdown of a task that runs away from the rack of its data or of the other tasks of its step.
constexpr Base::Duration maxPlacementWait = 2s; ///< A job waits no longer for a faster worker, or for one rack, while slower workers have room.
constexpr Base::Duration waitLogDelay = 3s; ///< A step that has waited for longer is logged with the reason.
constexpr Base::Duration waitCheckInterval = 1s; ///< Between rounds that look at all waiting steps; the others leave out steps for which no worker has room.
constexpr Base::Duration waitLogInterval = 10s; ///< Time between two such lines for a step.
constexpr Base::Duration reservationDelay
    = 300ms; ///< Workers are reserved for a gang that waits for longer, as smaller tasks would otherwise always take them.
constexpr Base::Duration reservationHold = 2s; ///< Of each reservationCycle: time in which other work is kept out although a run takes longer than estimated.
constexpr Base::Duration reservationCycle = 3s;
constexpr Base::Duration preemptionDelay = 1500ms; ///< A long-running task that waits for longer preempts other work.
constexpr std::uint32_t longRunningRetryAfterS = 10; ///< Capacity for long-running tasks only comes from a cancelled job or new workers, which takes time.
constexpr Base::Duration longRunningHealthyRunTime = 5s; ///< A long-running task that ends earlier by itself has a quick end.
constexpr std::uint8_t maxImmediateRestarts = 2; ///< Consecutive quick ends after which a task restarts at once; after further ones it restarts with a delay.
constexpr Base::Duration longRunningRestartDelayInitial = 100ms; ///< Doubles with each further quick end.
constexpr Base::Duration longRunningRestartDelayMax = 1600ms; ///< The platform counts a job as lost when none of its tasks runs for 3 s.
constexpr double maxLongRunningShare = 0.9; ///< Share of a service's capacity that long-running tasks may fill.

// Advice on workers.
constexpr std::uint32_t adviceSpareWorkers = 4; ///< Workers in a call beyond one per task, as some may not be allowed to run the step.
constexpr std::uint32_t maxWorkersPerAdviceCall = 100;
constexpr Base::Duration adviceTimeoutSlack = 1500ms; ///< Allowance for calls of other processes that the service handles first.
constexpr Base::Duration minTicketValidity = 300ms; ///< A ticket that expires sooner may reach the worker too late.
constexpr Base::Duration adviceRetryDelayInitial = 100ms;
constexpr Base::Duration adviceRetryDelayMax = 1s;

// Worker health.
constexpr Base::Duration avoidanceTimeout = 1s; ///< A task that failed on a worker waits for room on another one for this long.
constexpr std::uint32_t runFailureWeight = 2; ///< Of a run that failed or stalled.
constexpr std::uint32_t unansweredStartWeight = 1; ///< Of a start call without an answer; lower, as single calls to healthy workers get lost too.
constexpr std::uint32_t suspensionThreshold = 4; ///< Summed weight of consecutive failures of different jobs at which the worker is suspended.
constexpr Base::Duration suspensionInitial = 1s;
constexpr Base::Duration suspensionMax = 8s;
constexpr Base::Duration probeTimeout = 2s; ///< A worker gets another run if its probe takes longer, as that may run for hours.

} // namespace LaburnumFlow::Jobs
