#include "httpcaller.h"

#include <curl/curl.h>

#include <algorithm>

namespace LaburnumFlow::Store::Internal {

namespace {

constexpr std::size_t maxIdleHandles = 4; ///< Concurrent users: the store client, a watch and a few operators' calls

/// Holds the settings of 48 teams of 1 MB each in base64 (64 MB), doubled as a reserve.
constexpr std::size_t maxResponseBytes = 128UL * 1024UL * 1024UL;

struct HeaderList {
    HeaderList()
    {
        list = curl_slist_append(nullptr, "Content-Type: application/json");
        // An empty Expect header: otherwise libcurl delays larger bodies for up to a second to wait for "100 Continue".
        list = curl_slist_append(list, "Expect:");
    }

    ~HeaderList()
    {
        curl_slist_free_all(list);
    }

    HeaderList(const HeaderList &) = delete;
    HeaderList &operator=(const HeaderList &) = delete;

    curl_slist *list = nullptr;
};

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

/// State of one call, filled by libcurl's write callback.
struct HttpCaller::Call {
    CURL *curl = nullptr;
    const LineSink *sink = nullptr; ///< Null collects the whole body
    std::string body;
    int status = 0;
    bool endedBySink = false;

    bool receive(std::string_view data)
    {
        long code = 0;
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &code);
        status = static_cast<int>(code);
        if (body.size() + data.size() > maxResponseBytes) {
            return false;
        }
        body.append(data);
        return sink == nullptr || code != 200 || deliverLines();
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

    static std::size_t write(char *data, std::size_t size, std::size_t count, void *call)
    {
        return static_cast<Call *>(call)->receive({data, size * count}) ? size * count : 0;
    }
};

HttpCaller::HttpCaller(const Base::Endpoint &server) : server_("http://" + server.address + ":" + std::to_string(server.port))
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
    const std::lock_guard lock(mutex_);
    if (idle_.size() < maxIdleHandles) {
        idle_.push_back(std::move(handle));
    }
}

int HttpCaller::perform(Call &call, const char *path, const std::string &body, Base::Duration deadline, Connection connection)
{
    const long timeoutMs = static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(deadline).count());
    std::unique_ptr<Handle> handle = timeoutMs > 0 ? acquire() : nullptr;
    if (handle == nullptr) {
        return CURLE_OPERATION_TIMEDOUT;
    }
    const HeaderList headers;
    const std::string url = server_ + path;
    CURL *curl = handle->curl;
    call.curl = curl;
    curl_easy_reset(curl);
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.list);
    curl_easy_setopt(curl, CURLOPT_POST, 1L);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &Call::write);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &call);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeoutMs);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    // Disables the proxies of the environment, as the store is reached directly.
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, connection == Connection::New ? 1L : 0L);
    const CURLcode code = curl_easy_perform(curl);
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
        call.status = static_cast<int>(status);
        // After an error the handle is destroyed with its connections, as a connection that went silent stays silent.
        release(std::move(handle));
    }
    return code;
}

boost::leaf::result<HttpResponse> HttpCaller::post(const char *path, const std::string &body, Base::Duration deadline, Connection connection)
{
    Call call;
    const int code = perform(call, path, body, deadline, connection);
    if (code != CURLE_OK) {
        return boost::leaf::new_error(StoreUnavailable{curl_easy_strerror(static_cast<CURLcode>(code))});
    }
    return HttpResponse{call.status, std::move(call.body)};
}

boost::leaf::result<StreamResponse> HttpCaller::stream(const char *path, const std::string &body, Base::Duration deadline, const LineSink &sink)
{
    Call call;
    call.sink = &sink;
    const int code = perform(call, path, body, deadline, Connection::Reused);
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
