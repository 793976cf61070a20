#include "settingswatcher.h"

#include "base/timerservice.h"
#include "store/storecodec.h"

#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace LaburnumFlow::Entry {

namespace leaf = boost::leaf;

SettingsWatcher::SettingsWatcher(Store::PlatformStore &store,
                                 Base::Duration callDeadline,
                                 Base::CounterRegistry &counters,
                                 PostEvent post,
                                 Base::Duration readInterval)
    : store_(store), callDeadline_(callDeadline), readInterval_(readInterval), counters_(counters), post_(std::move(post)), thread_([this] {
        pthread_setname_np(pthread_self(), "store-watch");
        run();
    })
{
}

SettingsWatcher::~SettingsWatcher()
{
    stop();
}

void SettingsWatcher::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void SettingsWatcher::run()
{
    Base::MonoTime nextRead{};
    while (waitUntil(nextRead)) {
        nextRead = Base::monoNow() + readInterval_;
        const auto storeRevision = readAll();
        if (storeRevision) {
            watchFrom(*storeRevision);
        }
    }
}

bool SettingsWatcher::stopping()
{
    const std::lock_guard lock(mutex_);
    return stopping_;
}

/// False if stop() was called.
bool SettingsWatcher::waitUntil(Base::MonoTime time)
{
    std::unique_lock lock(mutex_);
    return !changed_.wait_for(lock, std::max(time - Base::monoNow(), Base::Duration(0)), [this] { return stopping_; });
}

leaf::result<std::int64_t> SettingsWatcher::readAll()
{
    auto range = store_.range(Store::settingsPrefix, callDeadline_);
    if (!range) {
        counters_.counter("store.settings-read.failed").add();
        return range.error();
    }
    postSubtrees(range->pairs);
    return range->storeRevision;
}

leaf::result<std::int64_t> SettingsWatcher::watchOnce(std::int64_t afterRevision)
{
    auto batch = store_.watch(Store::settingsPrefix, afterRevision, watchDeadline);
    if (!batch) {
        counters_.counter("store.settings-watch.failed").add();
        return batch.error();
    }
    if (!batch->changed.empty()) {
        postSubtrees(batch->changed);
    }
    return std::max(batch->storeRevision, afterRevision);
}

/// Returns after an error or stop().
void SettingsWatcher::watchFrom(std::int64_t storeRevision)
{
    while (!stopping()) {
        const auto next = watchOnce(storeRevision);
        if (!next) {
            return;
        }
        storeRevision = *next;
    }
}

void SettingsWatcher::postSubtrees(const std::vector<Store::KeyValue> &pairs)
{
    Events::SettingsRead read;
    for (const Store::KeyValue &pair : pairs) {
        if (pair.modRevision == 0) {
            counters_.counter("store.settings-deleted").add();
            continue;
        }
        auto settings = Store::parseSettings(pair);
        if (settings) {
            read.subtrees.push_back(std::move(settings->subtree));
        } else {
            counters_.counter("store.settings-malformed").add();
        }
    }
    post_(std::move(read));
}

} // namespace LaburnumFlow::Entry
