#pragma once

#include "base/types.h"

#include <chrono>

namespace LaburnumFlow::TaskAgent {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds holdWait = 400ms; ///< a hold call waits this long for an end; renews the lease in time
constexpr Base::Duration startTimeout = 300ms; ///< a start without answer is then barred
constexpr Base::Duration stopTimeout = 300ms;
constexpr Base::Duration holdSlack = 300ms; ///< on top of the wait
constexpr Base::Duration stopRetry = 60ms;
constexpr Base::Duration holdRetry = 60ms; ///< after a hold that failed
constexpr Base::Duration holdRetryWithoutWorker = 300ms;
constexpr Base::Duration stallLimit = 900ms; ///< a run whose progress stands still for longer is reported
constexpr Base::Duration tokenInterval = 350ms; ///< the owner gets a token at least this often
constexpr Base::Duration workerSilentLimit = 6s; ///< a worker that neither answers nor sends heartbeats is gone after this

} // namespace LaburnumFlow::TaskAgent
