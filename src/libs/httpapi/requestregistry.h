#pragma once

#include "events/entryevents.h"
#include "problem.h"

#include <microhttpd.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace LaburnumFlow::HttpApi::Internal {

/// One HTTP request from its first line to its answer. Owned by libmicrohttpd's connection.
struct OpenRequest {
    Events::RequestId id = 0;
    std::string method;
    std::string path;
    std::string body;
    std::chrono::steady_clock::time_point begun;
    bool tooLarge = false;
    bool suspended = false; ///< guarded by the registry
    std::optional<Response> response; ///< guarded by the registry
    std::string location; ///< "Location" of the job, if there is one
};

/// Requests that wait for an answer, by their number. Thread-safe.
class RequestRegistry
{
public:
    /// Numbers a new request.
    Events::RequestId begin();

    /// Suspends the connection until answer() is called for the request.
    void suspend(OpenRequest &request, MHD_Connection *connection);

    /// Hands the answer to the request's connection. Returns false if the request is no longer open.
    bool answer(Events::RequestId id, Response response);

    /// The answer, once there is one.
    std::optional<Response> takeResponse(OpenRequest &request);

    /// Forgets a request that has ended. Returns true if it was still waiting.
    bool end(Events::RequestId id);

    /// Waits until no request waits for an answer, at most until the limit. Returns false at the limit.
    bool waitAnswered(std::chrono::steady_clock::duration limit);

    /// Waits until every request begun has ended, its answer sent. Returns false at the limit.
    bool waitEnded(std::chrono::steady_clock::duration limit);

    /// Answers all waiting requests alike.
    void answerAll(const Response &response);

    std::size_t waiting() const;

private:
    struct Waiting {
        OpenRequest *request = nullptr;
        MHD_Connection *connection = nullptr;
    };

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Events::RequestId, Waiting> waiting_;
    Events::RequestId next_ = 1;
    std::size_t open_ = 0; ///< begun and not ended
};

} // namespace LaburnumFlow::HttpApi::Internal
