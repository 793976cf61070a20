#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Starts queued tasks while agents have room.
void startQueuedTasks(Context &context);

/// Queues parked tasks again whose partition is served.
void resumeSuspendedTasks(Context &context);

} // namespace LaburnumFlow::Dispatch::Internal
