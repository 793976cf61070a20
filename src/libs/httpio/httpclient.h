#pragma once

#include "base/types.h"
#include "eventloop/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// HTTP on the event loop: a client on libcurl and a server on libmicrohttpd.
namespace LaburnumFlow::HttpIo {

struct Header {
    std::string name;
    std::string value;
};

struct ClientRequest {
    std::string method;
    std::string url;
    std::string body; ///< sent as application/json unless empty
    std::vector<Header> headers;
    Base::Duration timeout{};
};

/// What became of a request.
struct ClientResponse {
    enum class Outcome {
        Answered,
        NotSent, ///< no connection could be made, so the server has not seen the request
        Unknown, ///< the server may have carried out the request
    };

    Outcome outcome = Outcome::Unknown;
    int status = 0;
    std::string body;
    bool refused = false; ///< with NotSent: the connection was refused, so no process listens at the address
};

/// Sends requests over connections that are kept open between them.
class HttpClient
{
public:
    using Callback = std::function<void(ClientResponse response)>;

    /// maxConnections: per server.
    HttpClient(EventLoop::Loop &loop, long maxConnections);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// The callback is called exactly once, from the loop, unless the client is destroyed first.
    void send(ClientRequest request, Callback callback);

    struct Private;

private:
    std::unique_ptr<Private> d_;
};

} // namespace LaburnumFlow::HttpIo
