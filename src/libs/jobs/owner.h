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

/// Handles an event and returns the resulting effects. Time advances only with TimePassed, which must precede the other events of each round. No task starts and no
/// orders are sent before endTurn(), which costs as much for many events as for one.
OwnerEffects handleEvent(OwnerState &state, const OwnerEvent &event);

/// Places tasks, sends orders to the agents and starts a commit, as far as the events since the last turn demand it. TimePassed must precede it, as orders may only be
/// sent while the owner has authority.
OwnerEffects endTurn(OwnerState &state);

/// Handles an event in a turn of its own.
OwnerEffects reduce(OwnerState &state, const OwnerEvent &event);

/// Returns when TimePassed is needed next.
std::optional<Base::MonoTime> nextDue(const OwnerState &state);

} // namespace LaburnumFlow::Jobs
