#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf.hpp>

namespace LaburnumFlow::Ctl {

struct HttpRequest {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::vector<std::string> headers;
    long timeoutMs = 0; ///< 0 waits without limit
};

struct HttpReply {
    long status = 0;
    std::string body;
};

/// No entry answered. If sent is true, the request may have been carried out.
struct Unreachable {
    std::string detail;
    bool sent = false;
};

/// Performs one request with libcurl. Fails with Unreachable.
boost::leaf::result<HttpReply> perform(const HttpRequest &request);

/// Percent-encodes one segment of a path or a query value.
std::string escaped(std::string_view text);

} // namespace LaburnumFlow::Ctl
