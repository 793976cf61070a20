#pragma once

#include "jobs/messages.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace LaburnumFlow::EntryNode {

/// Why nobody waits for the answer to a call any more.
enum class Unattended : std::uint8_t {
    CallerGone, ///< The caller has closed its connection.
    DeadlinePassed, ///< The caller's timeout has ended.
};

std::string_view toString(Unattended reason);

/// What an entry knows of the caller when it is about to hand the call to the owner.
struct Attendance {
    bool callerGone = false;
    Base::Duration waited{}; ///< since the call arrived
    std::optional<Base::Duration> callerTimeout = {}; ///< how long the caller waits for the answer; empty if it doesn't say
};

/// Returns how long the caller waits from now on; empty if it doesn't say.
std::optional<Base::Duration> remainingTimeout(const Attendance &attendance);

/// Returns why the call must not be handed on; nothing if it may be. Calls wait unread while the process is suspended, and a job whose caller has left may have been
/// cancelled elsewhere meanwhile. Cancellations are handed on in any case, as they are what their callers want done whether or not they learn of it.
std::optional<Unattended> whyUnattended(const Jobs::Call &call, const Attendance &attendance);

} // namespace LaburnumFlow::EntryNode
