#pragma once

#include "base/types.h"

#include <chrono>

namespace LaburnumFlow::TaskAgent {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds holdWait = 100ms; ///< a hold call waits this long for an end; one whose answer is lost delays the ends it would have listed
constexpr Base::Duration startTimeout = 150ms; ///< a start without answer is then barred
constexpr Base::Duration stopTimeout = 150ms;
constexpr Base::Duration holdSlack = 80ms; ///< on top of the wait
constexpr Base::Duration stopRetry = 20ms;
constexpr Base::Duration holdRetry = 15ms; ///< after a hold that failed
constexpr Base::Duration holdRetryWithoutWorker = 300ms;
constexpr Base::Duration stallLimit = 900ms; ///< a run whose progress stands still for longer is reported
constexpr Base::Duration tokenInterval = 350ms; ///< the owner gets a token at least this often
constexpr Base::Duration workerSilentLimit = 6s; ///< a worker that neither answers nor sends heartbeats is gone after this

} // namespace LaburnumFlow::TaskAgent
