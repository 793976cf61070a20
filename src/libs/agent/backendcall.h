#pragma once

#include "agentevents.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <curl/curl.h>

namespace LaburnumFlow::Agent::Internal {

/// Returns the id of an attempt at the backend server: submission, task index and attempt number, joined by hyphens.
std::string attemptId(const Base::AttemptKey &key);

enum class CallKind : std::uint8_t {
    Start,
    Renew,
    Stop,
    Throttle,
    Checkpoint,
    Status,
};

/// One HTTP call to the backend server. Must not move while its handle is in use.
class BackendCall
{
public:
    BackendCall(CallKind kind, const Base::AttemptKey &key, std::string_view method, const std::string &url, std::string body);
    ~BackendCall();
    BackendCall(const BackendCall &) = delete;
    BackendCall &operator=(const BackendCall &) = delete;

    CallKind kind() const
    {
        return kind_;
    }

    const Base::AttemptKey &key() const
    {
        return key_;
    }

    CURL *handle() const
    {
        return handle_;
    }

    long httpStatus() const;

    /// Returns how a finished start call ended.
    BackendTaskEnded taskEnded(CURLcode code) const;

    /// Returns the content of a finished status call, or Unreachable if it failed.
    BackendStatus status(CURLcode code) const;

    /// Returns true once the whole request may have reached the backend server.
    bool isSent() const
    {
        return bodyOffset_ == body_.size();
    }

private:
    static std::size_t readBody(char *to, std::size_t size, std::size_t count, void *self);
    static std::size_t writeResponse(char *from, std::size_t size, std::size_t count, void *self);
    bool isLeaseOutdated() const;
    BackendOutcome parseOutcome(std::string &result) const;

    CallKind kind_;
    Base::AttemptKey key_;
    std::string body_;
    std::size_t bodyOffset_ = 0;
    Base::MonoTime orderedAt_; ///< Time of the order, from which a lease is counted
    std::string response_;
    bool responseTooLarge_ = false;
    CURL *handle_ = nullptr;
    curl_slist *headers_ = nullptr;
};

} // namespace LaburnumFlow::Agent::Internal
