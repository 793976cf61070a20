#include "etcdstore.h"

#include "etcdwire.h"
#include "storeconstants.h"

#include <algorithm>

namespace LaburnumFlow::Store {

namespace {

constexpr int httpOk = 200;
constexpr int minServerErrorStatus = 500;

/// Returns an error unless the HTTP status is 200.
boost::leaf::result<void> checkStatus(int status, std::string_view body)
{
    if (status == httpOk) {
        return {};
    }
    if (status >= minServerErrorStatus) {
        return boost::leaf::new_error(StoreUnavailable{"HTTP status " + std::to_string(status) + ": " + Internal::errorDetail(body)});
    }
    return boost::leaf::new_error(StoreRefused{status, Internal::errorDetail(body)});
}

StoreUnavailable malformedResponse(std::string_view body)
{
    return {"malformed response from the store: " + Internal::errorDetail(body)};
}

} // namespace

EtcdStore::EtcdStore(const Settings::EtcdStoreSettings &settings, Base::CounterRegistry &counters)
    : caller_(settings.endpoint, counters.counter("store.second-sending.sent"))
    , callTimeout_(std::chrono::milliseconds(settings.callDeadlineMs))
    , staleResponses_(counters.counter("store.stale"))
{
}

boost::leaf::result<RangeResult> EtcdStore::range(std::string_view prefix, Base::Duration deadline)
{
    const std::int64_t minRevision = newestRevisionSeen_.load();
    BOOST_LEAF_AUTO(body, call("/v3/kv/range", Internal::rangeRequest(prefix), deadline, Internal::Idempotent::Yes));
    auto response = Internal::parseRangeResponse(body);
    if (!response) {
        return boost::leaf::new_error(malformedResponse(body));
    }
    if (auto checked = checkNotStale(response->storeRevision, minRevision); !checked) {
        return checked.error();
    }
    return std::move(*response);
}

boost::leaf::result<SwapResult>
EtcdStore::compareAndSwap(std::string_view key, std::string_view value, std::int64_t expectedModRevision, Base::Duration deadline)
{
    if (value.size() > maxValueBytes) {
        return boost::leaf::new_error(ValueTooLarge{value.size()});
    }
    // A second sending would report a conflict with the first.
    const std::int64_t minRevision = newestRevisionSeen_.load();
    const std::string request = Internal::swapRequest(key, value, expectedModRevision);
    BOOST_LEAF_AUTO(body, call("/v3/kv/txn", request, deadline, Internal::Idempotent::No));
    auto response = Internal::parseSwapResponse(body);
    if (!response) {
        return boost::leaf::new_error(malformedResponse(body));
    }
    if (auto checked = checkNotStale(response->storeRevision, minRevision); !checked) {
        return checked.error();
    }
    if (!response->succeeded) {
        response->current.key = key;
        return boost::leaf::new_error(SwapConflict{std::move(response->current)});
    }
    return SwapResult{response->storeRevision};
}

boost::leaf::result<WatchBatch> EtcdStore::watch(std::string_view prefix, std::int64_t afterRevision, Base::Duration deadline)
{
    bool created = false;
    std::optional<Internal::WatchMessage> last;
    std::string lastLine;
    const auto sink = [&](std::string_view line) {
        last = Internal::parseWatchMessage(line);
        if (!last) {
            lastLine = line;
            return false;
        }
        created = created || last->created;
        return !last->canceled && last->batch.changed.empty();
    };
    BOOST_LEAF_AUTO(response, caller_.stream("/v3/watch", Internal::watchRequest(prefix, afterRevision), deadline, sink));
    if (response.end == Internal::StreamEnd::BySink && !last) {
        return boost::leaf::new_error(malformedResponse(lastLine));
    }
    if (last && last->canceled && last->compactRevision > 0) {
        return boost::leaf::new_error(WatchCompacted{last->compactRevision});
    }
    if (response.end == Internal::StreamEnd::BySink && !last->canceled) {
        return std::move(last->batch);
    }
    if (response.end == Internal::StreamEnd::ByDeadline && created) {
        return WatchBatch{{}, afterRevision};
    }
    if (response.status != 0) {
        if (auto checked = checkStatus(response.status, response.rest); !checked) {
            return checked.error();
        }
    }
    return boost::leaf::new_error(StoreUnavailable{created ? "the store closed the watch" : "the store did not confirm the watch before the deadline"});
}

boost::leaf::result<std::string> EtcdStore::call(const char *path, const std::string &request, Base::Duration deadline, Internal::Idempotent idempotent)
{
    BOOST_LEAF_AUTO(response, caller_.post(path, request, std::min(deadline, callTimeout_), idempotent));
    if (auto checked = checkStatus(response.status, response.body); !checked) {
        return checked.error();
    }
    return std::move(response.body);
}

boost::leaf::result<void> EtcdStore::checkNotStale(std::int64_t storeRevision, std::int64_t minRevision)
{
    if (storeRevision < minRevision) {
        staleResponses_.add();
        return boost::leaf::new_error(
            StoreUnavailable{"stale response: store revision " + std::to_string(storeRevision) + ", expected at least " + std::to_string(minRevision)});
    }
    std::int64_t newest = newestRevisionSeen_.load();
    while (storeRevision > newest && !newestRevisionSeen_.compare_exchange_weak(newest, storeRevision)) {
    }
    return {};
}

} // namespace LaburnumFlow::Store
