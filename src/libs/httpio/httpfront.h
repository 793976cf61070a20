#pragma once

#include "base/types.h"
#include "eventloop/eventloop.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace LaburnumFlow::HttpIo {

/// Identifies an open request of one HttpFront; never reused.
using RequestId = std::uint64_t;

struct ServerRequest {
    RequestId id = 0;
    std::string method;
    std::string path; ///< without the query
    std::string host;
    std::string body;
    std::optional<std::int64_t> deadlineMs; ///< from the header X-Deadline-Ms
    Base::Duration waited{}; ///< how long the request has been complete in the server's socket; zero if the system doesn't tell
};

struct ServerResponse {
    int status = 200;
    std::string body;
    std::optional<int> retryAfterSeconds;
    std::string contentType = "application/json"; ///< of a body that is not empty
};

struct FrontConfig {
    Base::Endpoint listen;
    std::size_t maxBodyBytes = 262'144; ///< a larger body is answered 413
    unsigned maxConnections = 1024;
};

/// The address could not be bound.
struct FrontBindFailed {
    Base::Endpoint endpoint;
};

/// An HTTP/1.1 server on the event loop. Each request is passed on once its body is complete and stays open until
/// answer() is called for it.
class HttpFront
{
public:
    using Handler = std::function<void(ServerRequest request)>;

    HttpFront(EventLoop::Loop &loop, FrontConfig config, Handler handler);
    ~HttpFront();
    HttpFront(const HttpFront &) = delete;
    HttpFront &operator=(const HttpFront &) = delete;

    /// Fails with FrontBindFailed.
    boost::leaf::result<void> start();

    /// Ignored if the request's connection is gone.
    void answer(RequestId request, ServerResponse response);

    /// Returns whether the client of an open request has closed its connection, or shut down its sending side, as clients do that have stopped waiting.
    bool isClientGone(RequestId request) const;

    /// From now on each response asks the client to close its connection.
    void closeConnectionsAfterAnswers();

    /// Requests that were passed on and not answered yet.
    std::size_t openRequests() const;

    struct Private;

private:
    std::unique_ptr<Private> d_;
};

} // namespace LaburnumFlow::HttpIo
