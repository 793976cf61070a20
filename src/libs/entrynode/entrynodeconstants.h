#pragma once

#include "base/types.h"

#include <chrono>

namespace LaburnumFlow::EntryNode {

using namespace std::chrono_literals;

constexpr Base::Duration clusterReadInterval = 250ms; ///< between reads of the owner record and the entries
constexpr Base::Duration presenceRenewalInterval = 300ms; ///< between renewals of the presence lease, whose shortest term is 1 s
constexpr Base::Duration heartbeatInterval = 200ms; ///< from the owner to the other entries
constexpr Base::Duration ownerSilenceTimeout = 700ms; ///< an owner without presence that is silent for this long is replaced
constexpr Base::Duration ownerUnreachableTimeout = 1200ms; ///< the same for one that is present, if most entries can be reached
constexpr Base::Duration storeSilenceTimeout = 800ms; ///< the store counts as reachable for this long after an answer
constexpr Base::Duration ownerCutOffTimeout = 600ms; ///< an owner that has not reached the store for this long is replaced
constexpr Base::Duration claimDelayMax = 150ms; ///< the longest delay of a claim after a silence; entries with more processor come first
constexpr Base::Duration largerEntryGracePeriod = 300ms; ///< a claim waits this long for entries with more processor, which learn the reason within a read
constexpr Base::Duration dialRetryDelay = 200ms;

constexpr Base::Duration submitTimeout = 1500ms; ///< a submission that no owner has seen for this long is refused
constexpr Base::Duration answerMargin = 40ms; ///< answers leave this long before the caller stops waiting

} // namespace LaburnumFlow::EntryNode
