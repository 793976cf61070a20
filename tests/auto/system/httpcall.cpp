#include "httpcall.h"

#include <curl/curl.h>

#include <memory>

namespace SystemTest {

namespace {

std::size_t append(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

} // namespace

HttpResult call(const std::string &method,
                const std::string &endpoint,
                const std::string &path,
                const std::string &body,
                const std::vector<std::string> &headers,
                long timeoutMs)
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    HttpResult result;
    if (initialized != CURLE_OK) {
        return result;
    }
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(), &curl_easy_cleanup);
    curl_slist *list = nullptr;
    for (const std::string &header : headers) {
        list = curl_slist_append(list, header.c_str());
    }
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> owned(list, &curl_slist_free_all);
    const std::string url = "http://" + endpoint + path;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, timeoutMs);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &append);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &result.body);
    if (method == "POST" || method == "PUT") {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    if (curl_easy_perform(handle.get()) == CURLE_OK) {
        curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &result.status);
    }
    return result;
}

std::future<HttpResult> callAsync(const std::string &method,
                                  const std::string &endpoint,
                                  const std::string &path,
                                  const std::string &body,
                                  const std::vector<std::string> &headers,
                                  long timeoutMs)
{
    return std::async(std::launch::async, [=] { return call(method, endpoint, path, body, headers, timeoutMs); });
}

} // namespace SystemTest
