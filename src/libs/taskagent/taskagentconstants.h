#pragma once

#include "base/types.h"

#include <chrono>

namespace LaburnumFlow::TaskAgent {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds holdWait = 60ms; ///< a hold call waits this long for an end; one whose answer is lost delays the ends it would have listed
constexpr Base::Duration minCallTimeout = 40ms; ///< a start without answer is barred, so that its task can start elsewhere
constexpr Base::Duration maxCallTimeout = 300ms;
constexpr int callTimeoutFactor = 8; ///< times the average time to an answer
constexpr int responseTimeWindow = 16;
constexpr Base::Duration silenceReportTimeout = 150ms; ///< a worker that is silent for longer gets no new runs; a single lost hold is no silence
constexpr Base::Duration renewalStopTimeout = 250ms; ///< its lease is no longer renewed then, so that its runs are over soon
constexpr Base::Duration stopRetryDelay = 20ms;
constexpr Base::Duration holdRetryDelay = 15ms; ///< after a hold that failed
constexpr Base::Duration holdRetryDelayWithoutWorker = 300ms;
constexpr int completePercent = 100; ///< of a task's work; a lasting task stays there
constexpr Base::Duration stallTimeout = 900ms; ///< a run whose progress stands still for longer is reported
constexpr Base::Duration paceChangeInterval = 600ms; ///< between two changes of the pace; workers report the last half second, and follow within 100 ms
constexpr Base::Duration paceRaiseDelay = 1500ms; ///< an unhindered run within its target for this long allows more background work
constexpr double slowDownLatencyRatio = 0.9; ///< of the latency target
constexpr double paceRaiseLatencyRatio = 0.7; ///< of the latency target
constexpr int paceRaiseStepPercent = 10; ///< percent points
constexpr int minPacePercent = 10; ///< percent; less is not worth the disturbance
constexpr Base::Duration reportKeepAliveInterval = 350ms; ///< the owner gets a token at least this often
constexpr Base::Duration workerSilenceTimeout = 6s; ///< a worker that neither answers nor sends heartbeats is gone after this

} // namespace LaburnumFlow::TaskAgent
