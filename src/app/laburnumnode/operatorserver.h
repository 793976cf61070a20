#pragma once

#include "base/types.h"
#include "eventloop/eventloop.h"
#include "httpio/httpclient.h"
#include "httpio/httpfront.h"
#include "metrics/processmetrics.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace LaburnumFlow::Node {

/// Serves the metrics of the process under /metrics and its state under /status.
class OperatorServer
{
public:
    /// Without an address to listen on nothing is served. refresh sets the gauges before each response; status returns JSON text.
    OperatorServer(EventLoop::Loop &loop,
                   const std::optional<Base::Endpoint> &listen,
                   Metrics::ProcessMetrics &metrics,
                   std::function<void()> refresh,
                   std::function<std::string()> status);

    /// Returns whether the address could be bound or there is none.
    bool start();

private:
    void handleRequest(const HttpIo::ServerRequest &request);

    Metrics::ProcessMetrics &metrics_;
    std::function<void()> refresh_;
    std::function<std::string()> status_;
    std::optional<HttpIo::HttpFront> front_;
};

Metrics::CallOutcome callOutcome(const HttpIo::ClientResponse &response);

} // namespace LaburnumFlow::Node
