#include "httpclient.h"

#include <curl/curl.h>

#include <memory>

namespace LaburnumFlow::Ctl {

namespace {

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

bool certainlyNotSent(CURLcode code)
{
    return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT;
}

} // namespace

boost::leaf::result<HttpReply> perform(const HttpRequest &request)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(), &curl_easy_cleanup);
    curl_slist *headers = nullptr;
    for (const std::string &header : request.headers) {
        headers = curl_slist_append(headers, header.c_str());
    }
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> ownedHeaders(headers, &curl_slist_free_all);

    HttpReply reply;
    curl_easy_setopt(handle.get(), CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &reply.body);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, request.timeoutMs);
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_PROTOCOLS_STR, "http");
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    }
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        return boost::leaf::new_error(Unreachable{curl_easy_strerror(code), !certainlyNotSent(code)});
    }
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &reply.status);
    return reply;
}

std::string escaped(std::string_view text)
{
    const std::unique_ptr<char, decltype(&curl_free)> result(curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), &curl_free);
    return result == nullptr ? std::string() : std::string(result.get());
}

} // namespace LaburnumFlow::Ctl
