#pragma once

#include "base/types.h"

#include <chrono>

namespace LaburnumFlow::TaskAgent {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds holdWait = 60ms; ///< a hold call waits this long for an end; one whose answer is lost delays the ends it would have listed
constexpr Base::Duration callTimeoutLeast = 40ms; ///< a start without answer is barred, so that its task can start elsewhere
constexpr Base::Duration callTimeoutMost = 300ms;
constexpr int callTimeoutFactor = 8; ///< times the average time to an answer
constexpr int callsAveraged = 16;
constexpr Base::Duration silenceToReport = 150ms; ///< a worker that is silent for longer gets no new runs; a single lost hold is no silence
constexpr Base::Duration silenceToLapse = 250ms; ///< its lease is no longer renewed then, so that its runs are over soon
constexpr Base::Duration stopRetry = 20ms;
constexpr Base::Duration holdRetry = 15ms; ///< after a hold that failed
constexpr Base::Duration holdRetryWithoutWorker = 300ms;
constexpr int allPercent = 100; ///< of a task's work; a lasting task stays there
constexpr Base::Duration stallLimit = 900ms; ///< a run whose progress stands still for longer is reported
constexpr Base::Duration paceInterval = 600ms; ///< between two changes of the pace; workers report the last half second, and follow within 100 ms
constexpr Base::Duration calmBeforeRaise = 1500ms; ///< an unhindered run within its target for this long allows more background work
constexpr double slowDownAbove = 0.9; ///< of the latency target
constexpr double raiseBelow = 0.7; ///< of the latency target
constexpr int paceRaise = 10; ///< percent points
constexpr int leastPace = 10; ///< percent; less is not worth the disturbance
constexpr Base::Duration tokenInterval = 350ms; ///< the owner gets a token at least this often
constexpr Base::Duration workerSilenceTimeout = 6s; ///< a worker that neither answers nor sends heartbeats is gone after this

} // namespace LaburnumFlow::TaskAgent
