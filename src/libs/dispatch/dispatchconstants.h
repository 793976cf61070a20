#pragma once

#include "base/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace LaburnumFlow::Dispatch {

using namespace std::chrono_literals;

constexpr Base::Duration agentRefreshInterval = 50ms; ///< Between two rebuilds of the list of agents with free capacity
constexpr std::size_t placementSampleSize = 8; ///< Agents compared per start; bounds the cost in a large fleet
constexpr std::size_t maxPlacementScan = 256; ///< Agents checked when no sampled one fits
constexpr std::size_t maxAvoidedAgents = 4; ///< Agents remembered per task after a failure or refusal there

constexpr double maxShortRunMs = 300; ///< Tasks of kinds with a longer estimated run time are long tasks
constexpr Base::Duration longTaskAgeThreshold = 500ms; ///< Long tasks that waited longer compete with short ones by age
constexpr double estimateSmoothingFactor = 0.1; ///< Weight of a new sample in estimated run times and speeds
constexpr std::uint32_t minEstimateSamples = 8; ///< With fewer samples, the declared value is used instead of the estimate

constexpr std::uint16_t maxAttempts = 4; ///< Attempts that ran or may have run, per task
constexpr std::uint16_t maxRefusals = 32; ///< Attempts that certainly did not start, per task
constexpr Base::Duration retryDelayInitial = 10ms; ///< Before the second attempt; doubles with each further one
constexpr Base::Duration refusalDelayInitial = 2ms; ///< After the first refusal; doubles up to refusalDelayMax
constexpr Base::Duration refusalDelayMax = 100ms;
constexpr double retryBurst = 10; ///< Retries in a team's token bucket beyond its share of starts
constexpr double hedgeBurst = 2; ///< Capacity of a team's token bucket for hedges
constexpr double hedgeDelayFactor = 1.5; ///< Delay before a hedge is sent, as a multiple of the estimated 95th percentile of run times

constexpr Base::Duration jobStopLeadTime = 20ms; ///< Attempts are cancelled this long before the deadline, so that the answer is certain
constexpr Base::Duration minAuthorityGap = 1500ms; ///< From the end of an owner's authority to the first start by the next owner: maxTokenAge
/// Expiry of the former owner's authority and of its starts, each with 10 % clock drift, and the agents' replies.
constexpr Base::Duration expectedTakeoverDuration = 4300ms;
constexpr Base::Duration expectedHandoverDuration = 500ms;
constexpr std::size_t maxDeferredRelays = 4096;
constexpr std::size_t maxOpenRequests = 100'000;
constexpr std::size_t maxRetainedAnswerBytes = 32UL * 1024UL * 1024UL; ///< Answers of ended jobs; the oldest are dropped beyond it
constexpr std::size_t maxIdGenerationTries = 4096; ///< Tries to generate an id of a partition that this entry serves

constexpr double outcomeDecayFactor = 0.98; ///< Weight of older outcomes per new one; about the last 50 count
constexpr double minOutcomesForEjection = 8;
constexpr double minOutcomesForTaskLimit = 1.5; ///< Reached with two outcomes, of which the older has decayed
constexpr double minEjectionFailureRatio = 0.5;
constexpr double minEjectionRatioMargin = 0.3; ///< Above the failure ratio of the other workers
constexpr double maxEjectedShare = 0.3; ///< Share of the known agents
constexpr std::uint32_t probesForReadmission = 3; ///< Successful probes in a row
constexpr Base::Duration probeIntervalInitial = 1s; ///< Doubles after each failed probe up to probeIntervalMax
constexpr Base::Duration probeIntervalMax = 16s;
constexpr Base::Duration slowStartDuration = 5s;

} // namespace LaburnumFlow::Dispatch
