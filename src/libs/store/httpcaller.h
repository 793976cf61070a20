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
    Reused, ///< May use an idle connection; libcurl resends the request if the server has closed it
    New, ///< Opens a connection, on which the request is sent at most once
};

/// Why a streamed response ended.
enum class StreamEnd {
    BySink, ///< The line sink returned false
    ByServer,
    ByDeadline,
};

struct StreamResponse {
    StreamEnd end = StreamEnd::ByServer;
    int status = 0;
    std::string rest; ///< Data after the last complete line; the whole body if the status is not 200
};

/// Posts JSON to one HTTP server and keeps a small pool of libcurl handles. Thread-safe. Calls fail with StoreUnavailable
/// if the connection breaks; post() also does when the deadline passes.
class HttpCaller
{
public:
    /// Receives one line without its line feed. Returns false to end the call.
    using LineSink = std::function<bool(std::string_view line)>;

    explicit HttpCaller(const Base::Endpoint &server);
    ~HttpCaller();
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    boost::leaf::result<HttpResponse> post(const char *path, const std::string &body, Base::Duration deadline, Connection connection);

    /// Calls the sink with each line of a response with status 200 as it arrives.
    boost::leaf::result<StreamResponse> stream(const char *path, const std::string &body, Base::Duration deadline, const LineSink &sink);

private:
    struct Handle;
    struct Call;

    std::unique_ptr<Handle> acquire();
    void release(std::unique_ptr<Handle> handle);
    /// Returns the CURLcode. The handle goes back to the pool only after success.
    int perform(Call &call, const char *path, const std::string &body, Base::Duration deadline, Connection connection);

    std::string server_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<Handle>> idle_;
};

} // namespace LaburnumFlow::Store::Internal
