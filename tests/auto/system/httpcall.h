#pragma once

#include <future>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace SystemTest {

struct HttpResult {
    long status = 0; ///< 0 if the connection broke or no answer came in time
    std::string body;

    nlohmann::json json() const
    {
        nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
        return parsed.is_discarded() ? nlohmann::json::object() : parsed;
    }
};

/// One request to 127.0.0.1 with libcurl.
HttpResult call(const std::string &method,
                const std::string &endpoint,
                const std::string &path,
                const std::string &body = {},
                const std::vector<std::string> &headers = {},
                long timeoutMs = 60'000);

/// The same on a thread of its own.
std::future<HttpResult> callAsync(const std::string &method,
                                  const std::string &endpoint,
                                  const std::string &path,
                                  const std::string &body = {},
                                  const std::vector<std::string> &headers = {},
                                  long timeoutMs = 60'000);

} // namespace SystemTest
