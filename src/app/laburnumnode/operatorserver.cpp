#include "operatorserver.h"

#include "nodeconstants.h"

#include <utility>

namespace LaburnumFlow::Node {

OperatorServer::OperatorServer(EventLoop::Loop &loop,
                               const std::optional<Base::Endpoint> &listen,
                               Metrics::ProcessMetrics &metrics,
                               std::function<void()> refresh,
                               std::function<std::string()> status)
    : metrics_(metrics), refresh_(std::move(refresh)), status_(std::move(status))
{
    if (listen) {
        front_.emplace(loop, HttpIo::FrontConfig{*listen, 0, maxMetricsConnections}, [this](const HttpIo::ServerRequest &request) { handleRequest(request); });
    }
}

bool OperatorServer::start()
{
    return !front_ || static_cast<bool>(front_->start());
}

void OperatorServer::handleRequest(const HttpIo::ServerRequest &request)
{
    if (request.path == "/status") {
        front_->answer(request.id, {200, status_(), {}});
        return;
    }
    if (request.path != "/metrics") {
        front_->answer(request.id, {404, {}, {}});
        return;
    }
    refresh_();
    front_->answer(request.id, {200, metrics_.text(), {}, "text/plain; version=0.0.4"});
}

Metrics::CallOutcome callOutcome(const HttpIo::ClientResponse &response)
{
    switch (response.outcome) {
    case HttpIo::ClientResponse::Outcome::Answered:
        return response.status < 400 ? Metrics::CallOutcome::Done : Metrics::CallOutcome::Rejected;
    case HttpIo::ClientResponse::Outcome::NotSent:
        return Metrics::CallOutcome::NotSent;
    case HttpIo::ClientResponse::Outcome::Unknown:
        break;
    }
    return Metrics::CallOutcome::Unknown;
}

} // namespace LaburnumFlow::Node
