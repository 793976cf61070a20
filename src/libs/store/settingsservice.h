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

/// Another operator changed the subtree meanwhile.
struct SettingsConflict {
    StoredSettings current;
};

/// Whether the change took effect could not be found out within the deadline; look for its change id later.
struct ChangeOutcomeUnknown {
    std::string changeId;
};

struct NoSuchRevision {
    std::uint64_t revision = 0;
};

/// The operators' changes of settings, each a compare-and-swap on one subtree. Blocking, thread-safe.
class SettingsService
{
public:
    explicit SettingsService(PlatformStore &store);

    /// The stored subtree, or nothing if the team has none. Fails with the store's errors or MalformedValue.
    boost::leaf::result<std::optional<StoredSettings>> get(std::string_view team);

    /// All subtrees, root included. Fails with the store's errors or MalformedValue.
    boost::leaf::result<std::vector<StoredSettings>> list();

    /// Checks the text, then replaces the subtree if its revision equals expectedRevision (0: it must not exist); the
    /// new revision is one higher. A lost answer is settled by reading back changeId, within settingsTimeout. A call that
    /// repeats a changeId with the same text returns the change as it was made; an empty changeId is replaced by a new
    /// one. Fails with Settings::SettingsFaults, SettingsConflict (revision 0 if there is no subtree), ChangeOutcomeUnknown,
    /// StoreUnavailable (certainly not written), StoreRefused, BudgetExhausted, ValueTooLarge or MalformedValue.
    boost::leaf::result<StoredSettings>
    set(std::string_view team, std::string_view yaml, std::uint64_t expectedRevision, std::string_view changeId, std::string_view author);

    /// Sets the text of an earlier revision again, under a new, higher revision. Fails as set(), or with NoSuchRevision.
    boost::leaf::result<StoredSettings>
    rollback(std::string_view team, std::uint64_t toRevision, std::uint64_t expectedRevision, std::string_view changeId, std::string_view author);

    /// Ends the pauses of calls that look for a lost write, now and later; they then report what they know. For shutdown.
    void stop();

private:
    boost::leaf::result<StoredSettings>
    resolveUnknownOutcome(const Internal::SettingsChange &change, const StoredSettings &newSettings, std::int64_t expectedModRevision);
    bool waitUnlessStopped(Base::Duration duration);

    PlatformStore &store_;
    std::mutex mutex_;
    std::condition_variable stopRequested_;
    bool stopping_ = false;
};

} // namespace LaburnumFlow::Store
