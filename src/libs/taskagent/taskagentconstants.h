#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>

namespace LaburnumFlow::TaskAgent {

using namespace std::chrono_literals;

/// How long the worker waits for a run to end before it answers a hold call. A lost response delays the ends that it would have listed.
constexpr std::chrono::milliseconds holdWait = 60ms;
constexpr Base::Duration minCallTimeout = 40ms; ///< a start call without a response is cancelled after this, so that its task can start elsewhere
constexpr Base::Duration maxCallTimeout = 300ms;
constexpr int callTimeoutFactor = 8; ///< timeout of a call, as a multiple of the average response time
constexpr int maxTimeoutDoublings = 3; ///< of the timeout, one for each call without a response after the first in a row
constexpr int responseTimeWindow = 16; ///< start calls over which the response time is averaged

/// A worker that is silent for longer is reported and gets no new runs. Long enough that a single lost hold call doesn't count as silence.
constexpr Base::Duration silenceReportTimeout = 150ms;
constexpr Base::Duration renewalStopTimeout = 250ms; ///< the lease of a worker that is silent for longer is no longer renewed, so that its runs end soon
constexpr Base::Duration lateExecutionTimeout = 15s; ///< a call without a response may be executed up to 12 s after it was sent; the rest is slack

/// A fence is the owner's epoch, followed by this many bits of a time in milliseconds, which suffice for 2 years. Run numbers limit epochs to 16 bits.
constexpr unsigned fenceTimeBits = 36;
constexpr std::chrono::milliseconds fenceRecoveryStep = 1min; ///< by which the fence is raised if the worker refuses it, as a former process's clock was ahead
constexpr int barringCalls = 2; ///< stop calls, beside a hold call, that bar late starts at a worker which may have restarted
constexpr Base::Duration stopRetryDelay = 20ms;
constexpr Base::Duration holdRetryDelay = 15ms; ///< delay after a failed hold call
constexpr Base::Duration holdRetryDelayWithoutWorker = 300ms;
constexpr int completePercent = 100; ///< progress of a run whose work is done; a long-running task always reports it
constexpr Base::Duration stallTimeout = 900ms; ///< a run whose progress doesn't change for longer is reported as stalled

/// Shortest time between two changes of the pace. Workers apply one within 100 ms and report on the last half second.
constexpr Base::Duration paceChangeInterval = 600ms;
constexpr Base::Duration paceRaiseDelay = 1500ms; ///< the pace is raised after all latencies have been well below their targets for this long
constexpr double slowDownLatencyRatio = 0.9; ///< the pace is lowered above this share of a latency target
constexpr double paceRaiseLatencyRatio = 0.7; ///< the pace is raised only below this share of each latency target
constexpr int paceRaiseStepPercent = 10; ///< percentage points
constexpr int minPacePercent = 10; ///< background runs that would get less are paused, as their work isn't worth the disturbance
constexpr Base::Duration reportKeepAliveInterval = 350ms; ///< the owner is sent a report with a new token at least this often

/// A heartbeat is late if its number is lower than the latest one by less than this. Heartbeats are delayed by at most minutes, which are fewer of them.
constexpr std::uint64_t maxHeartbeatsLate = 10'000;

/// A worker that neither answers nor sends heartbeats for longer counts as terminated, unless it has restarted and may execute a start call late.
constexpr Base::Duration workerSilenceTimeout = 6s;

} // namespace LaburnumFlow::TaskAgent
