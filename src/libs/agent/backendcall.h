#pragma once

#include "agentevents.h"

#include "httptransfer/transfer.h"

#include <cstdint>
#include <memory>
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
    ~BackendCall() = default;
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
        return handle_.get();
    }

    /// Takes the result once the transfer has ended with \a code. The functions below are for calls that have ended.
    void finish(CURLcode code);

    bool isAnswered() const
    {
        return response_.outcome == HttpTransfer::Response::Outcome::Answered;
    }

    /// Returns the status of the response; 0 if there is none.
    int httpStatus() const
    {
        return response_.status;
    }

    HttpTransfer::SecondSending secondSending() const
    {
        return response_.secondSending;
    }

    /// Returns how a start call ended.
    BackendTaskEnded taskEnded() const;

    /// Returns the content of a status call, or Unreachable if it failed.
    BackendStatus status() const;

private:
    struct HandleDeleter {
        void operator()(CURL *handle) const;
    };

    bool appendResponse(std::string_view part);
    bool isLeaseOutdated() const;
    BackendOutcome parseOutcome(std::string &result) const;

    CallKind kind_;
    Base::AttemptKey key_;
    Base::MonoTime orderedAt_; ///< Time of the order, from which a lease is counted
    std::string responseBody_;
    bool responseTooLarge_ = false;
    std::unique_ptr<CURL, HandleDeleter> handle_;
    HttpTransfer::Transfer transfer_;
    HttpTransfer::Response response_;
};

} // namespace LaburnumFlow::Agent::Internal
