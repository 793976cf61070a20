#include "storeserver.h"

#include "storecalls.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>

#include <algorithm>
#include <memory>

namespace LaburnumFlow::StoreStandIn {

namespace {

constexpr std::size_t maxBodyBytes = 4UL * 1024UL * 1024UL;
constexpr std::size_t watchBlockBytes = 16UL * 1024UL;
constexpr std::size_t threadStackBytes = 256UL * 1024UL;

/// How often an idle watch looks whether its client has gone.
constexpr std::chrono::milliseconds watchWait(50);

/// The body of a request while it arrives.
struct Upload {
    std::string body;
};

/// A watch's answer: lines not yet sent, and the watch.
struct WatchStream {
    StoreState *state;
    WatchState watch;
    std::string pending;
    bool ending = false;
    int socket = -1;
};

bool clientGone(int socket)
{
    pollfd state{socket, POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

ssize_t readWatch(void *context, std::uint64_t /*position*/, char *buffer, std::size_t size)
{
    auto &stream = *static_cast<WatchStream *>(context);
    if (stream.pending.empty()) {
        if (stream.ending) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        const WatchStep step = stream.state->next(stream.watch, watchWait);
        if (step.kind == WatchStep::Kind::Closed || clientGone(stream.socket)) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        stream.ending = step.kind == WatchStep::Kind::Compacted;
        stream.pending = watchLine(step);
    }
    const std::size_t count = std::min(size, stream.pending.size());
    stream.pending.copy(buffer, count);
    stream.pending.erase(0, count);
    return static_cast<ssize_t>(count);
}

void freeWatch(void *context)
{
    const std::unique_ptr<WatchStream> stream(static_cast<WatchStream *>(context));
    stream->state->closeWatch();
}

MHD_Result send(MHD_Connection *connection, int status, MHD_Response *response)
{
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
    const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned int>(status), response);
    MHD_destroy_response(response);
    return result;
}

MHD_Result send(MHD_Connection *connection, const Reply &reply)
{
    if (reply.lost) {
        return MHD_NO;
    }
    auto *body = const_cast<char *>(reply.body.data());
    return send(connection, reply.status, MHD_create_response_from_buffer(reply.body.size(), body, MHD_RESPMEM_MUST_COPY));
}

MHD_Result startWatch(StoreState &state, MHD_Connection *connection, std::string_view body)
{
    const auto request = parseWatchRequest(body);
    if (!request) {
        return send(connection, badRequest("malformed watch request"));
    }
    const int socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    auto stream = std::make_unique<WatchStream>(WatchStream{&state, state.openWatch(request->range, request->startRevision), {}, false, socket});
    stream->pending = createdLine(state.stats().revision);
    return send(connection, 200, MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, watchBlockBytes, &readWatch, stream.release(), &freeWatch));
}

MHD_Result answer(StoreState &state, MHD_Connection *connection, std::string_view url, std::string_view body)
{
    if (url == "/control") {
        return send(connection, answerControl(state, body));
    }
    if (url == "/stats") {
        return send(connection, answerStats(state));
    }
    if (url == "/v3/kv/range") {
        return state.admit(CallType::Range) ? send(connection, answerRange(state, body)) : MHD_NO;
    }
    if (url == "/v3/kv/txn") {
        return state.admit(CallType::Txn) ? send(connection, answerTxn(state, body)) : MHD_NO;
    }
    if (url == "/v3/watch") {
        return state.admit(CallType::Watch) ? startWatch(state, connection, body) : MHD_NO;
    }
    if (url == "/v3/lease/grant") {
        return state.admit(CallType::Lease) ? send(connection, answerLeaseGrant(state, body)) : MHD_NO;
    }
    if (url == "/v3/lease/keepalive") {
        return state.admit(CallType::Lease) ? send(connection, answerLeaseKeepAlive(body)) : MHD_NO;
    }
    return send(connection, {404, R"({"message":"not found","code":5})"});
}

MHD_Result handle(void *state,
                  MHD_Connection *connection,
                  const char *url,
                  const char * /*method*/,
                  const char * /*version*/,
                  const char *data,
                  std::size_t *size,
                  void **request)
{
    if (*request == nullptr) {
        *request = new Upload;
        return MHD_YES;
    }
    auto &upload = *static_cast<Upload *>(*request);
    if (*size > 0) {
        if (upload.body.size() + *size > maxBodyBytes) {
            return MHD_NO;
        }
        upload.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    return answer(*static_cast<StoreState *>(state), connection, url, upload.body);
}

void completed(void * /*state*/, MHD_Connection * /*connection*/, void **request, MHD_RequestTerminationCode /*code*/)
{
    const std::unique_ptr<Upload> upload(static_cast<Upload *>(*request));
    *request = nullptr;
}

} // namespace

StoreServer::StoreServer(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    daemon_ = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
                               port,
                               nullptr,
                               nullptr,
                               &handle,
                               &state_,
                               MHD_OPTION_SOCK_ADDR,
                               &address,
                               MHD_OPTION_THREAD_STACK_SIZE,
                               threadStackBytes,
                               MHD_OPTION_NOTIFY_COMPLETED,
                               &completed,
                               nullptr,
                               MHD_OPTION_END);
}

StoreServer::~StoreServer()
{
    state_.stop();
    if (daemon_ != nullptr) {
        MHD_stop_daemon(daemon_);
    }
}

std::uint16_t StoreServer::port() const
{
    const MHD_DaemonInfo *info = daemon_ == nullptr ? nullptr : MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? 0 : info->port;
}

} // namespace LaburnumFlow::StoreStandIn
