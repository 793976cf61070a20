#pragma once

#include "httpmessages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include <curl/curl.h>

namespace LaburnumFlow::HttpTransfer {

/// One request on a libcurl handle. Decides whether the request may be sent a second time, and what its end tells of the server. Must not move while the
/// handle is in use. The handle stays the caller's, who performs the transfer.
class Transfer
{
public:
    /// Receives a part of the response's body. Returns false to end the transfer.
    using BodySink = std::function<bool(std::string_view part)>;

    /// Sets all options of the request on \a handle, which must be new or reset. The caller may set further ones, such as limits of time.
    Transfer(CURL *handle, Request request);
    ~Transfer() = default;
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    CURL *handle() const
    {
        return handle_;
    }

    /// Passes the body of the response on instead of collecting it for takeResponse().
    void setBodySink(BodySink sink);

    /// Ends the transfer if \a condition returns false at the time at which the body of the request would be sent.
    void setSendCondition(std::function<bool()> condition);

    /// Returns the status of the response so far; 0 if there is none.
    int status() const;

    Base::Duration stallTimeout() const
    {
        return request_.stallTimeout;
    }

    /// Returns when a part of the response's body was received last; the start of the request if there was none.
    Base::MonoTime lastReceivedAt() const
    {
        return lastReceivedAt_;
    }

    /// Returns the response once the transfer has ended with \a code. Moves the collected body.
    Response takeResponse(CURLcode code);

private:
    struct HeaderListDeleter {
        void operator()(curl_slist *list) const;
    };

    static curl_socket_t openSocket(void *self, curlsocktype purpose, curl_sockaddr *address);
    static int beforeSending(void *self, char *remoteAddress, char *localAddress, int remotePort, int localPort);
    static std::size_t readBody(char *target, std::size_t size, std::size_t count, void *self);
    static int rewindBody(void *self, curl_off_t offset, int origin);
    static std::size_t writeBody(char *data, std::size_t size, std::size_t count, void *self);

    bool hasBody() const;
    std::unique_ptr<curl_slist, HeaderListDeleter> makeHeaders() const;
    void configure();
    void configureBody();
    bool mayUseConnection();
    void beginSending();
    std::size_t takeBody(std::span<char> target);
    Response::Outcome outcomeOf(CURLcode code) const;

    CURL *handle_;
    Request request_;
    std::unique_ptr<curl_slist, HeaderListDeleter> headers_;
    BodySink sink_;
    std::function<bool()> sendCondition_;
    std::string responseBody_;
    Base::MonoTime lastReceivedAt_;
    std::size_t bodyOffset_ = 0; ///< bytes of the request's body that libcurl has taken for the current sending
    std::size_t sendings_ = 0; ///< on connections that were made
    bool socketOpened_ = false; ///< at the latest try to connect
    bool wholeRequestTaken_ = false; ///< by libcurl for one of the sendings, so that the server may have received it
    SecondSending secondSending_ = SecondSending::None;
};

} // namespace LaburnumFlow::HttpTransfer
