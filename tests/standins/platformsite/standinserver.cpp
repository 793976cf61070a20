#include "standinserver.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <memory>
#include <stdexcept>
#include <utility>

namespace PlatformSite {

namespace {

MHD_Result addArgument(void *query, MHD_ValueKind /*kind*/, const char *key, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(query))[key] = value == nullptr ? "" : value;
    return MHD_YES;
}

/// Sends a reset at once, whereas libmicrohttpd would first end the stream in order.
void resetConnection(MHD_Connection *connection)
{
    const sockaddr none{.sa_family = AF_UNSPEC, .sa_data = {}};
    const int socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    // Connecting to no address resets the connection.
    static_cast<void>(connect(socket, &none, sizeof none));
}

MHD_Result onRequest(void *self,
                     MHD_Connection *connection,
                     const char *url,
                     const char *method,
                     const char * /*version*/,
                     const char *data,
                     std::size_t *size,
                     void **state)
{
    if (*state == nullptr) {
        *state = new StandInRequest;
        return MHD_YES;
    }
    auto &request = *static_cast<StandInRequest *>(*state);
    if (*size > 0) {
        request.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    request.method = method;
    request.path = url;
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &addArgument, &request.query);
    const StandInReply reply = static_cast<StandInServer *>(self)->handler()(request);
    if (reply.reset) {
        resetConnection(connection);
        return MHD_NO;
    }
    if (reply.status == 0) {
        return MHD_NO;
    }
    auto *bytes = const_cast<char *>(reply.body.data());
    MHD_Response *response = MHD_create_response_from_buffer(reply.body.size(), bytes, MHD_RESPMEM_MUST_COPY);
    const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(reply.status), response);
    MHD_destroy_response(response);
    return result;
}

void onCompleted(void * /*self*/, MHD_Connection * /*connection*/, void **state, MHD_RequestTerminationCode /*code*/)
{
    const std::unique_ptr<StandInRequest> request(static_cast<StandInRequest *>(*state));
    *state = nullptr;
}

} // namespace

StandInServer::StandInServer(Handler handler) : handler_(std::move(handler))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    daemon_ = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
                               0,
                               nullptr,
                               nullptr,
                               &onRequest,
                               this,
                               MHD_OPTION_SOCK_ADDR,
                               &address,
                               MHD_OPTION_NOTIFY_COMPLETED,
                               &onCompleted,
                               nullptr,
                               MHD_OPTION_END);
    if (daemon_ == nullptr) {
        throw std::runtime_error("the stand-in cannot listen");
    }
}

StandInServer::~StandInServer()
{
    stop();
}

void StandInServer::stop()
{
    if (daemon_ != nullptr) {
        MHD_stop_daemon(daemon_);
        daemon_ = nullptr;
    }
}

std::string StandInServer::endpoint() const
{
    return "127.0.0.1:" + std::to_string(MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port);
}

} // namespace PlatformSite
