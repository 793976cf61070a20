#include "httpclient.h"

#include "base/timerservice.h"
#include "httptransfer/transfer.h"

#include <curl/curl.h>
#include <sys/epoll.h>

#include <chrono>
#include <unordered_map>
#include <utility>
#include <vector>

namespace LaburnumFlow::HttpIo {

namespace {

constexpr long maxCachedConnections = 16;
constexpr std::size_t maxIdleHandles = 16;

struct Call {
    Call(CURL *easy, ClientRequest request, HttpClient::Callback handler) : transfer(easy, std::move(request)), callback(std::move(handler)) { }

    HttpTransfer::Transfer transfer;
    HttpClient::Callback callback;
    EventLoop::TimerId stallTimer = 0;
};

} // namespace

struct HttpClient::Private {
    Private(EventLoop::Loop &loop, long maxConnections);
    ~Private();

    void send(ClientRequest request, Callback callback);
    void act(curl_socket_t socket, int action);
    void collect();
    void finish(CURL *easy, CURLcode code);
    void scheduleStallCheck(CURL *easy, Call &call);
    void checkForStall(CURL *easy);
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
        loop_.cancel(call->stallTimer);
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

void HttpClient::Private::send(ClientRequest request, Callback callback)
{
    CURL *easy = takeHandle();
    const auto added = calls_.emplace(easy, std::make_unique<Call>(easy, std::move(request), std::move(callback)));
    scheduleStallCheck(easy, *added.first->second);
    curl_multi_add_handle(multi_, easy);
}

void HttpClient::Private::scheduleStallCheck(CURL *easy, Call &call)
{
    if (call.transfer.stallTimeout() == Base::Duration{}) {
        return;
    }
    call.stallTimer = loop_.callAt(call.transfer.lastReceivedAt() + call.transfer.stallTimeout(), [this, easy] { checkForStall(easy); });
}

void HttpClient::Private::checkForStall(CURL *easy)
{
    Call &call = *calls_.at(easy);
    if (Base::monoNow() < call.transfer.lastReceivedAt() + call.transfer.stallTimeout()) {
        scheduleStallCheck(easy, call);
        return;
    }
    finish(easy, CURLE_OPERATION_TIMEDOUT);
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
    loop_.cancel(call->stallTimer);
    ClientResponse response = call->transfer.takeResponse(code);
    curl_multi_remove_handle(multi_, easy);
    // After a broken connection the handle still wants to send the body again, also that of its next call, and a reset doesn't change that.
    if (code == CURLE_OK && idle_.size() < maxIdleHandles) {
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
