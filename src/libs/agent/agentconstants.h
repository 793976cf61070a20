#pragma once

#include "base/types.h"
#include "protocol/protocolconstants.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace LaburnumFlow::Agent {

using namespace std::chrono_literals;

constexpr std::uint32_t longTaskThresholdMs = 1000; ///< Expected run time above which a task is long
constexpr Base::Duration longRunThreshold = 1s; ///< A task that has run longer than this no longer counts as short
constexpr std::uint32_t demotionFactor = 4; ///< A short task is demoted when it runs longer than this multiple of its expected time
constexpr double demotedCpuShare = 0.25; ///< Share of a slot's processor time that a demoted task gets while short tasks are queued

/// Long tasks are queued as if they had arrived this much later, urgent ones this much earlier. As the penalty is
/// fixed, short tasks that keep arriving can't overtake a long one for ever.
constexpr Base::Duration longTaskQueuePenalty = 2s;
constexpr Base::Duration urgentTaskQueueBonus = 500ms;
constexpr std::size_t maxQueuedPerSlot = 4; ///< More tasks than this wait at the entries, which can order them by team

constexpr Base::Duration leaseRenewalInterval = Protocol::leaseDuration / 4;
/// Lease of tasks that are not idempotent. Outlasts a usual suspension of the agent process, since the loss of such a task
/// fails its job.
constexpr Base::Duration nonIdempotentLeaseDuration = 10s;

constexpr Base::Duration ledgerRetention = Protocol::deduplicationWindow + Protocol::maxClockSkew;
/// Retention of starts refused on arrival while the ledger is more than half full, as under overload. It can be short
/// because a second delivery of the same message is refused for its token after Protocol::maxTokenAge.
constexpr Base::Duration refusalRetention = 2 * Protocol::maxTokenAge;
constexpr std::size_t maxLedgerRecords = 60'000; ///< Each takes about 250 bytes without its result
constexpr std::size_t maxTotalResultBytes = 8UL * 1024UL * 1024UL; ///< Total size of the results kept for ended attempts
constexpr std::size_t maxReplyPartBytes = 512UL * 1024UL; ///< Estimated size at which a reply is split into several messages

/// Consecutive failed status calls after which the backend server counts as unreachable. A single one may be due to load.
constexpr std::uint32_t statusFailureThreshold = 2;
constexpr Base::Duration statusResponseTimeout = 2s; ///< A status call that has not been answered after this time is repeated

/// A draining agent runs at least this long. By then no entry sends it starts any more, even if all its heartbeats that
/// announced the drain were lost.
constexpr Base::Duration minDrainDuration = 2s;
constexpr Base::Duration drainReportTimeout = 10s; ///< Time since the drain began after which the agent exits even if an owner's link is down

constexpr double speedSmoothingFactor = 1.0 / 16.0; ///< Weight of the newest sample in the speed estimate
constexpr double maxSpeedSampleFactor = 20.0; ///< Samples are clamped to between 1/factor and factor

} // namespace LaburnumFlow::Agent
