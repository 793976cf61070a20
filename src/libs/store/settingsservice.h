#pragma once

#include "platformstore.h"
#include "settings/settingsfault.h"
#include "storecodec.h"

#include <boost/leaf.hpp>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace LaburnumFlow::Store {

namespace Internal {
struct SettingsChange;
} // namespace Internal

/// The subtree's revision is not the expected one, as after a change by another operator.
struct SettingsConflict {
    StoredSettings current;
};

/// Whether the change took effect could not be determined in time. The caller finds it later by its change id, or repeats the
/// call with the same id.
struct ChangeOutcomeUnknown {
    std::string changeId;
};

/// The subtree has no such revision, or its history no longer holds it.
struct NoSuchRevision {
    std::uint64_t revision = 0;
};

/// Reads and changes the settings of teams. Each change is a compare-and-swap on one subtree. Calls block. Thread-safe.
class SettingsService
{
public:
    explicit SettingsService(PlatformStore &store);

    /// Returns the stored subtree, or nothing if the team has none. Fails with the store's errors or MalformedValue.
    boost::leaf::result<std::optional<StoredSettings>> get(std::string_view team);

    /// Returns all subtrees, including the root's. Fails with the store's errors or MalformedValue.
    boost::leaf::result<std::vector<StoredSettings>> list();

    /// Checks the text, then replaces the subtree if its revision equals expectedRevision (0: it must not exist) and
    /// increments the revision. If the response to the write is lost, reads the subtree back and looks for changeId, within
    /// settingsTimeout. A call that repeats a changeId with the same text returns the change as it was made; an empty
    /// changeId is replaced by a generated one. Fails with Settings::SettingsFaults, SettingsConflict (revision 0 if there is
    /// no subtree), ChangeOutcomeUnknown, StoreUnavailable (nothing was written), StoreRefused, BudgetExhausted,
    /// ValueTooLarge or MalformedValue.
    boost::leaf::result<StoredSettings>
    set(std::string_view team, std::string_view yaml, std::uint64_t expectedRevision, std::string_view changeId, std::string_view author);

    /// Writes the text of an earlier revision as a new, higher revision. Fails like set(), or with NoSuchRevision.
    boost::leaf::result<StoredSettings>
    rollback(std::string_view team, std::uint64_t toRevision, std::uint64_t expectedRevision, std::string_view changeId, std::string_view author);

    /// Ends the waits between retries of present and later calls, which then fail with ChangeOutcomeUnknown if the outcome is
    /// still unknown. Called at shutdown.
    void stop();

private:
    boost::leaf::result<StoredSettings>
    resolveUnknownOutcome(const Internal::SettingsChange &change, const StoredSettings &newSettings, std::int64_t expectedModRevision);
    /// Waits for the duration. Returns false as soon as stop() was called.
    bool waitUnlessStopped(Base::Duration duration);

    PlatformStore &store_;
    std::mutex mutex_;
    std::condition_variable stopRequested_;
    bool stopping_ = false;
};

} // namespace LaburnumFlow::Store
