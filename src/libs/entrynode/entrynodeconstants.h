#pragma once

#include "base/types.h"

#include <chrono>
#include <cstddef>

namespace LaburnumFlow::EntryNode {

using namespace std::chrono_literals;

constexpr Base::Duration clusterReadInterval = 250ms; ///< interval between reads of the owner record and the entry records
constexpr Base::Duration presenceRenewalInterval = 300ms; ///< interval between renewals of the presence lease, whose shortest TTL is 1 s
constexpr Base::Duration heartbeatInterval = 200ms; ///< interval between heartbeats of the owner to the other entries
/// An entry confirms the owner only for this long after the start of its last read. The second value holds if the read failed: calls to a store
/// that doesn't answer take up to 1 s, so that two of them and the interval between them must fit.
constexpr Base::Duration maxReadAgeForConfirmation = 700ms;
constexpr Base::Duration maxFailedReadAgeForConfirmation = 2500ms;

constexpr Base::Duration watchWait = 1s; ///< longest wait of a watch; also bounds how long a silent connection to the store goes unnoticed
constexpr Base::Duration readersWatchWait = 500ms; ///< the same for rules readers, whose silence all others have to notice in time
/// Time after which a watch would have reported a change that the store withheld from an earlier one.
constexpr Base::Duration watchSettleTime = 5s;
constexpr Base::Duration rulesRetryDelay = 400ms; ///< shortest interval between reads of the document, and between a failed call for the rules and the next
constexpr Base::Duration minRulesCallInterval = 100ms; ///< if a watch ends before its time

constexpr std::size_t rulesReaders = 2; ///< entries that watch the rules in the store and pass changes on to the others
constexpr Base::Duration rulesAnnouncementInterval = 500ms; ///< interval between announcements of unchanged rules
constexpr Base::Duration rulesSourceTimeout = 1200ms; ///< an entry that hasn't announced its rules for longer is no source of them
constexpr Base::Duration rulesRequestTimeout = 600ms; ///< after which another source is asked for an update
constexpr Base::Duration rulesBehindLimit = 1200ms; ///< an entry that is behind a source for longer reads the store itself
constexpr Base::Duration rulesBehindReportDelay = 1s;

constexpr Base::Duration minAuthorityExtension = 50ms; ///< shorter extensions of the owner's authority aren't reported to the owner
constexpr Base::Duration ownerSilenceTimeout = 700ms; ///< an owner without a presence key that is silent for longer is replaced

/// An owner with a presence key that is silent for longer is replaced by an entry that is linked to at least half of the others.
constexpr Base::Duration ownerUnreachableTimeout = 1200ms;
constexpr Base::Duration storeSilenceTimeout = 800ms; ///< the store counts as reachable for this long after a response
constexpr Base::Duration ownerCutOffTimeout = 600ms; ///< an owner that hasn't reached the store for longer is replaced

/// Longest delay of a claim after the owner's silence. The larger an entry's processor share, the shorter its delay.
constexpr Base::Duration claimDelayMax = 150ms;

/// How long a claim waits for entries with a larger processor share to claim first. They learn the reason for a claim at their next read
/// of the cluster at the latest.
constexpr Base::Duration largerEntryGracePeriod = 300ms;
constexpr Base::Duration claimRetryDelay = 50ms; ///< delay before a claim that the store refused, or that got no answer, is repeated
constexpr Base::Duration dialRetryDelay = 200ms;

constexpr Base::Duration submitTimeout = 1500ms; ///< a call that could not be forwarded to any owner for this long is answered without one
constexpr Base::Duration answerMargin = 40ms; ///< answers are sent this long before the caller stops waiting

} // namespace LaburnumFlow::EntryNode
