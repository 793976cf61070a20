#pragma once

#include "base/types.h"
#include "httpio/httpfront.h"

#include <deque>
#include <optional>
#include <vector>

namespace LaburnumFlow::Node {

/// Requests without a route in the rules in force, which wait for newer rules that are on their way. A refusal could be wrong by the time it arrives.
class AwaitingRequests
{
public:
    /// Adds a request. It waits until newerRulesTimeout after its first arrival, also if it is added again.
    void add(const HttpIo::ServerRequest &request, Base::MonoTime arrivedAt);

    /// Removes all requests and returns them in the order of their arrival. Called when newer rules are in force.
    std::vector<HttpIo::ServerRequest> takeAll();

    /// Removes the requests whose time is over and returns their ids.
    std::vector<HttpIo::RequestId> takeExpired(Base::MonoTime now);

    /// Returns when the next request expires.
    std::optional<Base::MonoTime> nextDue() const;

private:
    struct Waiting {
        HttpIo::ServerRequest request;
        Base::MonoTime until{};
    };

    std::deque<Waiting> waiting_; ///< in the order of their ends
};

} // namespace LaburnumFlow::Node
