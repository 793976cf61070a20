#include "transfer.h"

#include "base/timerservice.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

namespace LaburnumFlow::HttpTransfer {

namespace {

/// Returns whether the peer has refused the connection. Other failures to connect, such as a timeout, don't show that no process listens there.
bool isConnectionRefused(CURL *handle, CURLcode code)
{
    long error = 0;
    curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &error);
    return code == CURLE_COULDNT_CONNECT && error == ECONNREFUSED;
}

} // namespace

void Transfer::HeaderListDeleter::operator()(curl_slist *list) const
{
    curl_slist_free_all(list);
}

Transfer::Transfer(CURL *handle, Request request) : handle_(handle), request_(std::move(request)), headers_(makeHeaders()), lastReceivedAt_(Base::monoNow())
{
    configure();
    if (hasBody()) {
        configureBody();
    }
}

void Transfer::setBodySink(BodySink sink)
{
    sink_ = std::move(sink);
}

void Transfer::setSendCondition(std::function<bool()> condition)
{
    sendCondition_ = std::move(condition);
}

int Transfer::status() const
{
    long status = 0;
    curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
}

Response Transfer::takeResponse(CURLcode code)
{
    Response response;
    response.outcome = outcomeOf(code);
    // Without a socket, libcurl still names the error of an earlier request on this handle.
    response.refused = response.outcome == Response::Outcome::NotSent && socketOpened_ && isConnectionRefused(handle_, code);
    response.secondSending = secondSending_;
    if (response.outcome == Response::Outcome::Answered) {
        response.status = status();
        response.body = std::move(responseBody_);
    }
    return response;
}

/// A request of these methods without a body has a length of 0.
bool Transfer::hasBody() const
{
    return !request_.body.empty() || request_.method == "POST" || request_.method == "PUT";
}

std::unique_ptr<curl_slist, Transfer::HeaderListDeleter> Transfer::makeHeaders() const
{
    // Without the empty Expect header libcurl waits for "100 Continue" before it sends larger bodies.
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    if (!request_.body.empty()) {
        list = curl_slist_append(list, ("Content-Type: " + request_.contentType).c_str());
    }
    for (const Header &header : request_.headers) {
        list = curl_slist_append(list, (header.name + ": " + header.value).c_str());
    }
    return std::unique_ptr<curl_slist, HeaderListDeleter>(list);
}

void Transfer::configure()
{
    curl_easy_setopt(handle_, CURLOPT_URL, request_.url.c_str());
    curl_easy_setopt(handle_, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle_, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, headers_.get());
    curl_easy_setopt(handle_, CURLOPT_OPENSOCKETFUNCTION, &Transfer::openSocket);
    curl_easy_setopt(handle_, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(handle_, CURLOPT_PREREQFUNCTION, &Transfer::beforeSending);
    curl_easy_setopt(handle_, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, &Transfer::writeBody);
    curl_easy_setopt(handle_, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle_, CURLOPT_TIMEOUT_MS, static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(request_.timeout).count()));
    curl_easy_setopt(handle_, CURLOPT_MAX_RECV_SPEED_LARGE, static_cast<curl_off_t>(request_.maxReceiveBytesPerSecond));
    curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
    // Servers are reached directly, whatever proxies the environment names.
    curl_easy_setopt(handle_, CURLOPT_PROXY, "");
    curl_easy_setopt(handle_, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
}

void Transfer::configureBody()
{
    curl_easy_setopt(handle_, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(handle_, CURLOPT_INFILESIZE_LARGE, static_cast<curl_off_t>(request_.body.size()));
    curl_easy_setopt(handle_, CURLOPT_READFUNCTION, &Transfer::readBody);
    curl_easy_setopt(handle_, CURLOPT_READDATA, this);
    curl_easy_setopt(handle_, CURLOPT_SEEKFUNCTION, &Transfer::rewindBody);
    curl_easy_setopt(handle_, CURLOPT_SEEKDATA, this);
}

/// libcurl calls this for each new connection.
curl_socket_t Transfer::openSocket(void *self, curlsocktype /*purpose*/, curl_sockaddr *address)
{
    auto *transfer = static_cast<Transfer *>(self);
    transfer->socketOpened_ = false;
    if (!transfer->mayUseConnection()) {
        return CURL_SOCKET_BAD;
    }
    const int fd = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    transfer->socketOpened_ = fd >= 0;
    return fd;
}

/// libcurl calls this when a connection, new or reused, is there for the request, before it sends anything.
int Transfer::beforeSending(void *self, char * /*remoteAddress*/, char * /*localAddress*/, int /*remotePort*/, int /*localPort*/)
{
    auto *transfer = static_cast<Transfer *>(self);
    if (!transfer->mayUseConnection()) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer->beginSending();
    return CURL_PREREQFUNC_OK;
}

/// A connection after the first sending is for a second one.
bool Transfer::mayUseConnection()
{
    if (sendings_ == 0 || request_.idempotent) {
        return true;
    }
    secondSending_ = SecondSending::Prevented;
    return false;
}

void Transfer::beginSending()
{
    ++sendings_;
    if (sendings_ > 1) {
        secondSending_ = SecondSending::Sent;
    }
    bodyOffset_ = 0;
    wholeRequestTaken_ = wholeRequestTaken_ || request_.body.empty();
}

std::size_t Transfer::readBody(char *target, std::size_t size, std::size_t count, void *self)
{
    return static_cast<Transfer *>(self)->takeBody({target, size * count});
}

std::size_t Transfer::takeBody(std::span<char> target)
{
    const std::string &body = request_.body;
    const std::size_t taken = std::min(target.size(), body.size() - bodyOffset_);
    if (taken > 0 && sendCondition_ && !sendCondition_()) {
        return CURL_READFUNC_ABORT;
    }
    body.copy(target.data(), taken, bodyOffset_);
    bodyOffset_ += taken;
    wholeRequestTaken_ = wholeRequestTaken_ || bodyOffset_ == body.size();
    return taken;
}

/// libcurl calls this to send the body once more. beginSending() has set the offset back.
int Transfer::rewindBody(void *self, curl_off_t offset, int /*origin*/)
{
    return offset == 0 && static_cast<Transfer *>(self)->request_.idempotent ? CURL_SEEKFUNC_OK : CURL_SEEKFUNC_FAIL;
}

std::size_t Transfer::writeBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<Transfer *>(self);
    const std::string_view part(data, size * count);
    transfer->lastReceivedAt_ = Base::monoNow();
    if (transfer->sink_) {
        return transfer->sink_(part) ? part.size() : 0;
    }
    transfer->responseBody_.append(part);
    return part.size();
}

Response::Outcome Transfer::outcomeOf(CURLcode code) const
{
    if (code == CURLE_OK) {
        return Response::Outcome::Answered;
    }
    return wholeRequestTaken_ ? Response::Outcome::Unknown : Response::Outcome::NotSent;
}

} // namespace LaburnumFlow::HttpTransfer
