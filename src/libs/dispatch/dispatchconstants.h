#pragma once

#include "base/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace LaburnumFlow::Dispatch {

using namespace std::chrono_literals;

constexpr Base::Duration agentRefreshInterval = 50ms; ///< the list of agents with room is rebuilt this often
constexpr std::size_t placementSampleSize = 8; ///< agents compared per start; bounds the cost in a large fleet
constexpr std::size_t maxPlacementScan = 256; ///< agents looked at when no sampled one fits
constexpr std::size_t maxAvoidedAgents = 4; ///< agents remembered per task after a failure or refusal there

constexpr double maxShortRunMs = 300; ///< kinds with a longer learned run time are long work
constexpr Base::Duration longTaskAgeThreshold = 500ms; ///< long work that waited longer competes with short work by age
constexpr double estimateSmoothingFactor = 0.1; ///< weight of a new sample in learned run times and speeds
constexpr std::uint32_t minEstimateSamples = 8; ///< fewer samples than this don't replace the declared value

constexpr std::uint16_t maxAttempts = 4; ///< attempts that ran or may have run, per task
constexpr std::uint16_t maxRefusals = 32; ///< attempts of a task that certainly did not start
constexpr Base::Duration retryDelayInitial = 10ms; ///< before the second attempt; doubles with each further one
constexpr Base::Duration refusalDelayInitial = 2ms; ///< after a refusal; doubles up to refusalBackoffLimit
constexpr Base::Duration refusalDelayMax = 100ms;
constexpr double retryBurst = 10; ///< retries that a team's bucket holds beyond its share of starts
constexpr double hedgeBurst = 2;
constexpr double hedgeDelayFactor = 1.5; ///< of the learned 95th percentile, before a hedge is sent

constexpr Base::Duration jobStopLeadTime = 20ms; ///< attempts are cancelled this long before the deadline, so that the answer is certain
constexpr Base::Duration minAuthorityGap = 1500ms; ///< a new owner serves at the earliest this long (maxTokenAge) after the old one's authority ended
constexpr Base::Duration expectedTakeoverDuration = 4300ms; ///< steps 1 to 3 of a takeover with 10 % drift
constexpr Base::Duration expectedHandoverDuration = 500ms;
constexpr std::size_t maxDeferredRelays = 4096;
constexpr std::size_t maxOpenRequests = 100'000;
constexpr std::size_t maxRetainedAnswerBytes = 32UL * 1024UL * 1024UL; ///< of ended jobs; the oldest are dropped beyond it
constexpr std::size_t maxIdGenerationTries = 4096;

constexpr double outcomeDecayFactor = 0.98; ///< weight of older outcomes per new one, about the last 50
constexpr double minOutcomesForEjection = 8;
constexpr double minOutcomesForTaskLimit = 1.5; ///< two ends, of which the older has decayed
constexpr double minEjectionFailureRatio = 0.5;
constexpr double minEjectionRatioMargin = 0.3; ///< above the failure ratio of the other workers
constexpr double maxEjectedShare = 0.3;
constexpr std::uint32_t probesForReadmission = 3;
constexpr Base::Duration probeIntervalInitial = 1s;
constexpr Base::Duration probeIntervalMax = 16s;
constexpr Base::Duration slowStartDuration = 5s;

} // namespace LaburnumFlow::Dispatch
