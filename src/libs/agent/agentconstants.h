#pragma once

#include "base/types.h"
#include "protocol/protocolconstants.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace LaburnumFlow::Agent {

using namespace std::chrono_literals;

constexpr std::uint32_t longTaskThresholdMs = 1000; ///< tasks expected to run longer are long
constexpr Base::Duration longRunThreshold = 1s; ///< running tasks older than this no longer count as short
constexpr std::uint32_t demotionFactor = 4; ///< a short task is demoted when it runs this much longer than expected
constexpr double demotedCpuShare = 0.25; ///< of a slot's processor time while short work waits

constexpr Base::Duration longTaskQueuePenalty = 2s; ///< a long task is served as if it had arrived this much later
constexpr Base::Duration urgentTaskQueueBonus = 500ms; ///< an urgent task is served as if it had arrived this much earlier
constexpr std::size_t maxQueuedPerSlot = 4; ///< longer queues belong to the entries, which order them by team

constexpr Base::Duration leaseRenewalInterval = Protocol::leaseDuration / 4;
/// Lease of tasks that are not idempotent. Longer than a usual pause of the agent, since a lost one fails its job.
constexpr Base::Duration nonIdempotentLeaseDuration = 10s;

constexpr Base::Duration ledgerRetention = Protocol::deduplicationWindow + Protocol::maxClockSkew;
/// Of starts refused on arrival while the ledger is half full, as in an overload. A second delivery of the same message
/// is refused for its token after maxTokenAge, so that these records can go early.
constexpr Base::Duration refusalRetention = 2 * Protocol::maxTokenAge;
constexpr std::size_t maxLedgerRecords = 60'000; ///< about 250 bytes each without results
constexpr std::size_t maxTotalResultBytes = 8UL * 1024UL * 1024UL; ///< of all ended attempts together
constexpr std::size_t maxReplyPartBytes = 512UL * 1024UL; ///< estimated size at which a reply is split

constexpr std::uint32_t statusFailureThreshold = 2; ///< failed status calls in a row; one alone may be a busy moment
constexpr Base::Duration statusResponseTimeout = 2s; ///< a status call without an answer for this long is repeated

/// After this time since the drain began no entry sends starts any more, even if every leave message was lost.
constexpr Base::Duration minDrainDuration = 2s;
constexpr Base::Duration drainReportTimeout = 10s; ///< a draining agent waits this long for an owner's link

constexpr double speedSmoothingFactor = 1.0 / 16.0; ///< of the newest sample in the learned speed
constexpr double maxSpeedSampleFactor = 20.0; ///< samples beyond this factor in either direction are cut off

} // namespace LaburnumFlow::Agent
