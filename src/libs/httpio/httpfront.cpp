#include "httpfront.h"

#include "peersocket.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/epoll.h>

#include <charconv>
#include <chrono>
#include <cstring>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace LaburnumFlow::HttpIo {

namespace {

constexpr unsigned idleTimeoutSeconds = 60;
constexpr std::size_t connectionMemoryBytes = 8192; ///< holds the request line and the headers
constexpr int statusTooLarge = 413;

std::optional<std::int64_t> parseNumber(const char *text)
{
    if (text == nullptr) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const std::string_view view(text);
    const auto [end, error] = std::from_chars(view.data(), view.data() + view.size(), value);
    if (error != std::errc{} || end != view.data() + view.size()) {
        return std::nullopt;
    }
    return value;
}

std::string headerOf(MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value == nullptr ? std::string() : std::string(value);
}

int socketOf(MHD_Connection *connection)
{
    return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

/// A request that is being read or waits for its answer.
struct Exchange {
    RequestId id = 0;
    MHD_Connection *connection = nullptr;
    std::string body;
    bool tooLarge = false;
    bool passedOn = false;
    bool suspended = false;
    std::optional<ServerResponse> response;
};

} // namespace

struct HttpFront::Private {
    Private(EventLoop::Loop &loop, FrontConfig config, Handler handler) : loop_(loop), config_(std::move(config)), handler_(std::move(handler)) { }

    MHD_Result handle(MHD_Connection *connection, const char *url, const char *method, const char *data, std::size_t *size, void **state);
    MHD_Result readBody(Exchange &exchange, const char *data, std::size_t *size) const;
    void passOn(Exchange &exchange, const char *url, const char *method);
    MHD_Result respond(const Exchange &exchange) const;
    void scheduleRun();
    void run();

    static MHD_Result onRequest(void *self,
                                MHD_Connection *connection,
                                const char *url,
                                const char *method,
                                const char *version,
                                const char *data,
                                std::size_t *size,
                                void **state);
    static void onCompleted(void *self, MHD_Connection *connection, void **state, MHD_RequestTerminationCode code);

    EventLoop::Loop &loop_;
    FrontConfig config_;
    Handler handler_;
    MHD_Daemon *daemon_ = nullptr;
    int epoll_ = -1;
    RequestId lastId_ = 0;
    bool closing_ = false;
    bool runScheduled_ = false;
    EventLoop::TimerId timer_ = 0;
    std::unordered_map<RequestId, Exchange *> open_;
};

MHD_Result HttpFront::Private::onRequest(void *self,
                                         MHD_Connection *connection,
                                         const char *url,
                                         const char *method,
                                         const char * /*version*/,
                                         const char *data,
                                         std::size_t *size,
                                         void **state)
{
    return static_cast<Private *>(self)->handle(connection, url, method, data, size, state);
}

void HttpFront::Private::onCompleted(void *self, MHD_Connection * /*connection*/, void **state, MHD_RequestTerminationCode /*code*/)
{
    auto *exchange = static_cast<Exchange *>(*state);
    if (exchange == nullptr) {
        return;
    }
    static_cast<Private *>(self)->open_.erase(exchange->id);
    delete exchange;
    *state = nullptr;
}

MHD_Result HttpFront::Private::handle(MHD_Connection *connection, const char *url, const char *method, const char *data, std::size_t *size, void **state)
{
    if (*state == nullptr) {
        // Owned by libmicrohttpd until onCompleted().
        auto *made = new Exchange;
        made->id = ++lastId_;
        made->connection = connection;
        *state = made;
        return MHD_YES;
    }
    auto &exchange = *static_cast<Exchange *>(*state);
    if (*size > 0) {
        return readBody(exchange, data, size);
    }
    if (!exchange.passedOn) {
        exchange.passedOn = true;
        if (exchange.tooLarge) {
            exchange.response = ServerResponse{.status = statusTooLarge, .body = {}, .retryAfterSeconds = {}};
        } else {
            passOn(exchange, url, method);
        }
    }
    if (exchange.response) {
        return respond(exchange);
    }
    exchange.suspended = true;
    MHD_suspend_connection(connection);
    return MHD_YES;
}

MHD_Result HttpFront::Private::readBody(Exchange &exchange, const char *data, std::size_t *size) const
{
    if (exchange.body.size() + *size > config_.maxBodyBytes) {
        exchange.tooLarge = true;
        exchange.body.clear();
    } else if (!exchange.tooLarge) {
        exchange.body.append(data, *size);
    }
    *size = 0;
    return MHD_YES;
}

void HttpFront::Private::passOn(Exchange &exchange, const char *url, const char *method)
{
    ServerRequest request;
    request.id = exchange.id;
    request.method = method;
    request.path = url;
    request.host = headerOf(exchange.connection, MHD_HTTP_HEADER_HOST);
    request.body = std::move(exchange.body);
    request.deadlineMs = parseNumber(MHD_lookup_connection_value(exchange.connection, MHD_HEADER_KIND, "X-Deadline-Ms"));
    request.waited = sinceLastArrival(socketOf(exchange.connection));
    open_.emplace(exchange.id, &exchange);
    handler_(std::move(request));
}

MHD_Result HttpFront::Private::respond(const Exchange &exchange) const
{
    const ServerResponse &answer = *exchange.response;
    // libmicrohttpd copies the body and does not write to the buffer.
    auto *bytes = const_cast<char *>(answer.body.data());
    MHD_Response *response = MHD_create_response_from_buffer(answer.body.size(), bytes, MHD_RESPMEM_MUST_COPY);
    if (!answer.body.empty()) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, answer.contentType.c_str());
    }
    if (answer.retryAfterSeconds) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, std::to_string(*answer.retryAfterSeconds).c_str());
    }
    if (closing_) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(exchange.connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return result;
}

void HttpFront::Private::scheduleRun()
{
    if (runScheduled_) {
        return;
    }
    runScheduled_ = true;
    loop_.defer([this] {
        runScheduled_ = false;
        run();
    });
}

void HttpFront::Private::run()
{
    MHD_run(daemon_);
    loop_.cancel(timer_);
    timer_ = 0;
    MHD_UNSIGNED_LONG_LONG timeoutMs = 0;
    if (MHD_get_timeout(daemon_, &timeoutMs) == MHD_YES) {
        timer_ = loop_.callAfter(std::chrono::milliseconds(timeoutMs), [this] {
            timer_ = 0;
            run();
        });
    }
}

HttpFront::HttpFront(EventLoop::Loop &loop, FrontConfig config, Handler handler)
    : d_(std::make_unique<Private>(loop, std::move(config), std::move(handler))) { }

HttpFront::~HttpFront()
{
    if (d_->daemon_ == nullptr) {
        return;
    }
    d_->loop_.cancel(d_->timer_);
    d_->loop_.unwatch(d_->epoll_);
    for (const auto &[id, exchange] : d_->open_) {
        if (exchange->suspended) {
            MHD_resume_connection(exchange->connection);
        }
    }
    MHD_stop_daemon(d_->daemon_);
}

boost::leaf::result<void> HttpFront::start()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(d_->config_.listen.port);
    if (inet_pton(AF_INET, d_->config_.listen.address.c_str(), &address.sin_addr) != 1) {
        return boost::leaf::new_error(FrontBindFailed{d_->config_.listen});
    }
    d_->daemon_ = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                                   d_->config_.listen.port,
                                   nullptr,
                                   nullptr,
                                   &Private::onRequest,
                                   d_.get(),
                                   MHD_OPTION_SOCK_ADDR,
                                   reinterpret_cast<sockaddr *>(&address),
                                   MHD_OPTION_CONNECTION_LIMIT,
                                   d_->config_.maxConnections,
                                   MHD_OPTION_CONNECTION_TIMEOUT,
                                   idleTimeoutSeconds,
                                   MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                   connectionMemoryBytes,
                                   MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                   1U,
                                   MHD_OPTION_NOTIFY_COMPLETED,
                                   &Private::onCompleted,
                                   d_.get(),
                                   MHD_OPTION_END);
    if (d_->daemon_ == nullptr) {
        return boost::leaf::new_error(FrontBindFailed{d_->config_.listen});
    }
    d_->epoll_ = MHD_get_daemon_info(d_->daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    d_->loop_.watch(d_->epoll_, EPOLLIN, [this](std::uint32_t /*events*/) { d_->run(); });
    return {};
}

void HttpFront::answer(RequestId request, ServerResponse response)
{
    const auto found = d_->open_.find(request);
    if (found == d_->open_.end()) {
        return;
    }
    Exchange &exchange = *found->second;
    exchange.response = std::move(response);
    d_->open_.erase(found);
    if (exchange.suspended) {
        exchange.suspended = false;
        MHD_resume_connection(exchange.connection);
        d_->scheduleRun();
    }
}

bool HttpFront::isClientGone(RequestId request) const
{
    const auto found = d_->open_.find(request);
    return found == d_->open_.end() || isClosedByPeer(socketOf(found->second->connection));
}

void HttpFront::closeConnectionsAfterAnswers()
{
    d_->closing_ = true;
}

std::size_t HttpFront::openRequests() const
{
    return d_->open_.size();
}

} // namespace LaburnumFlow::HttpIo
