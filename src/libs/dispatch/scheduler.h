#pragma once

#include "context.h"

namespace LaburnumFlow::Dispatch::Internal {

/// Starts queued tasks while agents have room.
void schedule(Context &context);

/// Queues parked tasks again whose partition is served.
void unpark(Context &context);

} // namespace LaburnumFlow::Dispatch::Internal
