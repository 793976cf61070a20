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
    bool idKnownOnlyHere = false; ///< This entry generated the id for this request and sent it nowhere else
};

/// The waiter was added to a submission of the ledger and is answered when that ends.
struct Attached {
};

/// The job can be neither accepted nor refused before the takeover or handover has ended.
struct Deferred {
};

using Acceptance = std::variant<Attached, Deferred, Protocol::JobAnswer>;

/// Attaches the waiter to the submission if the ledger has it; accepts, refuses or defers the job otherwise.
Acceptance acceptJob(Context &context, const IncomingJob &job);

/// Stops the submission if it belongs to the team. Returns its status, with the phase Unknown for another team's.
Protocol::JobStatus cancelJob(Context &context, const Base::Uuid &id, std::string_view team);

} // namespace LaburnumFlow::Dispatch::Internal
