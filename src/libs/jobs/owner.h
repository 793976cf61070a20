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
    struct Pack {
        std::string key;
        JobPack content;
    };
    std::vector<Pack> packs;
    struct Segment {
        std::string key;
        FinishedSegment content;
    };
    std::vector<Segment> finished;
};

/// The state with which an entry begins to own the jobs. The agents of the owner record may run tasks that a former
/// owner started.
OwnerState takeOver(StoredJobs stored, Base::MonoTime now, Base::WallTime wall);

/// The owner's decisions. Time enters with TimePassed, which must precede the events of each round.
OwnerEffects reduce(OwnerState &state, const OwnerEvent &event);

/// When TimePassed is needed next.
std::optional<Base::MonoTime> nextDue(const OwnerState &state);

} // namespace LaburnumFlow::Jobs
