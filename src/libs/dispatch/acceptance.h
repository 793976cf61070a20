#pragma once

#include "context.h"

#include <variant>

namespace LaburnumFlow::Dispatch::Internal {

/// A job that arrived at the owner of its partition.
struct IncomingJob {
    Waiter waiter;
    Base::Uuid submission;
    BodyPointer body;
    Protocol::Partition partition = 0;
    Base::MonoTime deadline{};
    bool idKnownOnlyHere = false; ///< the id was made here for this request and sent nowhere else
};

/// The waiter was added to a submission of the ledger and is answered when it ends.
struct Attached {
};

/// Nothing can be said before the takeover or handover has ended.
struct Deferred {
};

using Acceptance = std::variant<Attached, Deferred, Protocol::JobAnswer>;

/// Looks the submission up in the ledger, and admits or refuses it if it is new.
Acceptance acceptJob(Context &context, const IncomingJob &job);

/// Stops a submission of the team and returns its status.
Protocol::JobStatus cancelJob(Context &context, const Base::Uuid &id, std::string_view team);

} // namespace LaburnumFlow::Dispatch::Internal
