#pragma once

#include "httptransfer/httpmessages.h"

#include <string>
#include <string_view>

#include <boost/leaf.hpp>

namespace LaburnumFlow::Ctl {

using HttpRequest = HttpTransfer::Request;

struct HttpReply {
    int status = 0;
    std::string body;
};

/// No entry answered. If sent is true, the entry may have received the whole request and carried it out.
struct Unreachable {
    std::string detail;
    bool sent = false;
};

/// Performs one request with libcurl, on a connection of its own. Fails with Unreachable.
boost::leaf::result<HttpReply> perform(const HttpRequest &request);

/// Percent-encodes one segment of a path or a query value.
std::string escaped(std::string_view text);

} // namespace LaburnumFlow::Ctl
