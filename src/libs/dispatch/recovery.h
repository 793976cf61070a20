#pragma once

#include "context.h"

#include <span>

namespace LaburnumFlow::Dispatch::Internal {

/// Adds what an agent reports about a partition that is being taken over.
void recoverAttempts(Context &context, const Cluster::AttemptsRecovered &change);

/// Adds the submissions that a leaving owner handed over.
void receiveLedger(Context &context, const Cluster::LedgerReceived &change);

/// Asks the agents for attempts that were taken over, so that their updates come here.
void queryRecoveredAttempts(Context &context, std::span<const Protocol::Partition> partitions);

/// Forgets the submissions of partitions that have another owner. Attempts go on; their updates go to that owner.
void forgetPartitions(Context &context, std::span<const Protocol::Partition> partitions);

} // namespace LaburnumFlow::Dispatch::Internal
