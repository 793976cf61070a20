#include "attendance.h"

namespace LaburnumFlow::EntryNode {

std::string_view toString(Unattended reason)
{
    switch (reason) {
    case Unattended::CallerGone:
        return "caller-gone";
    }
    return "unknown";
}

std::optional<Unattended> whyUnattended(const Jobs::Call &call, const Attendance &attendance)
{
    if (std::holds_alternative<Jobs::CancelCall>(call)) {
        return std::nullopt;
    }
    return attendance.callerGone ? std::optional(Unattended::CallerGone) : std::nullopt;
}

} // namespace LaburnumFlow::EntryNode
