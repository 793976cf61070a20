#pragma once

#include "context.h"

#include <span>

namespace LaburnumFlow::Dispatch::Internal {

/// Adds the attempts that an agent reports for partitions that are being taken over.
void recoverAttempts(Context &context, const Cluster::AttemptsRecovered &change);

/// Adds the submissions that the former owner handed over.
void receiveLedger(Context &context, const Cluster::LedgerReceived &change);

/// Queries the agents for attempts that were taken over, so that they send further updates to this entry.
void queryRecoveredAttempts(Context &context, std::span<const Protocol::Partition> partitions);

/// Removes the submissions of partitions that have another owner. Their attempts go on and are reported to that owner.
void forgetPartitions(Context &context, std::span<const Protocol::Partition> partitions);

} // namespace LaburnumFlow::Dispatch::Internal
