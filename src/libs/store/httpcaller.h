#pragma once

#include "platformstore.h"

#include "base/counters.h"

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

enum class Idempotent {
    No, ///< Sent at most once, on a connection of its own: an idle one that the server has just closed would leave the outcome unknown
    Yes, ///< May use an idle connection, and is sent again if that breaks before the response
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
/// No second sending is ever prevented, since libcurl begins one on reused connections only.
class HttpCaller
{
public:
    /// Receives one line without its line feed. Returns false to end the call.
    using LineSink = std::function<bool(std::string_view line)>;

    /// secondSendings: counts the calls that were sent again.
    HttpCaller(const Base::Endpoint &server, Base::Counter &secondSendings);
    ~HttpCaller();
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    boost::leaf::result<HttpResponse> post(const char *path, const std::string &body, Base::Duration deadline, Idempotent idempotent);

    /// Calls the sink with each line of a response with status 200 as it arrives.
    boost::leaf::result<StreamResponse> stream(const char *path, const std::string &body, Base::Duration deadline, const LineSink &sink);

private:
    struct Handle;
    struct Call;

    std::unique_ptr<Handle> acquire();
    void release(std::unique_ptr<Handle> handle);
    /// Returns the CURLcode. The handle goes back to the pool only after success.
    int perform(Call &call, const char *path, const std::string &body, Base::Duration deadline, Idempotent idempotent);

    std::string server_;
    Base::Counter &secondSendings_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<Handle>> idle_;
};

} // namespace LaburnumFlow::Store::Internal
