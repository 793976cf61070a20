#include "settingsservice.h"

#include "storeconstants.h"

#include "base/timerservice.h"
#include "base/uuid.h"
#include "settings/teamsettings.h"

#include <algorithm>
#include <random>
#include <variant>

namespace LaburnumFlow::Store {

/// An operator's change and the time at which its call must have ended.
struct Internal::SettingsChange {
    std::string team;
    std::string yaml;
    std::uint64_t expectedRevision = 0;
    std::string changeId;
    std::string author;
    Base::MonoTime endAt{};

    Base::Duration callTimeout() const
    {
        return std::min(settingsCallTimeout, endAt - Base::monoNow());
    }
};

using Internal::SettingsChange;

namespace {

/// The stored subtree of one team with the modRevision of its key.
struct StoredSubtree {
    std::optional<StoredSettings> settings;
    std::int64_t modRevision = 0;
};

/// How often the write was sent.
enum class Attempts {
    One,
    Several, ///< The response to an earlier attempt was lost
};

struct Written {
};

/// The key holds another value than expected, which may be this change if the response to an earlier attempt was lost.
struct Conflicting {
    KeyValue current;
};

/// No response was received, so the write may have taken effect.
struct OutcomeUnknown {
};

using SwapOutcome = std::variant<Written, Conflicting, OutcomeUnknown>;

std::string generateChangeId()
{
    std::random_device device;
    const auto random64 = [&device] { return (static_cast<std::uint64_t>(device()) << 32U) | device(); };
    const std::uint64_t high = random64();
    return Base::toString(Base::makeUuidV7(Base::wallNow(), high, random64()));
}

boost::leaf::result<SwapOutcome> trySwap(PlatformStore &store, const StoredSettings &newSettings, std::int64_t expectedModRevision, Base::Duration deadline)
{
    return boost::leaf::try_handle_some(
        [&]() -> boost::leaf::result<SwapOutcome> {
            if (auto written = store.compareAndSwap(settingsKey(newSettings.subtree.team), toJson(newSettings), expectedModRevision, deadline); !written) {
                return written.error();
            }
            return SwapOutcome(Written{});
        },
        [](const SwapConflict &conflict) -> boost::leaf::result<SwapOutcome> { return SwapOutcome(Conflicting{conflict.current}); },
        [](const StoreUnavailable &) -> boost::leaf::result<SwapOutcome> { return SwapOutcome(OutcomeUnknown{}); });
}

SettingsHistoryItem currentItem(const StoredSettings &settings)
{
    return {settings.subtree.revision, settings.subtree.changeId, settings.author, settings.wallMs, settings.subtree.yaml};
}

/// Returns the newest revision that matches, the current one included, or nothing.
template<class Matches>
std::optional<SettingsHistoryItem> findItem(const StoredSettings &settings, Matches matches)
{
    if (SettingsHistoryItem current = currentItem(settings); matches(current)) {
        return current;
    }
    const auto found = std::ranges::find_if(settings.history, matches);
    return found == settings.history.end() ? std::nullopt : std::optional(*found);
}

/// Returns the subtree as it was after the change with this id and text, or nothing if the history holds no such change.
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

bool hasRevision(const StoredSettings &settings, std::uint64_t revision)
{
    return findItem(settings, [revision](const SettingsHistoryItem &item) { return item.revision == revision; }).has_value();
}

StoredSettings emptySettings(std::string_view team)
{
    StoredSettings settings;
    settings.subtree.team = team;
    return settings;
}

boost::leaf::result<StoredSettings> parseOrEmpty(std::string_view team, const KeyValue &pair)
{
    if (pair.modRevision == 0) {
        return emptySettings(team);
    }
    return parseSettings(pair);
}

/// Returns the pair of the team's key, with modRevision 0 if the key does not exist.
boost::leaf::result<KeyValue> readPair(PlatformStore &store, std::string_view team, Base::Duration deadline)
{
    const std::string key = settingsKey(team);
    BOOST_LEAF_AUTO(found, store.range(key, deadline));
    // The range also returns teams whose names start with this team's name.
    const auto pair = std::ranges::find(found.pairs, key, &KeyValue::key);
    return pair == found.pairs.end() ? KeyValue{key, {}, 0} : std::move(*pair);
}

boost::leaf::result<StoredSubtree> readSubtree(PlatformStore &store, std::string_view team, Base::Duration deadline)
{
    BOOST_LEAF_AUTO(pair, readPair(store, team, deadline));
    if (pair.modRevision == 0) {
        return StoredSubtree{};
    }
    BOOST_LEAF_AUTO(settings, parseSettings(pair));
    return StoredSubtree{std::move(settings), pair.modRevision};
}

/// Returns the subtree after the change, with the stored revision as the newest of the history.
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

/// Reads the key and resends the write if the key is unchanged. Any error leaves the outcome unknown.
SwapOutcome checkAndResend(PlatformStore &store, const SettingsChange &change, const StoredSettings &newSettings, std::int64_t expectedModRevision)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<SwapOutcome> {
            BOOST_LEAF_AUTO(current, readPair(store, change.team, change.callTimeout()));
            if (current.modRevision != expectedModRevision) {
                return SwapOutcome(Conflicting{std::move(current)});
            }
            return trySwap(store, newSettings, expectedModRevision, change.callTimeout());
        },
        [] { return SwapOutcome(OutcomeUnknown{}); });
}

/// Looks for the change among the revisions of a key that has changed since the first attempt. Returns the change if it is
/// there.
boost::leaf::result<StoredSettings> resolveConflict(const SettingsChange &change, const KeyValue &current, Attempts attempts)
{
    BOOST_LEAF_AUTO(stored, parseOrEmpty(change.team, current));
    if (auto made = findChange(stored, change.changeId, change.yaml)) {
        return std::move(*made);
    }
    // The history is bounded and may no longer hold the revision that the change would have made.
    if (attempts == Attempts::Several && !hasRevision(stored, change.expectedRevision + 1)) {
        return boost::leaf::new_error(ChangeOutcomeUnknown{change.changeId});
    }
    return boost::leaf::new_error(SettingsConflict{std::move(stored)});
}

/// Returns the change if the store already holds it, or nothing if it can be made. Fails with SettingsConflict.
boost::leaf::result<std::optional<StoredSettings>> findEarlierResult(const SettingsChange &change, const StoredSubtree &stored)
{
    const StoredSettings current = stored.settings.value_or(emptySettings(change.team));
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
    BOOST_LEAF_AUTO(stored, readSubtree(store_, team, settingsCallTimeout));
    return std::move(stored.settings);
}

boost::leaf::result<std::vector<StoredSettings>> SettingsService::list()
{
    BOOST_LEAF_AUTO(found, store_.range(settingsPrefix, settingsTimeout));
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
    const std::string id = changeId.empty() ? generateChangeId() : std::string(changeId);
    const SettingsChange change{std::string(team), std::string(yaml), expectedRevision, id, std::string(author), Base::monoNow() + settingsTimeout};
    BOOST_LEAF_AUTO(stored, readSubtree(store_, team, change.callTimeout()));
    BOOST_LEAF_AUTO(made, findEarlierResult(change, stored));
    if (made) {
        return std::move(*made);
    }
    StoredSettings newSettings = withChange(stored.settings, change);
    BOOST_LEAF_AUTO(outcome, trySwap(store_, newSettings, stored.modRevision, change.callTimeout()));
    if (std::holds_alternative<Written>(outcome)) {
        return newSettings;
    }
    if (const auto *conflicting = std::get_if<Conflicting>(&outcome)) {
        return resolveConflict(change, conflicting->current, Attempts::One);
    }
    return resolveUnknownOutcome(change, newSettings, stored.modRevision);
}

boost::leaf::result<StoredSettings>
SettingsService::rollback(std::string_view team, std::uint64_t toRevision, std::uint64_t expectedRevision, std::string_view changeId, std::string_view author)
{
    BOOST_LEAF_AUTO(stored, get(team));
    const auto matches = [&](const SettingsHistoryItem &item) { return item.revision == toRevision || (!changeId.empty() && item.changeId == changeId); };
    const auto item = stored ? findItem(*stored, matches) : std::nullopt;
    if (!item) {
        return boost::leaf::new_error(NoSuchRevision{toRevision});
    }
    return set(team, item->yaml, expectedRevision, changeId, author);
}

/// Determines the outcome of a write whose response was lost. While the key is unchanged, the first write may still arrive.
/// Resending is safe, as the second one to arrive finds the modRevision of the other and fails.
boost::leaf::result<StoredSettings>
SettingsService::resolveUnknownOutcome(const SettingsChange &change, const StoredSettings &newSettings, std::int64_t expectedModRevision)
{
    // Starts without a delay, before further changes push this one out of the bounded history.
    for (Base::Duration delay = retryDelayInitial;; delay = std::min(2 * delay, retryDelayMax)) {
        const SwapOutcome outcome = checkAndResend(store_, change, newSettings, expectedModRevision);
        if (std::holds_alternative<Written>(outcome)) {
            return newSettings;
        }
        if (const auto *conflicting = std::get_if<Conflicting>(&outcome)) {
            return resolveConflict(change, conflicting->current, Attempts::Several);
        }
        if (change.endAt - Base::monoNow() <= delay || !waitUnlessStopped(delay)) {
            return boost::leaf::new_error(ChangeOutcomeUnknown{change.changeId});
        }
    }
}

bool SettingsService::waitUnlessStopped(Base::Duration duration)
{
    std::unique_lock lock(mutex_);
    return !stopRequested_.wait_for(lock, duration, [this] { return stopping_; });
}

void SettingsService::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    stopRequested_.notify_all();
}

} // namespace LaburnumFlow::Store
