#pragma once

#include "mapworker.h"
#include "storeworkerconstants.h"

#include "base/counters.h"
#include "base/types.h"
#include "store/platformstore.h"

#include <boost/leaf.hpp>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace LaburnumFlow::Entry {

/// Reads all settings at the start and after an error, then watches them, on a thread named "store-watch". Posts
/// SettingsRead. Malformed values are counted and left out.
class SettingsWatcher
{
public:
    /// readInterval is the least time between two reads of all settings while watches fail.
    SettingsWatcher(Store::PlatformStore &store,
                    Base::Duration callDeadline,
                    Base::CounterRegistry &counters,
                    PostEvent post,
                    Base::Duration readInterval = settingsReadInterval);
    ~SettingsWatcher();
    SettingsWatcher(const SettingsWatcher &) = delete;
    SettingsWatcher &operator=(const SettingsWatcher &) = delete;

    /// Waits for the call that is being made, at most watchDeadline or the call deadline.
    void stop();

private:
    void run();
    bool stopping();
    bool waitUntil(Base::MonoTime time);
    boost::leaf::result<std::int64_t> readAll();
    boost::leaf::result<std::int64_t> watchOnce(std::int64_t afterRevision);
    void watchFrom(std::int64_t storeRevision);
    void postSubtrees(const std::vector<Store::KeyValue> &pairs);

    Store::PlatformStore &store_;
    Base::Duration callDeadline_;
    Base::Duration readInterval_;
    Base::CounterRegistry &counters_;
    PostEvent post_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace LaburnumFlow::Entry
