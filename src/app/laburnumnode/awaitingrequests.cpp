#include "awaitingrequests.h"

#include "nodeconstants.h"

#include <algorithm>
#include <utility>

namespace LaburnumFlow::Node {

void AwaitingRequests::add(const HttpIo::ServerRequest &request, Base::MonoTime arrivedAt)
{
    const Base::MonoTime until = arrivedAt + newerRulesTimeout;
    const auto later
        = std::upper_bound(waiting_.begin(), waiting_.end(), until, [](Base::MonoTime end, const Waiting &waiting) { return end < waiting.until; });
    waiting_.insert(later, {request, until});
}

std::vector<HttpIo::ServerRequest> AwaitingRequests::takeAll()
{
    std::vector<HttpIo::ServerRequest> requests;
    for (Waiting &waiting : std::exchange(waiting_, {})) {
        requests.push_back(std::move(waiting.request));
    }
    return requests;
}

std::vector<HttpIo::RequestId> AwaitingRequests::takeExpired(Base::MonoTime now)
{
    std::vector<HttpIo::RequestId> expired;
    while (!waiting_.empty() && waiting_.front().until <= now) {
        expired.push_back(waiting_.front().request.id);
        waiting_.pop_front();
    }
    return expired;
}

std::optional<Base::MonoTime> AwaitingRequests::nextDue() const
{
    return waiting_.empty() ? std::nullopt : std::optional(waiting_.front().until);
}

} // namespace LaburnumFlow::Node
