#pragma once

#include "ownerstate.h"

#include <optional>
#include <span>
#include <vector>

namespace LaburnumFlow::Jobs {

/// What a new owner finds in the store.
struct StoredJobs {
    OwnerRecord owner; ///< written by this entry
    std::int64_t ownerRevision = 0;
    std::vector<JobRecord> jobs;
    struct Segment {
        std::string key;
        FinishedSegment content;
    };
    std::vector<Segment> finished;
};

/// Which agents may run tasks that a former owner started.
struct FormerAgents {
    bool known = false;
    std::vector<std::string> names;
};

/// The state with which an entry begins to own the jobs.
OwnerState takeOver(StoredJobs stored, const FormerAgents &former, Base::MonoTime now, Base::WallTime wall);

/// The owner's decisions. Time enters with TimePassed, which must precede the events of each round.
OwnerEffects reduce(OwnerState &state, const OwnerEvent &event);

/// When TimePassed is needed next.
std::optional<Base::MonoTime> nextDue(const OwnerState &state);

/// The names of agents whose workers may run tasks.
std::vector<std::string> agentsInUse(const OwnerState &state);

} // namespace LaburnumFlow::Jobs
