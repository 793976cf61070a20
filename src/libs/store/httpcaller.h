#pragma once

#include "platformstore.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace LaburnumFlow::Store::Internal {

struct HttpResponse {
    int status = 0;
    std::string body;
};

enum class Connection {
    Reused, ///< an idle connection may be used; libcurl sends the request again if it turns out to be closed
    New, ///< a new connection, on which the request is sent at most once
};

enum class StreamEnd {
    BySink,
    ByServer,
    ByDeadline,
};

struct StreamResponse {
    StreamEnd end = StreamEnd::ByServer;
    int status = 0;
    std::string rest; ///< what followed the last line, and the whole body unless the status is 200
};

/// Posts JSON to one HTTP server with a small pool of libcurl handles. Thread-safe. Calls fail with StoreUnavailable
/// if the connection breaks, and post() also if the deadline passes.
class HttpCaller
{
public:
    /// Receives one line; returns false to end the call.
    using LineSink = std::function<bool(std::string_view line)>;

    explicit HttpCaller(const Base::Endpoint &server);
    ~HttpCaller();
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    boost::leaf::result<HttpResponse> post(const char *path, const std::string &body, Base::Duration deadline, Connection connection);

    /// Passes each line of an answer with status 200 to the sink as it arrives.
    boost::leaf::result<StreamResponse> stream(const char *path, const std::string &body, Base::Duration deadline, const LineSink &sink);

private:
    struct Handle;
    struct Call;

    std::unique_ptr<Handle> acquire();
    void release(std::unique_ptr<Handle> handle);
    /// Returns the CURLcode; the handle stays usable only after success.
    int perform(Call &call, const char *path, const std::string &body, Base::Duration deadline, Connection connection);

    std::string server_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<Handle>> idle_;
};

} // namespace LaburnumFlow::Store::Internal
