#pragma once

#include "base/counters.h"
#include "httpcaller.h"
#include "platformstore.h"
#include "settings/daemonsettings.h"

#include <atomic>

namespace LaburnumFlow::Store {

/// Client of the platform's store over etcd's v3 JSON API. HTTP status 4xx is reported as StoreRefused and 5xx as
/// StoreUnavailable, since etcd also returns 5xx when the outcome of a write is unknown. range() and compareAndSwap() wait
/// for the setting callDeadlineMs at most. A response with an older store revision than one received before the call was
/// sent fails with StoreUnavailable and increments "store.stale". Reads that were sent again since their connection broke
/// before the response increment "store.second-sending.sent"; writes are sent once.
class EtcdStore : public PlatformStore
{
public:
    EtcdStore(const Settings::EtcdStoreSettings &settings, Base::CounterRegistry &counters);

    boost::leaf::result<RangeResult> range(std::string_view prefix, Base::Duration deadline) override;
    boost::leaf::result<SwapResult>
    compareAndSwap(std::string_view key, std::string_view value, std::int64_t expectedModRevision, Base::Duration deadline) override;

    /// Opens a watch for each call and closes it after the first changes, so that a connection that has become silent
    /// delays changes by at most the deadline.
    boost::leaf::result<WatchBatch> watch(std::string_view prefix, std::int64_t afterRevision, Base::Duration deadline) override;

private:
    boost::leaf::result<std::string> call(const char *path, const std::string &request, Base::Duration deadline, Internal::Idempotent idempotent);
    /// Fails if the response's revision is below minRevision, the newest one seen before the call was sent.
    boost::leaf::result<void> checkNotStale(std::int64_t storeRevision, std::int64_t minRevision);

    Internal::HttpCaller caller_;
    Base::Duration callTimeout_;
    Base::Counter &staleResponses_;
    std::atomic<std::int64_t> newestRevisionSeen_{0};
};

} // namespace LaburnumFlow::Store
