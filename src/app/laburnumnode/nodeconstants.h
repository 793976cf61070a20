#pragma once

#include "base/types.h"

#include <chrono>

namespace LaburnumFlow::Node {

using namespace std::chrono_literals;

constexpr Base::Duration jobsPageStallTimeout = 1s; ///< a read of a page of jobs fails when nothing has arrived for this long
constexpr Base::Duration newerRulesTimeout = 1s; ///< how long a request without a route waits for newer rules that are on their way
constexpr int retryAfterNewerRulesS = 1;
constexpr Base::Duration jobsReadRetryDelay = 50ms; ///< delay before the jobs are read again from the first page, after a page could not be read
constexpr Base::Duration minStoreTimeout = 120ms;
constexpr Base::Duration maxStoreTimeout = 1s;
constexpr Base::Duration storeLossReportDelay = 500ms; ///< the loss of the store is logged after calls have failed for this long
constexpr long maxStoreConnections = 8;
constexpr long maxWorkerConnections = 8;
constexpr unsigned maxMetricsConnections = 8;
constexpr Base::Duration returnedCallRetryDelay = 80ms; ///< delay before a call that its receiver returned is forwarded again
constexpr Base::Duration ownerTurnInterval = 1ms; ///< between two ends of the owner's turns, each of which goes through all agents
constexpr Base::Duration busyOwnerTurn = 50ms; ///< the owner logs that it is busy if a turn takes longer
constexpr Base::Duration busyOwnerReportInterval = 1s;
constexpr Base::Duration stepDownCheckInterval = 5ms;
constexpr Base::Duration stepDownTimeout = 600ms; ///< time for recording pending changes before the owner steps down
constexpr Base::Duration minEntryDrainTime = 2500ms; ///< a load balancer that checks readiness once a second may send connections until then
constexpr Base::Duration stopReserve = 600ms; ///< a stopping process ends this long before the platform would kill it
constexpr Base::Duration finalStateSlack = 10s; ///< by which final states are kept for longer than callers may ask for them
constexpr Base::Duration resubmitSlack = 700ms; ///< a caller's next submission may arrive this much later, because of network delays
constexpr Base::Duration lastAnswersTimeout = 50ms; ///< time for sending the answers to requests that did not end before the drain timeout
constexpr std::uint32_t drainEstimateFactor = 2; ///< a stopping entry accepts a job only if its estimated run time fits this many times into the time left
constexpr Base::Duration drainReserve = 400ms; ///< time for forwarding a call to the owner and its answer
constexpr Base::Duration drainCheckInterval = 100ms;
constexpr Base::Duration entriesReadInterval = 120ms; ///< interval between reads of the entry records by an agent without an owner
constexpr Base::Duration unconfirmedOwnerReadInterval = 500ms; ///< the same for an agent whose owner the store doesn't confirm
constexpr Base::Duration entryDialRetryDelay = 200ms;

/// Delay before the owner dials an agent whose link has closed. An agent that is still running dials sooner itself.
constexpr Base::Duration agentDialDelay = 500ms;
constexpr Base::Duration agentDialInterval = 300ms;
constexpr Base::Duration agentDialTimeout = 10s; ///< an agent that is gone for longer isn't dialed any more and has to find the entries in the store
constexpr Base::Duration entrySilenceTimeout = 1200ms; ///< an agent replaces its link to an owner that is silent for longer

} // namespace LaburnumFlow::Node
