#pragma once

#include "base/types.h"

#include <chrono>

namespace LaburnumFlow::Node {

using namespace std::chrono_literals;

constexpr Base::Duration rulesReadInterval = 400ms; ///< between reads of the operator's configuration
constexpr Base::Duration jobsPageTimeout = 2s; ///< of one page of jobs
constexpr Base::Duration minStoreTimeout = 120ms;
constexpr Base::Duration maxStoreTimeout = 1s;
constexpr Base::Duration storeLossReportDelay = 500ms; ///< of failed calls, until a line tells that the store is lost
constexpr long maxStoreConnections = 8;
constexpr long maxWorkerConnections = 8;
constexpr unsigned maxMetricsConnections = 8;
constexpr Base::Duration returnedCallRetryDelay = 80ms; ///< before a call is passed on again that its receiver did not take
constexpr Base::Duration stepDownCheckInterval = 5ms;
constexpr Base::Duration stepDownTimeout = 600ms; ///< for recording what has gathered before the jobs are given up
constexpr Base::Duration minEntryDrainTime = 2500ms; ///< a balancer that checks once a second sends connections until then
constexpr Base::Duration drainTimeout = 5400ms; ///< the platform kills the process after 6 s
constexpr Base::Duration lastAnswersTimeout = 50ms; ///< for sending the answers of requests that did not end in time
constexpr std::uint32_t drainEstimateFactor = 2; ///< a stopping entry takes a job only if it fits this many times into the time left
constexpr Base::Duration drainReserve = 400ms; ///< for the way to the owner and back
constexpr Base::Duration drainCheckInterval = 100ms;
constexpr Base::Duration entriesReadInterval = 120ms; ///< by an agent without an owner
constexpr Base::Duration entryDialRetryDelay = 200ms;
constexpr Base::Duration agentDialDelay = 500ms; ///< the owner dials an agent that has not come back by then; one that still runs dials sooner
constexpr Base::Duration agentDialInterval = 300ms;
constexpr Base::Duration agentDialTimeout = 10s; ///< an agent that stays away for longer has to find the entries in the store
constexpr Base::Duration entrySilenceTimeout = 1200ms; ///< an agent replaces the link to an owner that is silent for longer

} // namespace LaburnumFlow::Node
