#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Starts queued tasks while agents have free capacity.
void startQueuedTasks(Context &context);

/// Queues suspended tasks again if this entry serves their partition.
void resumeSuspendedTasks(Context &context);

} // namespace LaburnumFlow::Dispatch::Internal
