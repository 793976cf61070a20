#include "attendance.h"

#include <algorithm>

namespace LaburnumFlow::EntryNode {

std::string_view toString(Unattended reason)
{
    switch (reason) {
    case Unattended::CallerGone:
        return "caller-gone";
    case Unattended::DeadlinePassed:
        return "deadline-passed";
    }
    return "unknown";
}

std::optional<Base::Duration> remainingTimeout(const Attendance &attendance)
{
    if (!attendance.callerTimeout) {
        return std::nullopt;
    }
    return std::max(*attendance.callerTimeout - attendance.waited, Base::Duration::zero());
}

std::optional<Unattended> whyUnattended(const Jobs::Call &call, const Attendance &attendance)
{
    if (std::holds_alternative<Jobs::CancelCall>(call)) {
        return std::nullopt;
    }
    if (attendance.callerGone) {
        return Unattended::CallerGone;
    }
    const bool isLate = attendance.callerTimeout && attendance.waited >= *attendance.callerTimeout;
    return isLate ? std::optional(Unattended::DeadlinePassed) : std::nullopt;
}

} // namespace LaburnumFlow::EntryNode
