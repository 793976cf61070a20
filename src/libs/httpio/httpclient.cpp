#include "httpclient.h"

#include <curl/curl.h>
#include <sys/epoll.h>

#include <cerrno>
#include <chrono>
#include <list>
#include <unordered_map>
#include <utility>

namespace LaburnumFlow::HttpIo {

namespace {

constexpr long maxCachedConnections = 16;
constexpr std::size_t maxIdleHandles = 16;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

struct SlistDeleter {
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

struct Call {
    CURL *easy = nullptr;
    ClientRequest request;
    std::unique_ptr<curl_slist, SlistDeleter> headers;
    std::string body;
    HttpClient::Callback callback;
};

std::unique_ptr<curl_slist, SlistDeleter> headerList(const ClientRequest &request)
{
    // Without the empty Expect header libcurl waits for "100 Continue" before it sends larger bodies.
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    if (!request.body.empty()) {
        list = curl_slist_append(list, "Content-Type: application/json");
    }
    for (const Header &header : request.headers) {
        list = curl_slist_append(list, (header.name + ": " + header.value).c_str());
    }
    return std::unique_ptr<curl_slist, SlistDeleter>(list);
}

ClientResponse::Outcome outcomeOf(CURL *easy, CURLcode code)
{
    if (code == CURLE_OK) {
        return ClientResponse::Outcome::Answered;
    }
    if (code == CURLE_COULDNT_CONNECT) {
        return ClientResponse::Outcome::NotSent;
    }
    long sent = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
    return sent == 0 ? ClientResponse::Outcome::NotSent : ClientResponse::Outcome::Unknown;
}

/// Returns whether the peer has refused the connection. Other failures to connect, such as a timeout, don't show that no process listens there.
bool isRefused(CURL *easy, CURLcode code)
{
    long error = 0;
    curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
    return code == CURLE_COULDNT_CONNECT && error == ECONNREFUSED;
}

} // namespace

struct HttpClient::Private {
    Private(EventLoop::Loop &loop, long maxConnections);
    ~Private();

    void send(ClientRequest request, Callback callback);
    void configure(Call &call) const;
    void act(curl_socket_t socket, int action);
    void collect();
    void finish(CURL *easy, CURLcode code);
    CURL *takeHandle();

    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self, void *known);
    static int onTimer(CURLM *multi, long timeoutMs, void *self);

    EventLoop::Loop &loop_;
    CURLM *multi_ = nullptr;
    EventLoop::TimerId timer_ = 0;
    std::unordered_map<CURL *, std::unique_ptr<Call>> calls_;
    std::vector<CURL *> idle_;
};

HttpClient::Private::Private(EventLoop::Loop &loop, long maxConnections) : loop_(loop)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Private::onSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Private::onTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, maxConnections);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, maxCachedConnections);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

HttpClient::Private::~Private()
{
    loop_.cancel(timer_);
    for (auto &[easy, call] : calls_) {
        curl_multi_remove_handle(multi_, easy);
        curl_easy_cleanup(easy);
    }
    for (CURL *easy : idle_) {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(multi_);
    curl_global_cleanup();
}

CURL *HttpClient::Private::takeHandle()
{
    if (idle_.empty()) {
        return curl_easy_init();
    }
    CURL *easy = idle_.back();
    idle_.pop_back();
    return easy;
}

void HttpClient::Private::configure(Call &call) const
{
    CURL *easy = call.easy;
    const ClientRequest &request = call.request;
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (!request.body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call.headers.get());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call.body);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(request.timeout).count()));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
}

void HttpClient::Private::send(ClientRequest request, Callback callback)
{
    auto call = std::make_unique<Call>();
    call->easy = takeHandle();
    call->request = std::move(request);
    call->headers = headerList(call->request);
    call->callback = std::move(callback);
    configure(*call);
    CURL *easy = call->easy;
    calls_.emplace(easy, std::move(call));
    curl_multi_add_handle(multi_, easy);
}

void HttpClient::Private::act(curl_socket_t socket, int action)
{
    int running = 0;
    curl_multi_socket_action(multi_, socket, action, &running);
    collect();
}

void HttpClient::Private::collect()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(multi_, &left)) {
        if (message->msg == CURLMSG_DONE) {
            finish(message->easy_handle, message->data.result);
        }
    }
}

void HttpClient::Private::finish(CURL *easy, CURLcode code)
{
    const auto found = calls_.find(easy);
    if (found == calls_.end()) {
        return;
    }
    const std::unique_ptr<Call> call = std::move(found->second);
    calls_.erase(found);
    ClientResponse response;
    response.outcome = outcomeOf(easy, code);
    response.refused = isRefused(easy, code);
    if (response.outcome == ClientResponse::Outcome::Answered) {
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        response.status = static_cast<int>(status);
        response.body = std::move(call->body);
    }
    curl_multi_remove_handle(multi_, easy);
    if (idle_.size() < maxIdleHandles) {
        curl_easy_reset(easy);
        idle_.push_back(easy);
    } else {
        curl_easy_cleanup(easy);
    }
    call->callback(std::move(response));
}

int HttpClient::Private::onSocket(CURL * /*easy*/, curl_socket_t socket, int what, void *self, void * /*known*/)
{
    auto *client = static_cast<Private *>(self);
    if (what == CURL_POLL_REMOVE) {
        client->loop_.unwatch(socket);
        return 0;
    }
    std::uint32_t events = 0;
    if ((what & CURL_POLL_IN) != 0) {
        events |= EPOLLIN;
    }
    if ((what & CURL_POLL_OUT) != 0) {
        events |= EPOLLOUT;
    }
    client->loop_.watch(socket, events, [client, socket](std::uint32_t ready) {
        int action = 0;
        if ((ready & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
            action |= CURL_CSELECT_IN;
        }
        if ((ready & EPOLLOUT) != 0) {
            action |= CURL_CSELECT_OUT;
        }
        if ((ready & EPOLLERR) != 0) {
            action |= CURL_CSELECT_ERR;
        }
        client->act(socket, action);
    });
    return 0;
}

int HttpClient::Private::onTimer(CURLM * /*multi*/, long timeoutMs, void *self)
{
    auto *client = static_cast<Private *>(self);
    client->loop_.cancel(client->timer_);
    client->timer_ = 0;
    if (timeoutMs < 0) {
        return 0;
    }
    // libcurl must not be re-entered from its own callback, so a timeout of 0 goes through the loop as well.
    client->timer_ = client->loop_.callAfter(std::chrono::milliseconds(timeoutMs), [client] {
        client->timer_ = 0;
        client->act(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
}

HttpClient::HttpClient(EventLoop::Loop &loop, long maxConnections) : d_(std::make_unique<Private>(loop, maxConnections)) { }

HttpClient::~HttpClient() = default;

void HttpClient::send(ClientRequest request, Callback callback)
{
    d_->send(std::move(request), std::move(callback));
}

} // namespace LaburnumFlow::HttpIo
