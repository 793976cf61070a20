#pragma once

#include "ownership.h"

#include "jobs/messages.h"

#include "base/types.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Decides from whom an entry learns of new rules. A few entries, the rules readers, watch the document in the store and announce what they have to all
/// others, which ask them for the changes. An entry that hears no reader, or doesn't get a newer version in time, reads the store itself.
namespace LaburnumFlow::EntryNode {

struct RulesExchangeState {
    /// An entry that announces rules.
    struct Source {
        Jobs::RulesAnnouncement announced;
        Base::MonoTime heardAt{};
    };

    struct Request {
        std::string source;
        Base::MonoTime sentAt{};
        bool complete = false; ///< for all routes
    };

    Base::MonoTime now{};
    Jobs::RulesAnnouncement own; ///< the rules in force here; version 0 if there are none
    bool reader = false; ///< this entry is a rules reader
    bool storeAnswers = false; ///< the latest call for the rules has been answered
    bool needsCompleteUpdate = false; ///< changes didn't fit the rules in force
    std::map<std::string, Source> sources; ///< by name
    std::optional<Request> request; ///< in progress
    std::string lastAsked; ///< source of the latest request
    std::optional<Base::MonoTime> behindSince; ///< since when a newer version is known
    bool behindReported = false;
    bool announced = false; ///< the latest announcement says that the store answers
    Base::MonoTime announceNotBefore{};
};

// Events. TimePassed is shared with the ownership.

/// The rules in force have changed, or more changes of the store are known not to concern them.
struct OwnRules {
    Jobs::RulesAnnouncement rules;
};

/// The role of this entry, and whether the store answers its calls for the rules.
struct RulesReader {
    bool reader = false;
    bool storeAnswers = false;
};

struct RulesAnnounced {
    std::string name;
    Jobs::RulesAnnouncement announcement;
};

/// The link to an entry has ended.
struct RulesSourceLost {
    std::string name;
};

/// An update has arrived.
struct RulesUpdateArrived {
    std::string name;
    bool fits = false; ///< it began at the rules in force and was well-formed
};

using RulesExchangeEvent = std::variant<TimePassed, OwnRules, RulesReader, RulesAnnounced, RulesSourceLost, RulesUpdateArrived>;

// Effects.

/// Sends the announcement to all linked entries.
struct AnnounceRules {
    Jobs::RulesAnnouncement announcement;
};

struct RequestRulesUpdate {
    std::string name;
    Jobs::RulesRequest request;
};

/// A source has the same rules as this entry, and knows more changes of the store that don't concern them.
struct RulesConfirmed {
    Jobs::RulesAnnouncement announcement;
};

/// This entry has had older rules than a source for longer than rulesBehindReportDelay.
struct RulesBehind {
    std::uint64_t version = 0; ///< in force here
    std::uint64_t newestVersion = 0;
    std::string source;
    Base::Duration age{};
};

using RulesExchangeEffect = std::variant<AnnounceRules, RequestRulesUpdate, RulesConfirmed, RulesBehind>;
using RulesExchangeEffects = std::vector<RulesExchangeEffect>;

/// Applies an event to the state and returns the effects to execute. Time advances only with TimePassed.
RulesExchangeEffects reduce(RulesExchangeState &state, const RulesExchangeEvent &event);

/// Returns when the next TimePassed is due, or no value if none is needed.
std::optional<Base::MonoTime> nextDue(const RulesExchangeState &state);

/// Returns whether other entries keep this one up to date, so that it need not watch the store.
bool followsPeers(const RulesExchangeState &state);

/// Returns the newest version that this entry knows of, in force or not.
std::uint64_t newestVersion(const RulesExchangeState &state);

/// Returns whether this entry is a rules reader: one of the rulesReaders present entries with the widest links, the owner excepted, as a large document
/// would delay its calls.
bool isRulesReader(const OwnershipState &ownership);

} // namespace LaburnumFlow::EntryNode
