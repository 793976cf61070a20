#include "httpserver.h"

#include "answers.h"
#include "base/uuid.h"
#include "httpapiconstants.h"
#include "jobparser.h"
#include "operatorqueue.h"
#include "protocol/protocolconstants.h"
#include "requestregistry.h"
#include "route.h"
#include "settingsroutes.h"

#include <microhttpd.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <atomic>
#include <string>
#include <utility>

namespace LaburnumFlow::HttpApi {

using Internal::OpenRequest;

struct HttpServer::Private {
    Private(const HttpConfig &httpConfig, EventSink &eventSink, Store::SettingsService &settingsService, Base::CounterRegistry &registry)
        : config(httpConfig), sink(eventSink), settings(settingsService), counters(registry)
    {
    }

    HttpConfig config;
    EventSink &sink;
    Store::SettingsService &settings;
    Base::CounterRegistry &counters;
    Internal::RequestRegistry requests;
    Internal::OperatorQueue operators;
    MHD_Daemon *daemon = nullptr;
    MHD_socket quiesced = MHD_INVALID_SOCKET;
    std::uint16_t port = 0;
    std::atomic<bool> draining{false};

    MHD_Result begin(OpenRequest &request, MHD_Connection *connection);
    MHD_Result receive(OpenRequest &request, const char *data, std::size_t *size);
    MHD_Result handle(OpenRequest &request, MHD_Connection *connection);
    void ended(OpenRequest &request);

    MHD_Result handleRoute(OpenRequest &request, MHD_Connection *connection, const SubmitRoute &route);
    MHD_Result handleRoute(OpenRequest &request, MHD_Connection *connection, const JobRoute &route);
    MHD_Result handleRoute(OpenRequest &request, MHD_Connection *connection, const HealthRoute &route);
    MHD_Result handleRoute(OpenRequest &request, MHD_Connection *connection, const CountersRoute &route);
    MHD_Result handleRoute(OpenRequest &request, MHD_Connection *connection, const StatusRoute &route);
    MHD_Result handleRoute(OpenRequest &request, MHD_Connection *connection, const WorkersRoute &route);
    MHD_Result handleRoute(OpenRequest &request, MHD_Connection *connection, const DrainRoute &route);
    MHD_Result handleRoute(OpenRequest &request, MHD_Connection *connection, const ConfirmDeadRoute &route);
    MHD_Result handleRoute(OpenRequest &request, MHD_Connection *connection, const SettingsRoute &route);
    MHD_Result handleRoute(OpenRequest &request, MHD_Connection *connection, const NoSuchPath &route);
    MHD_Result handleRoute(OpenRequest &request, MHD_Connection *connection, const WrongMethod &route);

    MHD_Result refuse(MHD_Connection *connection, Protocol::Reason reason, std::string_view detail);
    MHD_Result wait(OpenRequest &request, MHD_Connection *connection, Events::Event event);
};

namespace {

MHD_Result reply(MHD_Connection *connection, const Response &response, std::string_view allow = {})
{
    // libmicrohttpd takes a pointer to non-const but copies the buffer under MHD_RESPMEM_MUST_COPY.
    MHD_Response *made = MHD_create_response_from_buffer(response.body.size(), const_cast<char *>(response.body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(made, MHD_HTTP_HEADER_CONTENT_TYPE, response.contentType.c_str());
    if (response.retryAfterSeconds > 0) {
        MHD_add_response_header(made, MHD_HTTP_HEADER_RETRY_AFTER, std::to_string(response.retryAfterSeconds).c_str());
    }
    if (!allow.empty()) {
        MHD_add_response_header(made, MHD_HTTP_HEADER_ALLOW, std::string(allow).c_str());
    }
    const MHD_Result result = MHD_queue_response(connection, response.status, made);
    MHD_destroy_response(made);
    return result;
}

std::string headerOf(MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value == nullptr ? std::string() : std::string(value);
}

std::string queryOf(MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    return value == nullptr ? std::string() : std::string(value);
}

std::uint16_t portOf(MHD_Daemon *daemon)
{
    const MHD_DaemonInfo *info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? 0 : info->port;
}

MHD_Result onRequest(void *server,
                     MHD_Connection *connection,
                     const char *url,
                     const char *method,
                     const char * /*version*/,
                     const char *data,
                     std::size_t *size,
                     void **context)
{
    auto &d = *static_cast<HttpServer::Private *>(server);
    if (*context == nullptr) {
        auto request = std::make_unique<OpenRequest>();
        request->method = method;
        request->path = url;
        OpenRequest &begun = *request;
        *context = request.release();
        return d.begin(begun, connection);
    }
    auto &request = *static_cast<OpenRequest *>(*context);
    if (*size > 0) {
        return d.receive(request, data, size);
    }
    return d.handle(request, connection);
}

void onEnded(void *server, MHD_Connection * /*connection*/, void **context, MHD_RequestTerminationCode /*code*/)
{
    const std::unique_ptr<OpenRequest> request(static_cast<OpenRequest *>(*context));
    *context = nullptr;
    if (request != nullptr) {
        static_cast<HttpServer::Private *>(server)->ended(*request);
    }
}

} // namespace

MHD_Result HttpServer::Private::begin(OpenRequest &request, MHD_Connection * /*connection*/)
{
    request.id = requests.begin();
    request.begun = std::chrono::steady_clock::now();
    return MHD_YES;
}

MHD_Result HttpServer::Private::receive(OpenRequest &request, const char *data, std::size_t *size)
{
    // The server's own time-out counts idle time only, so a body sent byte by byte would hold the connection.
    if (std::chrono::steady_clock::now() - request.begun > std::chrono::seconds(config.bodyTimeoutSeconds)) {
        counters.counter("http.body-timeout").add();
        return MHD_NO;
    }
    if (request.body.size() + *size > Protocol::maxBodyBytes) {
        request.tooLarge = true;
        request.body.clear();
    } else if (!request.tooLarge) {
        request.body.append(data, *size);
    }
    *size = 0;
    return MHD_YES;
}

MHD_Result HttpServer::Private::handle(OpenRequest &request, MHD_Connection *connection)
{
    if (request.suspended) {
        const std::optional<Response> response = requests.takeResponse(request);
        return response ? reply(connection, *response) : MHD_NO;
    }
    counters.counter("http.requests").add();
    if (request.tooLarge) {
        return refuse(connection, Protocol::Reason::BodyTooLarge, "a body has at most 1 MiB");
    }
    return std::visit([&](const auto &route) { return handleRoute(request, connection, route); }, findRoute(request.method, request.path));
}

void HttpServer::Private::ended(OpenRequest &request)
{
    if (requests.end(request.id)) {
        sink.post(Events::RequestAbandoned{request.id});
    }
}

MHD_Result HttpServer::Private::refuse(MHD_Connection *connection, Protocol::Reason reason, std::string_view detail)
{
    counters.counter("refused." + std::string(Protocol::toString(reason))).add();
    return reply(connection, badRequest(reason, detail));
}

MHD_Result HttpServer::Private::wait(OpenRequest &request, MHD_Connection *connection, Events::Event event)
{
    requests.suspend(request, connection);
    sink.post(std::move(event));
    return MHD_YES;
}

MHD_Result HttpServer::Private::handleRoute(OpenRequest &request, MHD_Connection *connection, const SubmitRoute &route)
{
    Events::JobSubmitted submitted;
    submitted.request = request.id;
    const std::string key = headerOf(connection, "Idempotency-Key");
    if (!key.empty()) {
        submitted.submission = Base::parseUuidV7(key);
        if (!submitted.submission) {
            return refuse(connection, Protocol::Reason::BadRequest, "Idempotency-Key must be a UUID of version 7");
        }
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<MHD_Result> {
            BOOST_LEAF_ASSIGN(submitted.body, parseJob(route.team, request.body));
            return wait(request, connection, std::move(submitted));
        },
        [&](const MalformedJob &malformed) { return refuse(connection, malformed.reason, malformed.detail); },
        [&] { return refuse(connection, Protocol::Reason::BadRequest, "the body can't be read"); });
}

MHD_Result HttpServer::Private::handleRoute(OpenRequest &request, MHD_Connection *connection, const JobRoute &route)
{
    const std::optional<Base::Uuid> id = Base::parseUuidV7(route.id);
    if (!id) {
        return refuse(connection, Protocol::Reason::BadRequest, "the job's id must be a UUID of version 7");
    }
    const std::string orderingKey = queryOf(connection, "orderingKey");
    if (route.cancel) {
        return wait(request, connection, Events::JobCancelRequested{request.id, route.team, *id, orderingKey});
    }
    return wait(request, connection, Events::JobStatusRequested{request.id, route.team, *id, orderingKey});
}

MHD_Result HttpServer::Private::handleRoute(OpenRequest & /*request*/, MHD_Connection *connection, const HealthRoute & /*route*/)
{
    if (draining) {
        return reply(connection, Response{503, R"({"status":"draining"})"});
    }
    return reply(connection, Response{200, R"({"status":"ok"})"});
}

MHD_Result HttpServer::Private::handleRoute(OpenRequest & /*request*/, MHD_Connection *connection, const CountersRoute & /*route*/)
{
    return reply(connection, Response{200, nlohmann::json(counters.snapshot()).dump()});
}

MHD_Result HttpServer::Private::handleRoute(OpenRequest &request, MHD_Connection *connection, const StatusRoute & /*route*/)
{
    return wait(request, connection, Events::StatusRequested{request.id});
}

MHD_Result HttpServer::Private::handleRoute(OpenRequest &request, MHD_Connection *connection, const WorkersRoute & /*route*/)
{
    return wait(request, connection, Events::StatusRequested{request.id});
}

MHD_Result HttpServer::Private::handleRoute(OpenRequest & /*request*/, MHD_Connection *connection, const DrainRoute & /*route*/)
{
    sink.post(Events::DrainRequested{});
    return reply(connection, Response{202, R"({"status":"draining"})"});
}

MHD_Result HttpServer::Private::handleRoute(OpenRequest &request, MHD_Connection *connection, const ConfirmDeadRoute &route)
{
    return wait(request, connection, Events::ConfirmDeadRequested{request.id, route.entry});
}

MHD_Result HttpServer::Private::handleRoute(OpenRequest &request, MHD_Connection *connection, const SettingsRoute &route)
{
    SettingsCall call;
    call.route = route;
    call.body = request.body;
    call.ifMatch = headerOf(connection, MHD_HTTP_HEADER_IF_MATCH);
    call.changeId = headerOf(connection, "Change-Id");
    call.author = headerOf(connection, "Author");
    call.argument = queryOf(connection, route.action == SettingsAction::Rollback ? "to" : "path");
    const Events::RequestId id = request.id;
    requests.suspend(request, connection);
    const bool queued = operators.push([this, id, call = std::move(call)] {
        Response response = runSettingsCall(call, settings, [this](const Protocol::SettingsSubtree &subtree) { sink.post(Events::SettingsRead{{subtree}}); });
        requests.answer(id, std::move(response));
    });
    if (!queued) {
        requests.answer(id, operatorProblem(503, "too-many-calls", "too many operators' calls wait for the store"));
    }
    return MHD_YES;
}

MHD_Result HttpServer::Private::handleRoute(OpenRequest & /*request*/, MHD_Connection *connection, const NoSuchPath & /*route*/)
{
    return refuse(connection, Protocol::Reason::NotFound, "no such path");
}

MHD_Result HttpServer::Private::handleRoute(OpenRequest & /*request*/, MHD_Connection *connection, const WrongMethod &route)
{
    return reply(connection, operatorProblem(405, "wrong-method", "the path takes " + std::string(route.allowed)), route.allowed);
}

HttpServer::HttpServer(const HttpConfig &config, EventSink &sink, Store::SettingsService &settings, Base::CounterRegistry &counters)
    : d_(std::make_unique<Private>(config, sink, settings, counters))
{
}

HttpServer::~HttpServer()
{
    stop();
}

boost::leaf::result<void> HttpServer::start()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(d_->config.listen.port);
    if (inet_pton(AF_INET, d_->config.listen.address.c_str(), &address.sin_addr) != 1) {
        return boost::leaf::new_error(ListenFailed{d_->config.listen});
    }
    const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    d_->daemon = MHD_start_daemon(flags,
                                  d_->config.listen.port,
                                  nullptr,
                                  nullptr,
                                  &onRequest,
                                  d_.get(),
                                  MHD_OPTION_SOCK_ADDR,
                                  &address,
                                  MHD_OPTION_THREAD_POOL_SIZE,
                                  d_->config.threads,
                                  MHD_OPTION_CONNECTION_LIMIT,
                                  d_->config.maxConnections,
                                  MHD_OPTION_CONNECTION_TIMEOUT,
                                  idleTimeoutSeconds,
                                  MHD_OPTION_NOTIFY_COMPLETED,
                                  &onEnded,
                                  d_.get(),
                                  MHD_OPTION_END);
    if (d_->daemon == nullptr) {
        return boost::leaf::new_error(ListenFailed{d_->config.listen});
    }
    d_->port = portOf(d_->daemon);
    return {};
}

std::uint16_t HttpServer::port() const
{
    return d_->port;
}

void HttpServer::answer(const Events::AnswerJob &effect)
{
    d_->requests.answer(effect.request, Internal::makeResponse(effect));
}

void HttpServer::answer(const Events::AnswerStatus &effect)
{
    d_->requests.answer(effect.request, Internal::makeResponse(effect));
}

void HttpServer::answer(const Events::AnswerOperator &effect)
{
    d_->requests.answer(effect.request, Internal::makeResponse(effect));
}

void HttpServer::beginDrain()
{
    d_->draining = true;
}

void HttpServer::stop()
{
    if (d_->daemon == nullptr) {
        return;
    }
    d_->quiesced = MHD_quiesce_daemon(d_->daemon);
    if (!d_->requests.waitAnswered(std::chrono::seconds(stopTimeoutSeconds))) {
        Protocol::JobFailed failure;
        failure.outcome = Protocol::Outcome::Unknown;
        failure.reason = Protocol::Reason::Draining;
        d_->requests.answerAll(problemResponse(failure, {}));
    }
    // An answer that is queued but not sent yet is lost when the daemon stops.
    d_->requests.waitEnded(std::chrono::seconds(sendTimeoutSeconds));
    MHD_stop_daemon(d_->daemon);
    d_->daemon = nullptr;
    if (d_->quiesced != MHD_INVALID_SOCKET) {
        close(d_->quiesced);
    }
}

} // namespace LaburnumFlow::HttpApi
