#include "backendclient.h"

#include "backendcall.h"
#include "base/timerservice.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>
#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace LaburnumFlow::Agent {

namespace {

using namespace std::chrono_literals;
using Internal::BackendCall;
using Internal::CallKind;

constexpr long maxCachedConnections = 64;
constexpr int idlePollTimeoutMs = 1000;
constexpr int retryPollTimeoutMs = 20;
constexpr Base::Duration stopRetryInterval = 50ms; ///< A stop that reaches the backend server before its start finds no task and is repeated
constexpr int maxStopTries = 20;
constexpr int firstHttpError = 300;
/// A start call that has not ended this long after its stop is aborted. Its lease has ended by then.
constexpr Base::Duration stopTimeout = 12s;

class BackendClient : public BackendServer
{
public:
    BackendClient(const Base::Endpoint &backend, Base::CounterRegistry &counters, std::function<void(Event)> post)
        : baseUrl_("http://" + (backend.address.find(':') == std::string::npos ? backend.address : "[" + backend.address + "]") + ":"
                   + std::to_string(backend.port))
        , secondSendingsSent_(counters.counter("backend.second-sending.sent"))
        , secondSendingsPrevented_(counters.counter("backend.second-sending.prevented"))
        , postEvent_(std::move(post))
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, maxCachedConnections);
        thread_ = std::thread([this] {
            pthread_setname_np(pthread_self(), "backend");
            run();
        });
    }

    ~BackendClient() override
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        curl_multi_wakeup(multi_);
        thread_.join();
        for (const auto &[handle, call] : calls_) {
            curl_multi_remove_handle(multi_, handle);
        }
        calls_.clear();
        curl_multi_cleanup(multi_);
        curl_global_cleanup();
    }

    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;

    void start(const BackendStart &effect) override
    {
        const std::string kind = nlohmann::json(effect.kind).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        std::string body = R"({"kind":)" + kind + R"(,"payload":)" + (effect.payload.empty() ? "null" : effect.payload) + R"(,"leaseMs":)"
                           + std::to_string(effect.leaseMs) + "}";
        enqueueTaskCall(CallKind::Start, effect.key, "PUT", "", std::move(body));
    }

    void renew(const BackendRenew &effect) override
    {
        enqueueTaskCall(CallKind::Renew, effect.key, "POST", "/lease", R"({"leaseMs":)" + std::to_string(effect.leaseMs) + "}");
    }

    void stop(const BackendStop &effect) override
    {
        enqueueTaskCall(CallKind::Stop, effect.key, "DELETE", "", "");
    }

    void throttle(const BackendThrottle &effect) override
    {
        enqueueTaskCall(CallKind::Throttle, effect.key, "POST", "/throttle", nlohmann::json{{"share", effect.share}}.dump());
    }

    void checkpoint(const BackendCheckpoint &effect) override
    {
        enqueueTaskCall(CallKind::Checkpoint, effect.key, "POST", "/checkpoint", "{}");
    }

    void queryStatus() override
    {
        enqueue(std::make_unique<BackendCall>(CallKind::Status, Base::AttemptKey{}, "GET", baseUrl_ + "/status", ""));
    }

private:
    using CallPtr = std::unique_ptr<BackendCall>;

    struct StopProgress {
        Base::MonoTime requestedAt{};
        Base::MonoTime retryAt{Base::MonoTime::max()};
        int tries = 0;
    };

    void enqueueTaskCall(CallKind kind, const Base::AttemptKey &key, std::string_view method, std::string_view suffix, std::string body)
    {
        enqueue(std::make_unique<BackendCall>(kind, key, method, baseUrl_ + "/tasks/" + Internal::attemptId(key) + std::string(suffix), std::move(body)));
    }

    void enqueue(CallPtr call)
    {
        {
            const std::lock_guard lock(mutex_);
            queuedCalls_.push_back(std::move(call));
        }
        curl_multi_wakeup(multi_);
    }

    void run()
    {
        while (beginQueuedCalls()) {
            int running = 0;
            curl_multi_perform(multi_, &running);
            finishCalls();
            superviseStops();
            curl_multi_poll(multi_, nullptr, 0, stops_.empty() ? idlePollTimeoutMs : retryPollTimeoutMs, nullptr);
        }
    }

    /// Returns false once the client is being destroyed.
    bool beginQueuedCalls()
    {
        std::vector<CallPtr> calls;
        {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                return false;
            }
            calls.swap(queuedCalls_);
        }
        for (CallPtr &call : calls) {
            beginCall(std::move(call));
        }
        return true;
    }

    void beginCall(CallPtr call)
    {
        CURL *handle = call->handle();
        if (call->kind() == CallKind::Start) {
            starts_.emplace(call->key(), handle);
        } else if (call->kind() == CallKind::Stop && starts_.contains(call->key())) {
            StopProgress &progress = stops_.try_emplace(call->key(), StopProgress{Base::monoNow()}).first->second;
            progress.retryAt = Base::MonoTime::max();
            ++progress.tries;
        }
        calls_.emplace(handle, std::move(call));
        curl_multi_add_handle(multi_, handle);
    }

    void finishCalls()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi_, &left)) {
            if (message->msg == CURLMSG_DONE) {
                const CURLcode code = message->data.result;
                finishCall(message->easy_handle, code);
            }
        }
    }

    void finishCall(CURL *handle, CURLcode code)
    {
        const auto found = calls_.find(handle);
        const CallPtr call = std::move(found->second);
        calls_.erase(found);
        call->finish(code);
        curl_multi_remove_handle(multi_, handle);
        countSecondSending(call->secondSending());
        switch (call->kind()) {
        case CallKind::Start:
            starts_.erase(call->key());
            stops_.erase(call->key());
            postEvent_(call->taskEnded());
            break;
        case CallKind::Status:
            postEvent_(call->status());
            break;
        case CallKind::Stop:
            scheduleStopRetry(*call);
            break;
        case CallKind::Renew:
        case CallKind::Throttle:
        case CallKind::Checkpoint:
            break;
        }
    }

    void countSecondSending(HttpTransfer::SecondSending secondSending)
    {
        switch (secondSending) {
        case HttpTransfer::SecondSending::None:
            break;
        case HttpTransfer::SecondSending::Prevented:
            secondSendingsPrevented_.add();
            break;
        case HttpTransfer::SecondSending::Sent:
            secondSendingsSent_.add();
            break;
        }
    }

    void scheduleStopRetry(const BackendCall &call)
    {
        const auto progress = stops_.find(call.key());
        const bool done = call.isAnswered() && call.httpStatus() < firstHttpError;
        if (progress != stops_.end() && !done && progress->second.tries < maxStopTries) {
            progress->second.retryAt = Base::monoNow() + stopRetryInterval;
        }
    }

    void superviseStops()
    {
        const Base::MonoTime now = Base::monoNow();
        std::vector<Base::AttemptKey> expired;
        for (auto &[key, progress] : stops_) {
            if (now - progress.requestedAt > stopTimeout) {
                expired.push_back(key);
            } else if (now >= progress.retryAt) {
                progress.retryAt = Base::MonoTime::max();
                stop({key});
            }
        }
        for (const Base::AttemptKey &key : expired) {
            finishCall(starts_.at(key), CURLE_OPERATION_TIMEDOUT);
        }
    }

    std::string baseUrl_;
    Base::Counter &secondSendingsSent_;
    Base::Counter &secondSendingsPrevented_;
    std::function<void(Event)> postEvent_;
    CURLM *multi_ = nullptr;
    std::map<CURL *, CallPtr> calls_; ///< Like starts_ and stops_, used by the thread only
    std::map<Base::AttemptKey, CURL *> starts_;
    std::map<Base::AttemptKey, StopProgress> stops_; ///< Requested stops whose start call has not ended
    std::mutex mutex_;
    std::vector<CallPtr> queuedCalls_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace

std::unique_ptr<BackendServer> makeBackendClient(const Base::Endpoint &backend, Base::CounterRegistry &counters, std::function<void(Event)> post)
{
    return std::make_unique<BackendClient>(backend, counters, std::move(post));
}

} // namespace LaburnumFlow::Agent
