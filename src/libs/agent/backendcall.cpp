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

constexpr long connectTimeoutMs = 1000;
constexpr long shortCallTimeoutMs = 2000;
constexpr long statusTimeoutMs = 500;
/// A call that grants a lease is not sent later than this after its order. The lease is counted from the order, and leaseMargin covers the rest.
constexpr Base::Duration maxSendDelay = Protocol::leaseMargin / 2;
constexpr std::size_t maxResponseBytes = Protocol::maxBodyBytes;

constexpr long httpOk = 200;
constexpr long httpConflict = 409;
constexpr long httpTooManyRequests = 429;
constexpr long httpUnavailable = 503;

long callTimeoutMs(CallKind kind)
{
    switch (kind) {
    case CallKind::Start:
        return 0; // no timeout: the task's lease ends the call
    case CallKind::Status:
        return statusTimeoutMs;
    case CallKind::Renew:
    case CallKind::Stop:
    case CallKind::Throttle:
    case CallKind::Checkpoint:
        break;
    }
    return shortCallTimeoutMs;
}

/// Always fails. When a reused connection breaks before the response, libcurl rewinds the body and sends the request again
/// by itself. The task may have started by then, so the rewind must fail to prevent a second start.
int refuseRewind(void *, curl_off_t, int)
{
    return CURL_SEEKFUNC_FAIL;
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

BackendCall::BackendCall(CallKind kind, const Base::AttemptKey &key, std::string_view method, const std::string &url, std::string body)
    : kind_(kind), key_(key), body_(std::move(body)), orderedAt_(Base::monoNow()), handle_(curl_easy_init())
{
    curl_easy_setopt(handle_, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle_, CURLOPT_PROXY, "");
    curl_easy_setopt(handle_, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(handle_, CURLOPT_TIMEOUT_MS, callTimeoutMs(kind));
    curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, &BackendCall::writeResponse);
    curl_easy_setopt(handle_, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle_, CURLOPT_PRIVATE, this);
    if (!body_.empty()) {
        headers_ = curl_slist_append(headers_, "Content-Type: application/json");
        headers_ = curl_slist_append(headers_, "Expect:");
        curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, headers_);
        curl_easy_setopt(handle_, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(handle_, CURLOPT_INFILESIZE_LARGE, static_cast<curl_off_t>(body_.size()));
        curl_easy_setopt(handle_, CURLOPT_READFUNCTION, &BackendCall::readBody);
        curl_easy_setopt(handle_, CURLOPT_READDATA, this);
        curl_easy_setopt(handle_, CURLOPT_SEEKFUNCTION, &refuseRewind);
    }
    curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, std::string(method).c_str());
}

BackendCall::~BackendCall()
{
    curl_easy_cleanup(handle_);
    curl_slist_free_all(headers_);
}

long BackendCall::httpStatus() const
{
    long status = 0;
    curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
    return status;
}

bool BackendCall::isLeaseOutdated() const
{
    const bool grantsLease = kind_ == CallKind::Start || kind_ == CallKind::Renew;
    return grantsLease && Base::monoNow() - orderedAt_ > maxSendDelay;
}

std::size_t BackendCall::readBody(char *to, std::size_t size, std::size_t count, void *self)
{
    auto *call = static_cast<BackendCall *>(self);
    const std::size_t n = std::min(size * count, call->body_.size() - call->bodyOffset_);
    if (n == 0 || call->isLeaseOutdated()) {
        return CURL_READFUNC_ABORT;
    }
    call->bodyOffset_ += call->body_.copy(to, n, call->bodyOffset_);
    return n;
}

std::size_t BackendCall::writeResponse(char *from, std::size_t size, std::size_t count, void *self)
{
    auto *call = static_cast<BackendCall *>(self);
    const std::size_t n = size * count;
    if (call->response_.size() + n > maxResponseBytes) {
        call->responseTooLarge_ = true;
        return 0;
    }
    call->response_.append(from, n);
    return n;
}

BackendOutcome BackendCall::parseOutcome(std::string &result) const
{
    const long status = httpStatus();
    if (status == httpTooManyRequests || status == httpUnavailable) {
        return BackendOutcome::NotStarted;
    }
    const Json response = parseObject(response_);
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

BackendTaskEnded BackendCall::taskEnded(CURLcode code) const
{
    BackendTaskEnded ended{key_, BackendOutcome::Lost, {}};
    if (responseTooLarge_) {
        ended.outcome = BackendOutcome::Failed;
        ended.result = "response of the backend server is larger than " + std::to_string(maxResponseBytes) + " bytes";
    } else if (code == CURLE_OK) {
        ended.outcome = parseOutcome(ended.result);
    } else if (!isSent()) {
        // The backend server can't start a task before it has received the whole body.
        ended.outcome = BackendOutcome::NotStarted;
    }
    return ended;
}

BackendStatus BackendCall::status(CURLcode code) const
{
    BackendStatus status;
    if (code != CURLE_OK || httpStatus() != httpOk) {
        return status;
    }
    const Json response = parseObject(response_);
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
