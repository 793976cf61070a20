#pragma once

#include "eventloop/eventloop.h"
#include "httptransfer/httpmessages.h"

#include <functional>
#include <memory>

/// HTTP on the event loop: a client on libcurl and a server on libmicrohttpd.
namespace LaburnumFlow::HttpIo {

using HttpTransfer::Header;
using ClientRequest = HttpTransfer::Request;
using ClientResponse = HttpTransfer::Response;

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
