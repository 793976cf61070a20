#include "httpcaller.h"

#include "httptransfer/transfer.h"

#include <curl/curl.h>

#include <chrono>

namespace LaburnumFlow::Store::Internal {

namespace {

constexpr std::size_t maxIdleHandles = 4; ///< Concurrent users: the store client, a watch and a few operators' calls

/// Holds the settings of 48 teams of 1 MB each in base64 (64 MB), doubled as a reserve.
constexpr std::size_t maxResponseBytes = 128UL * 1024UL * 1024UL;

constexpr int httpOk = 200;

void initializeCurl()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

} // namespace

struct HttpCaller::Handle {
    Handle() : curl(curl_easy_init()) { }

    ~Handle()
    {
        curl_easy_cleanup(curl);
    }

    Handle(const Handle &) = delete;
    Handle &operator=(const Handle &) = delete;

    CURL *curl;
};

/// State of one call, filled while the response arrives.
struct HttpCaller::Call {
    const LineSink *sink = nullptr; ///< Null collects the whole body
    std::string body;
    int status = 0;
    bool endedBySink = false;

    bool receive(std::string_view data, int responseStatus)
    {
        status = responseStatus;
        if (body.size() + data.size() > maxResponseBytes) {
            return false;
        }
        body.append(data);
        return sink == nullptr || status != httpOk || deliverLines();
    }

    bool deliverLines()
    {
        std::size_t start = 0;
        for (std::size_t end = body.find('\n'); end != std::string::npos; end = body.find('\n', start)) {
            if (!(*sink)(std::string_view(body).substr(start, end - start))) {
                endedBySink = true;
                return false;
            }
            start = end + 1;
        }
        body.erase(0, start);
        return true;
    }
};

HttpCaller::HttpCaller(const Base::Endpoint &server, Base::Counter &secondSendings)
    : server_("http://" + server.address + ":" + std::to_string(server.port)), secondSendings_(secondSendings)
{
    initializeCurl();
}

HttpCaller::~HttpCaller() = default;

std::unique_ptr<HttpCaller::Handle> HttpCaller::acquire()
{
    const std::lock_guard lock(mutex_);
    if (idle_.empty()) {
        return std::make_unique<Handle>();
    }
    std::unique_ptr<Handle> handle = std::move(idle_.back());
    idle_.pop_back();
    return handle;
}

void HttpCaller::release(std::unique_ptr<Handle> handle)
{
    curl_easy_reset(handle->curl);
    const std::lock_guard lock(mutex_);
    if (idle_.size() < maxIdleHandles) {
        idle_.push_back(std::move(handle));
    }
}

int HttpCaller::perform(Call &call, const char *path, const std::string &body, Base::Duration deadline, Idempotent idempotent)
{
    if (deadline < std::chrono::milliseconds(1)) {
        return CURLE_OPERATION_TIMEDOUT;
    }
    std::unique_ptr<Handle> handle = acquire();
    CURL *curl = handle->curl;
    HttpTransfer::Transfer transfer(curl, {"POST", server_ + path, body, {}, deadline, idempotent == Idempotent::Yes});
    transfer.setBodySink([&](std::string_view data) { return call.receive(data, transfer.status()); });
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, idempotent == Idempotent::No ? 1L : 0L);
    const CURLcode code = curl_easy_perform(curl);
    const HttpTransfer::Response response = transfer.takeResponse(code);
    if (response.secondSending == HttpTransfer::SecondSending::Sent) {
        secondSendings_.add();
    }
    if (code == CURLE_OK) {
        call.status = response.status;
        // After an error the handle is destroyed with its connections, as a connection that went silent stays silent.
        release(std::move(handle));
    }
    return code;
}

boost::leaf::result<HttpResponse> HttpCaller::post(const char *path, const std::string &body, Base::Duration deadline, Idempotent idempotent)
{
    Call call;
    const int code = perform(call, path, body, deadline, idempotent);
    if (code != CURLE_OK) {
        return boost::leaf::new_error(StoreUnavailable{curl_easy_strerror(static_cast<CURLcode>(code))});
    }
    return HttpResponse{call.status, std::move(call.body)};
}

boost::leaf::result<StreamResponse> HttpCaller::stream(const char *path, const std::string &body, Base::Duration deadline, const LineSink &sink)
{
    Call call;
    call.sink = &sink;
    const int code = perform(call, path, body, deadline, Idempotent::Yes);
    if (call.endedBySink) {
        return StreamResponse{StreamEnd::BySink, call.status, {}};
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return StreamResponse{StreamEnd::ByDeadline, call.status, std::move(call.body)};
    }
    if (code != CURLE_OK) {
        return boost::leaf::new_error(StoreUnavailable{curl_easy_strerror(static_cast<CURLcode>(code))});
    }
    return StreamResponse{StreamEnd::ByServer, call.status, std::move(call.body)};
}

} // namespace LaburnumFlow::Store::Internal
