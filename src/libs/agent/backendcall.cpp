#include "backendcall.h"

#include "base/timerservice.h"
#include "base/uuid.h"
#include "protocol/protocolconstants.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace LaburnumFlow::Agent::Internal {

using Json = nlohmann::json;

namespace {

using namespace std::chrono_literals;

constexpr long connectTimeoutMs = 1000;
constexpr Base::Duration shortCallTimeout = 2s;
constexpr Base::Duration statusTimeout = 500ms;
/// A call that grants a lease is not sent later than this after its order. The lease is counted from the order, and leaseMargin covers the rest.
constexpr Base::Duration maxSendDelay = Protocol::leaseMargin / 2;
constexpr std::size_t maxResponseBytes = Protocol::maxBodyBytes;

constexpr int httpOk = 200;
constexpr int httpConflict = 409;
constexpr int httpTooManyRequests = 429;
constexpr int httpUnavailable = 503;

Base::Duration callTimeout(CallKind kind)
{
    switch (kind) {
    case CallKind::Start:
        return {}; // no timeout: the task's lease ends the call
    case CallKind::Status:
        return statusTimeout;
    case CallKind::Renew:
    case CallKind::Stop:
    case CallKind::Throttle:
    case CallKind::Checkpoint:
        break;
    }
    return shortCallTimeout;
}

/// Returns whether a second sending leaves the backend server as the first one did. A stop does, as no other task ever gets the id of an attempt. A start may
/// run the task again, a renewal counts its lease anew, and a throttle may overtake a newer one; a checkpoint is the backend server's work.
bool isIdempotent(CallKind kind)
{
    return kind == CallKind::Status || kind == CallKind::Stop;
}

Json parseObject(const std::string &text)
{
    Json parsed = Json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed : Json::object();
}

std::string toText(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

std::string attemptId(const Base::AttemptKey &key)
{
    return Base::toString(key.task.submission) + "-" + std::to_string(key.task.index) + "-" + std::to_string(key.attempt);
}

void BackendCall::HandleDeleter::operator()(CURL *handle) const
{
    curl_easy_cleanup(handle);
}

BackendCall::BackendCall(CallKind kind, const Base::AttemptKey &key, std::string_view method, const std::string &url, std::string body)
    : kind_(kind)
    , key_(key)
    , orderedAt_(Base::monoNow())
    , handle_(curl_easy_init())
    , transfer_(handle_.get(), {std::string(method), url, std::move(body), {}, callTimeout(kind), isIdempotent(kind)})
{
    transfer_.setSendCondition([this] { return !isLeaseOutdated(); });
    transfer_.setBodySink([this](std::string_view part) { return appendResponse(part); });
    curl_easy_setopt(handle_.get(), CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
}

void BackendCall::finish(CURLcode code)
{
    response_ = transfer_.takeResponse(code);
}

bool BackendCall::isLeaseOutdated() const
{
    const bool grantsLease = kind_ == CallKind::Start || kind_ == CallKind::Renew;
    return grantsLease && Base::monoNow() - orderedAt_ > maxSendDelay;
}

bool BackendCall::appendResponse(std::string_view part)
{
    responseTooLarge_ = responseBody_.size() + part.size() > maxResponseBytes;
    if (!responseTooLarge_) {
        responseBody_.append(part);
    }
    return !responseTooLarge_;
}

BackendOutcome BackendCall::parseOutcome(std::string &result) const
{
    const int status = httpStatus();
    if (status == httpTooManyRequests || status == httpUnavailable) {
        // This answers the only sending of the start, as starts are not idempotent.
        return BackendOutcome::NotStarted;
    }
    const Json response = parseObject(responseBody_);
    if (status == httpOk && response.contains("result")) {
        result = response["result"].dump();
        return BackendOutcome::Succeeded;
    }
    if (status == httpConflict) {
        // Any other conflict means that the backend server already has a task of this id, whose outcome is unknown here.
        const auto stopped = response.find("stopped");
        return stopped != response.end() && *stopped == true ? BackendOutcome::Stopped : BackendOutcome::Lost;
    }
    result = response.contains("error")
                 ? toText(response["error"])
                 : "backend server responded with status " + std::to_string(status) + "; expected status 200 with \"result\" or a text in \"error\"";
    return BackendOutcome::Failed;
}

BackendTaskEnded BackendCall::taskEnded() const
{
    BackendTaskEnded ended{key_, BackendOutcome::Lost, {}};
    if (responseTooLarge_) {
        ended.outcome = BackendOutcome::Failed;
        ended.result = "response of the backend server is larger than " + std::to_string(maxResponseBytes) + " bytes";
    } else if (isAnswered()) {
        ended.outcome = parseOutcome(ended.result);
    } else if (response_.outcome == HttpTransfer::Response::Outcome::NotSent) {
        // The backend server can't start a task before it has received the whole body.
        ended.outcome = BackendOutcome::NotStarted;
    }
    return ended;
}

BackendStatus BackendCall::status() const
{
    BackendStatus status;
    if (httpStatus() != httpOk) {
        return status;
    }
    const Json response = parseObject(responseBody_);
    const auto state = response.find("state");
    if (state == response.end() || !state->is_string()) {
        return status;
    }
    status.state = *state == "leaving" ? BackendState::Leaving : BackendState::Serving;
    if (const auto slots = response.find("slots"); slots != response.end() && slots->is_number_unsigned()) {
        status.slots = static_cast<std::uint16_t>(std::min<std::uint64_t>(slots->get<std::uint64_t>(), UINT16_MAX));
    }
    if (const auto kinds = response.find("kinds"); kinds != response.end() && kinds->is_array()) {
        for (const Json &kind : *kinds) {
            status.kinds.push_back(toText(kind));
        }
    }
    return status;
}

} // namespace LaburnumFlow::Agent::Internal
