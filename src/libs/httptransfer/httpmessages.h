#pragma once

#include "base/types.h"

#include <cstdint>
#include <string>
#include <vector>

/// HTTP requests on libcurl: what is sent, how often, and what became of it.
namespace LaburnumFlow::HttpTransfer {

struct Header {
    std::string name;
    std::string value;
};

struct Request {
    std::string method;
    std::string url;
    std::string body;
    std::vector<Header> headers;
    Base::Duration timeout{}; ///< 0 for none
    bool idempotent = false; ///< may be sent a second time if a reused connection breaks before the response
    std::string contentType = "application/json"; ///< sent unless the body is empty
    Base::Duration stallTimeout{}; ///< HttpIo::HttpClient ends the request when nothing has been received for this long; 0 for no such limit
    std::int64_t maxReceiveBytesPerSecond = 0; ///< 0 for no limit
};

/// What became of the second sending that libcurl begins by itself if a reused connection breaks before the response.
enum class SecondSending {
    None, ///< no connection broke
    Prevented, ///< the request ended with the connection, as it isn't idempotent
    Sent,
};

/// What became of a request.
struct Response {
    enum class Outcome {
        Answered,
        NotSent, ///< the server can't have received the whole request
        Unknown, ///< the server may have carried out the request
    };

    Outcome outcome = Outcome::Unknown;
    int status = 0;
    std::string body;
    bool refused = false; ///< with NotSent: the connection was refused, so no process listens at the address
    SecondSending secondSending = SecondSending::None;
};

} // namespace LaburnumFlow::HttpTransfer
