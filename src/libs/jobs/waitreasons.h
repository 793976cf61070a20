#pragma once

#include "ownerstate.h"

#include <string_view>

namespace LaburnumFlow::Jobs {

/// Why ready tasks of a step have no worker.
enum class WaitReason : std::uint8_t {
    NoWorker, ///< No worker of the service has the label and takes work.
    TooLarge, ///< No such worker is large enough for one task.
    NoTicket, ///< The advice service hasn't allowed a worker.
    NoRoom, ///< No worker has room, or not enough of them for a gang.
    HeldBack, ///< Workers have room, but not for these tasks: it is reserved, they have failed there or would run too slowly, or a former run must end first.
};

/// Returns the reason as it appears in logs.
std::string_view toString(WaitReason reason);

WaitReason waitReason(const OwnerState &state, const Job &job, StepIndex step);

} // namespace LaburnumFlow::Jobs
