#pragma once

#include "ownership.h"

#include "base/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Keeps an entry's rules up to date: reads the document once and then watches its key, so that an unchanged document is not transferred again.
namespace LaburnumFlow::EntryNode {

/// The rules document at a revision of the store.
struct RulesText {
    std::string text;
    std::int64_t revision = 0; ///< of the latest change of the document
};

/// What the store has told of its own revision, which rises with each change of any key.
struct WatchStart {
    std::int64_t revision = 0;
    Base::MonoTime heardAt{};
};

struct RulesFeedState {
    enum class Phase : std::uint8_t {
        Waiting, ///< for the time of the next call
        Reading,
        Watching,
    };

    Phase phase = Phase::Waiting;
    Base::MonoTime now{};
    Base::MonoTime callNotBefore{};
    Base::MonoTime callStartedAt{}; ///< of the latest call
    Base::MonoTime readStartedAt{}; ///< of the latest read of the document
    std::int64_t watchAfter = 0; ///< changes of the document up to this revision are known; 0 if the document must be read
    std::optional<WatchStart> nextWatchAfter; ///< from an answer without changes; replaces watchAfter once a later answer confirms it
    std::int64_t adoptedRevision = 0; ///< of the latest document
    bool storeAnswers = false; ///< the latest call that has ended got an answer
    bool followsPeers = false; ///< other entries keep this one up to date, so that it makes no calls once it has a document
    bool readsForOthers = false; ///< other entries rely on this one's calls
};

// Events. TimePassed is shared with the ownership.

/// A read of the document has ended.
struct RulesRead {
    std::optional<RulesText> document; ///< no value if the read failed or there is no document
    std::int64_t storeRevision = 0; ///< 0 if the read failed
};

/// A watch has ended.
struct RulesWatched {
    enum class Outcome : std::uint8_t {
        Answered,
        HistoryLost, ///< the store no longer knows the changes after the revision of the watch
        Failed,
    };

    Outcome outcome = Outcome::Failed;
    std::int64_t changedAt = 0; ///< with Answered: revision of the newest change; 0 if there was none
    std::optional<RulesText> document; ///< with Answered: newest document among the changes
    std::int64_t storeRevision = 0; ///< with Answered
};

/// Who relies on whom for the rules.
struct RulesRole {
    bool followsPeers = false; ///< other entries keep this one up to date
    bool readsForOthers = false; ///< this entry keeps others up to date
};

/// Another entry has passed on the document of the revision, or the knowledge that it is still the newest.
struct RulesLearned {
    std::int64_t revision = 0;
    std::int64_t watchAfter = 0; ///< the other entry knows all changes of the document up to this revision of the store
};

using RulesFeedEvent = std::variant<TimePassed, RulesRead, RulesWatched, RulesRole, RulesLearned>;

// Effects.

struct ReadRules {
};

/// Waits for a change after the revision, for the given time at most.
struct WatchRules {
    std::int64_t after = 0;
    Base::Duration wait{};
};

/// A document that is newer than all former ones has arrived.
struct AdoptRules {
    RulesText document;
};

using RulesFeedEffect = std::variant<ReadRules, WatchRules, AdoptRules>;
using RulesFeedEffects = std::vector<RulesFeedEffect>;

/// Applies an event to the state and returns the effects to execute. Time advances only with TimePassed.
RulesFeedEffects reduce(RulesFeedState &state, const RulesFeedEvent &event);

/// Returns when the next TimePassed is due, or no value while a call is in progress or none is needed.
std::optional<Base::MonoTime> nextDue(const RulesFeedState &state);

} // namespace LaburnumFlow::EntryNode
