#include "httpfront.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <memory>
#include <utility>

namespace LaburnumFlow::BackendStandin {

using Json = nlohmann::json;

namespace {

constexpr unsigned connectionLimit = 4096;
constexpr std::string_view tasksPrefix = "/tasks/";

struct TaskPath {
    std::string id;
    std::string_view action;
};

TaskPath parseTaskPath(std::string_view url)
{
    if (!url.starts_with(tasksPrefix)) {
        return {};
    }
    url.remove_prefix(tasksPrefix.size());
    const std::size_t slash = url.find('/');
    return {std::string(url.substr(0, slash)), slash == std::string_view::npos ? std::string_view() : url.substr(slash + 1)};
}

std::string textOrNone(const Json &object, const char *key)
{
    return object.is_object() && object.contains(key) && object[key].is_string() ? object[key].get<std::string>() : std::string();
}

} // namespace

HttpFront::HttpFront(TaskTable &table, std::uint16_t port, bool hang) : table_(table), hang_(hang)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    daemon_ = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
                               port,
                               nullptr,
                               nullptr,
                               &HttpFront::onRequest,
                               this,
                               MHD_OPTION_SOCK_ADDR,
                               reinterpret_cast<sockaddr *>(&address),
                               MHD_OPTION_CONNECTION_LIMIT,
                               connectionLimit,
                               MHD_OPTION_LISTENING_ADDRESS_REUSE,
                               1U,
                               MHD_OPTION_NOTIFY_COMPLETED,
                               &HttpFront::onCompleted,
                               this,
                               MHD_OPTION_END);
    const MHD_DaemonInfo *info = daemon_ == nullptr ? nullptr : MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    port_ = info == nullptr ? std::uint16_t{0} : info->port;
}

HttpFront::~HttpFront()
{
    ending_ = true;
    {
        const std::lock_guard lock(mutex_);
        for (MHD_Connection *connection : hung_) {
            MHD_resume_connection(connection);
        }
        hung_.clear();
    }
    if (daemon_ != nullptr) {
        MHD_stop_daemon(daemon_);
    }
}

void HttpFront::drain()
{
    table_.setLeaving(true);
    std::unique_lock lock(mutex_);
    idle_.wait(lock, [this] { return openTasks_ == 0; });
}

MHD_Result HttpFront::onRequest(void *self,
                                MHD_Connection *connection,
                                const char *url,
                                const char *method,
                                const char *,
                                const char *data,
                                std::size_t *size,
                                void **context)
{
    if (*context == nullptr) {
        *context = new Request;
        return MHD_YES;
    }
    auto &request = *static_cast<Request *>(*context);
    if (*size > 0) {
        request.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    return static_cast<HttpFront *>(self)->handle(connection, request, url, method);
}

void HttpFront::onCompleted(void *self, MHD_Connection *, void **context, MHD_RequestTerminationCode)
{
    const std::unique_ptr<Request> request(static_cast<Request *>(*context));
    *context = nullptr;
    if (request != nullptr && request->startsTask) {
        auto *front = static_cast<HttpFront *>(self);
        const std::lock_guard lock(front->mutex_);
        --front->openTasks_;
        front->idle_.notify_all();
    }
}

MHD_Result HttpFront::handle(MHD_Connection *connection, Request &request, std::string_view url, std::string_view method)
{
    if (request.handled) {
        return ending_ && request.reply.status == 0 ? MHD_NO : answer(connection, request.reply);
    }
    request.handled = true;
    if (hang_ && url != "/control") {
        suspendForever(connection);
        return MHD_YES;
    }
    const Json body = request.body.empty() ? Json::object() : Json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
        return answer(connection, {400, {{"error", "malformed JSON"}}});
    }
    const TaskPath path = parseTaskPath(url);
    if (method == "PUT" && !path.id.empty() && path.action.empty()) {
        startTask(connection, request, path.id, body);
        return MHD_YES;
    }
    return answer(connection, route(url, method, body));
}

void HttpFront::startTask(MHD_Connection *connection, Request &request, const std::string &id, const Json &body)
{
    request.startsTask = true;
    {
        const std::lock_guard lock(mutex_);
        ++openTasks_;
    }
    // Suspended first, as the task may end at once and resume the connection.
    MHD_suspend_connection(connection);
    table_.start(id, body, [connection, &request](Reply reply) {
        request.reply = std::move(reply);
        MHD_resume_connection(connection);
    });
}

void HttpFront::suspendForever(MHD_Connection *connection)
{
    const std::lock_guard lock(mutex_);
    hung_.insert(connection);
    MHD_suspend_connection(connection);
}

Reply HttpFront::route(std::string_view url, std::string_view method, const Json &body)
{
    if (method == "GET" && url == "/status") {
        return table_.status();
    }
    if (method == "POST" && url == "/control") {
        return control(body);
    }
    const TaskPath path = parseTaskPath(url);
    if (path.id.empty()) {
        return {404, {{"error", "no such path"}}};
    }
    if (method == "DELETE" && path.action.empty()) {
        return table_.stop(path.id);
    }
    if (method == "POST" && path.action == "lease") {
        return table_.renew(path.id, body);
    }
    if (method == "POST" && path.action == "throttle") {
        return table_.throttle(path.id, body);
    }
    if (method == "POST" && path.action == "checkpoint") {
        return table_.checkpoint(path.id);
    }
    return {405, {{"error", "no such method"}}};
}

Reply HttpFront::control(const Json &body)
{
    const std::string mode = textOrNone(body, "mode");
    const std::string state = textOrNone(body, "state");
    if (!mode.empty()) {
        hang_ = mode == "hang";
        table_.setFailEverything(mode == "fail-everything");
    }
    if (!state.empty()) {
        table_.setLeaving(state == "leaving");
    }
    return {200, Json::object()};
}

MHD_Result HttpFront::answer(MHD_Connection *connection, const Reply &reply)
{
    std::string text = reply.body.dump(-1, ' ', false, Json::error_handler_t::replace);
    MHD_Response *response = MHD_create_response_from_buffer(text.size(), text.data(), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "application/json");
    const MHD_Result queued = MHD_queue_response(connection, reply.status, response);
    MHD_destroy_response(response);
    return queued;
}

} // namespace LaburnumFlow::BackendStandin
