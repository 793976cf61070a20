#pragma once

#include "ownerstate.h"

#include <optional>
#include <span>
#include <vector>

namespace LaburnumFlow::Jobs {

/// The contents of the store when an entry becomes the owner.
struct StoredJobs {
    OwnerRecord owner; ///< Written by this entry.
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

/// Returns the initial state of a new owner. The agents in the owner record may run tasks that a former owner started.
OwnerState takeOver(StoredJobs stored, Base::MonoTime now, Base::WallTime wall, const OwnerSettings &settings = {});

/// Handles an event and returns the resulting effects. Time advances only with TimePassed, which must precede the other events of each round.
OwnerEffects reduce(OwnerState &state, const OwnerEvent &event);

/// Returns when TimePassed is needed next.
std::optional<Base::MonoTime> nextDue(const OwnerState &state);

} // namespace LaburnumFlow::Jobs
