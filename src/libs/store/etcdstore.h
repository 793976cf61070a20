#pragma once

#include "base/counters.h"
#include "httpcaller.h"
#include "platformstore.h"
#include "settings/daemonsettings.h"

#include <atomic>

namespace LaburnumFlow::Store {

/// The platform's store over etcd's v3 JSON calls. Status 4xx is StoreRefused; status 5xx is StoreUnavailable, since
/// etcd reports with it also that the outcome of a write is unknown. range() and compareAndSwap() wait for callDeadlineMs
/// at most. An answer that is older than one received before the call was sent is StoreUnavailable, counted as
/// "store.stale".
class EtcdStore : public PlatformStore
{
public:
    EtcdStore(const Settings::EtcdStoreSettings &settings, Base::CounterRegistry &counters);

    boost::leaf::result<RangeResult> range(std::string_view prefix, Base::Duration deadline) override;
    boost::leaf::result<SwapResult>
    compareAndSwap(std::string_view key, std::string_view value, std::int64_t expectedModRevision, Base::Duration deadline) override;

    /// Sends one watch request per call and ends it with the first changes, so a connection that has become silent
    /// delays changes by at most the deadline.
    boost::leaf::result<WatchBatch> watch(std::string_view prefix, std::int64_t afterRevision, Base::Duration deadline) override;

private:
    boost::leaf::result<std::string> call(const char *path, const std::string &request, Base::Duration deadline, Internal::Connection connection);
    boost::leaf::result<void> checkNotStale(std::int64_t storeRevision, std::int64_t minRevision);

    Internal::HttpCaller caller_;
    Base::Duration callTimeout_;
    Base::Counter &staleResponses_;
    std::atomic<std::int64_t> newestRevisionSeen_{0};
};

} // namespace LaburnumFlow::Store
