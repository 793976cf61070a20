#include "httpclient.h"

#include "httptransfer/transfer.h"

#include <curl/curl.h>

#include <memory>
#include <utility>

namespace LaburnumFlow::Ctl {

boost::leaf::result<HttpReply> perform(const HttpRequest &request)
{
    using Outcome = HttpTransfer::Response::Outcome;
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(), &curl_easy_cleanup);
    HttpTransfer::Transfer transfer(handle.get(), request);
    const CURLcode code = curl_easy_perform(handle.get());
    HttpTransfer::Response response = transfer.takeResponse(code);
    if (response.outcome != Outcome::Answered) {
        return boost::leaf::new_error(Unreachable{curl_easy_strerror(code), response.outcome == Outcome::Unknown});
    }
    return HttpReply{response.status, std::move(response.body)};
}

std::string escaped(std::string_view text)
{
    const std::unique_ptr<char, decltype(&curl_free)> result(curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), &curl_free);
    return result == nullptr ? std::string() : std::string(result.get());
}

} // namespace LaburnumFlow::Ctl
