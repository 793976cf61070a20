#include "settingsservice.h"

#include "storeconstants.h"

#include "base/timerservice.h"
#include "base/uuid.h"
#include "settings/teamsettings.h"

#include <algorithm>
#include <random>
#include <variant>

namespace LaburnumFlow::Store {

/// An operator's change and when its call must end.
struct Internal::SettingsChange {
    std::string team;
    std::string yaml;
    std::uint64_t expectedRevision = 0;
    std::string changeId;
    std::string author;
    Base::MonoTime end{};

    Base::Duration callDeadline() const
    {
        return std::min(settingsCallDeadline, end - Base::monoNow());
    }
};

using Internal::SettingsChange;

namespace {

/// What the store has for one key.
struct Stored {
    std::optional<StoredSettings> settings;
    std::int64_t modRevision = 0;
};

/// Whether the change had been sent before, with its answer lost.
enum class Sent {
    Once,
    Before,
};

struct Swapped {
};

/// Another value was there; it may be this change, if an earlier answer was lost.
struct Overtaken {
    KeyValue current;
};

/// The write may have taken effect.
struct AnswerLost {
};

using SwapOutcome = std::variant<Swapped, Overtaken, AnswerLost>;

std::string newChangeId()
{
    std::random_device device;
    const auto random64 = [&device] { return (static_cast<std::uint64_t>(device()) << 32U) | device(); };
    const std::uint64_t high = random64();
    return Base::toString(Base::makeUuidV7(Base::wallNow(), high, random64()));
}

boost::leaf::result<SwapOutcome> trySwap(PlatformStore &store, const StoredSettings &wanted, std::int64_t expectedModRevision, Base::Duration deadline)
{
    return boost::leaf::try_handle_some(
        [&]() -> boost::leaf::result<SwapOutcome> {
            if (auto written = store.compareAndSwap(settingsKey(wanted.subtree.team), toJson(wanted), expectedModRevision, deadline); !written) {
                return written.error();
            }
            return SwapOutcome(Swapped{});
        },
        [](const SwapConflict &conflict) -> boost::leaf::result<SwapOutcome> { return SwapOutcome(Overtaken{conflict.current}); },
        [](const StoreUnavailable &) -> boost::leaf::result<SwapOutcome> { return SwapOutcome(AnswerLost{}); });
}

SettingsHistoryItem currentItem(const StoredSettings &settings)
{
    return {settings.subtree.revision, settings.subtree.changeId, settings.author, settings.wallMs, settings.subtree.yaml};
}

/// The current or an earlier revision that matches, or nothing.
template<class Matches>
std::optional<SettingsHistoryItem> findItem(const StoredSettings &settings, Matches matches)
{
    if (SettingsHistoryItem current = currentItem(settings); matches(current)) {
        return current;
    }
    const auto found = std::ranges::find_if(settings.history, matches);
    return found == settings.history.end() ? std::nullopt : std::optional(*found);
}

/// The subtree as the change with this id and text left it, or nothing if no such change is known.
std::optional<StoredSettings> findChange(const StoredSettings &settings, std::string_view changeId, std::string_view yaml)
{
    const auto item = findItem(settings, [&](const SettingsHistoryItem &candidate) { return candidate.changeId == changeId && candidate.yaml == yaml; });
    if (!item) {
        return std::nullopt;
    }
    StoredSettings change;
    change.subtree = {settings.subtree.team, item->revision, item->changeId, item->yaml};
    change.author = item->author;
    change.wallMs = item->wallMs;
    std::ranges::copy_if(settings.history, std::back_inserter(change.history), [&](const auto &earlier) { return earlier.revision < item->revision; });
    return change;
}

bool knowsRevision(const StoredSettings &settings, std::uint64_t revision)
{
    return findItem(settings, [revision](const SettingsHistoryItem &item) { return item.revision == revision; }).has_value();
}

StoredSettings noSettings(std::string_view team)
{
    StoredSettings settings;
    settings.subtree.team = team;
    return settings;
}

boost::leaf::result<StoredSettings> parseOrNone(std::string_view team, const KeyValue &pair)
{
    if (pair.modRevision == 0) {
        return noSettings(team);
    }
    return parseSettings(pair);
}

/// The pair of the team's key, with modRevision 0 if there is none.
boost::leaf::result<KeyValue> readPair(PlatformStore &store, std::string_view team, Base::Duration deadline)
{
    const std::string key = settingsKey(team);
    BOOST_LEAF_AUTO(found, store.range(key, deadline));
    // The prefix also matches the keys of teams whose names start with this one's.
    const auto pair = std::ranges::find(found.pairs, key, &KeyValue::key);
    return pair == found.pairs.end() ? KeyValue{key, {}, 0} : std::move(*pair);
}

boost::leaf::result<Stored> read(PlatformStore &store, std::string_view team, Base::Duration deadline)
{
    BOOST_LEAF_AUTO(pair, readPair(store, team, deadline));
    if (pair.modRevision == 0) {
        return Stored{};
    }
    BOOST_LEAF_AUTO(settings, parseSettings(pair));
    return Stored{std::move(settings), pair.modRevision};
}

/// The stored subtree with the change on top.
StoredSettings withChange(const std::optional<StoredSettings> &stored, const SettingsChange &change)
{
    StoredSettings next;
    next.subtree = {change.team, 1, change.changeId, change.yaml};
    next.author = change.author;
    next.wallMs = Base::wallNow().count();
    if (stored) {
        next.subtree.revision = stored->subtree.revision + 1;
        next.history = stored->history;
        next.history.insert(next.history.begin(), currentItem(*stored));
        next.history.resize(std::min(next.history.size(), maxHistory));
    }
    return next;
}

/// Reads the key; while it is unchanged, sends the write again. Any failure leaves the answer lost.
SwapOutcome look(PlatformStore &store, const SettingsChange &change, const StoredSettings &wanted, std::int64_t expectedModRevision)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<SwapOutcome> {
            BOOST_LEAF_AUTO(current, readPair(store, change.team, change.callDeadline()));
            if (current.modRevision != expectedModRevision) {
                return SwapOutcome(Overtaken{std::move(current)});
            }
            return trySwap(store, wanted, expectedModRevision, change.callDeadline());
        },
        [] { return SwapOutcome(AnswerLost{}); });
}

/// Whether the change is among the revisions of a key that has changed since it was sent.
boost::leaf::result<StoredSettings> judge(const SettingsChange &change, const KeyValue &current, Sent sent)
{
    BOOST_LEAF_AUTO(stored, parseOrNone(change.team, current));
    if (auto made = findChange(stored, change.changeId, change.yaml)) {
        return std::move(*made);
    }
    // The history may have been cut down to a part without the change.
    if (sent == Sent::Before && !knowsRevision(stored, change.expectedRevision + 1)) {
        return boost::leaf::new_error(ChangeOutcomeUnknown{change.changeId});
    }
    return boost::leaf::new_error(SettingsConflict{std::move(stored)});
}

/// The change if the store has it already, nothing if it can be made. Fails with SettingsConflict.
boost::leaf::result<std::optional<StoredSettings>> madeBefore(const SettingsChange &change, const Stored &stored)
{
    const StoredSettings current = stored.settings.value_or(noSettings(change.team));
    std::optional<StoredSettings> made = findChange(current, change.changeId, change.yaml);
    if (!made && current.subtree.revision != change.expectedRevision) {
        return boost::leaf::new_error(SettingsConflict{current});
    }
    return made;
}

} // namespace

SettingsService::SettingsService(PlatformStore &store) : store_(store) { }

boost::leaf::result<std::optional<StoredSettings>> SettingsService::get(std::string_view team)
{
    BOOST_LEAF_AUTO(stored, read(store_, team, settingsCallDeadline));
    return std::move(stored.settings);
}

boost::leaf::result<std::vector<StoredSettings>> SettingsService::list()
{
    BOOST_LEAF_AUTO(found, store_.range(settingsPrefix, settingsLimit));
    std::vector<StoredSettings> all;
    for (const KeyValue &pair : found.pairs) {
        BOOST_LEAF_AUTO(settings, parseSettings(pair));
        all.push_back(std::move(settings));
    }
    return all;
}

boost::leaf::result<StoredSettings>
SettingsService::set(std::string_view team, std::string_view yaml, std::uint64_t expectedRevision, std::string_view changeId, std::string_view author)
{
    if (yaml.size() > maxValueBytes) {
        return boost::leaf::new_error(ValueTooLarge{yaml.size()});
    }
    if (auto checked = Settings::checkSubtree(team, yaml); !checked) {
        return checked.error();
    }
    const std::string id = changeId.empty() ? newChangeId() : std::string(changeId);
    const SettingsChange change{std::string(team), std::string(yaml), expectedRevision, id, std::string(author), Base::monoNow() + settingsLimit};
    BOOST_LEAF_AUTO(stored, read(store_, team, change.callDeadline()));
    BOOST_LEAF_AUTO(made, madeBefore(change, stored));
    if (made) {
        return std::move(*made);
    }
    StoredSettings wanted = withChange(stored.settings, change);
    BOOST_LEAF_AUTO(outcome, trySwap(store_, wanted, stored.modRevision, change.callDeadline()));
    if (std::holds_alternative<Swapped>(outcome)) {
        return wanted;
    }
    if (const auto *overtaken = std::get_if<Overtaken>(&outcome)) {
        return judge(change, overtaken->current, Sent::Once);
    }
    return settle(change, wanted, stored.modRevision);
}

boost::leaf::result<StoredSettings>
SettingsService::rollback(std::string_view team, std::uint64_t toRevision, std::uint64_t expectedRevision, std::string_view changeId, std::string_view author)
{
    BOOST_LEAF_AUTO(stored, get(team));
    const auto wanted = [&](const SettingsHistoryItem &item) { return item.revision == toRevision || (!changeId.empty() && item.changeId == changeId); };
    const auto item = stored ? findItem(*stored, wanted) : std::nullopt;
    if (!item) {
        return boost::leaf::new_error(NoSuchRevision{toRevision});
    }
    return set(team, item->yaml, expectedRevision, changeId, author);
}

/// Finds out what became of a write whose answer was lost. While the key is unchanged the write may still be on its way,
/// so it is sent again: whichever arrives second finds the other's modRevision.
boost::leaf::result<StoredSettings> SettingsService::settle(const SettingsChange &change, const StoredSettings &wanted, std::int64_t expectedModRevision)
{
    // The first look follows at once, before the history has moved on.
    for (Base::Duration wait = firstRetryPause;; wait = std::min(2 * wait, longestRetryPause)) {
        const SwapOutcome outcome = look(store_, change, wanted, expectedModRevision);
        if (std::holds_alternative<Swapped>(outcome)) {
            return wanted;
        }
        if (const auto *overtaken = std::get_if<Overtaken>(&outcome)) {
            return judge(change, overtaken->current, Sent::Before);
        }
        if (change.end - Base::monoNow() <= wait || !pause(wait)) {
            return boost::leaf::new_error(ChangeOutcomeUnknown{change.changeId});
        }
    }
}

bool SettingsService::pause(Base::Duration duration)
{
    std::unique_lock lock(mutex_);
    return !stopped_.wait_for(lock, duration, [this] { return stopping_; });
}

void SettingsService::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    stopped_.notify_all();
}

} // namespace LaburnumFlow::Store
