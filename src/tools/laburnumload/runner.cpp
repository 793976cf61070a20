#include "runner.h"

#include "httptransfer/transfer.h"

#include <curl/curl.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <utility>

namespace LaburnumFlow::Load {

namespace {

using Clock = std::chrono::steady_clock;
using Outcome = HttpTransfer::Response::Outcome;

constexpr std::chrono::milliseconds answerSlack{10'000}; ///< beyond the deadline before the tool gives a job up
constexpr int maxPollMs = 100;
constexpr std::size_t mostResends = 4;
constexpr std::chrono::milliseconds queryPause{20}; ///< between queries of a stored job; an entry holds each until the job ends, or for 200 ms
constexpr int roundTripSamples = 51;
constexpr std::chrono::seconds roundTripTimeout{5};
constexpr long maxConnections = 4'000;

struct DueCall {
    Clock::time_point at;
    std::size_t job = 0;
    CallPurpose purpose = CallPurpose::Submit;
    std::size_t detour = 0; ///< how many entries after the job's own

    bool operator<(const DueCall &other) const
    {
        return at > other.at;
    }
};

struct OpenCall {
    OpenCall(CURL *handle, HttpTransfer::Request request, const DueCall &due)
        : job(due.job), purpose(due.purpose), detour(due.detour), transfer(handle, std::move(request))
    {
    }

    std::size_t job;
    CallPurpose purpose;
    std::size_t detour; ///< as in DueCall
    HttpTransfer::Transfer transfer;
};

/// Submissions are sent again by the tool only, which then knows that the first answer is lost.
bool isIdempotent(CallPurpose purpose)
{
    return purpose == CallPurpose::Query || purpose == CallPurpose::Cancel;
}

class Runner
{
public:
    Runner(const Scenario &scenario, const std::vector<PlannedJob> &jobs, const std::vector<std::string> &entries, std::uint64_t seed)
        : scenario_(scenario), jobs_(jobs), entries_(entries), multi_(curl_multi_init()), random_(seed), results_(jobs.size())
    {
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, maxConnections);
    }

    ~Runner()
    {
        curl_multi_cleanup(multi_);
    }

    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    std::vector<JobResult> run()
    {
        start_ = Clock::now();
        for (std::size_t i = 0; i < jobs_.size(); ++i) {
            planJob(i);
        }
        while (!due_.empty() || !open_.empty()) {
            sendDue();
            int running = 0;
            curl_multi_perform(multi_, &running);
            collect();
            curl_multi_poll(multi_, nullptr, 0, pollMs(), nullptr);
        }
        return std::move(results_);
    }

private:
    void planJob(std::size_t index)
    {
        const PlannedJob &job = jobs_[index];
        results_[index].id = makeJobId(scenario_, job.atSeconds, random_);
        const Clock::time_point at = intended(index);
        due_.push({at, index, CallPurpose::Submit});
        if (job.resubmit) {
            due_.push({at, index, CallPurpose::Resubmit, 1});
        }
        if (job.cancel) {
            due_.push({at + std::chrono::microseconds(std::lround(idealMs(scenario_, job) * 500)), index, CallPurpose::Cancel});
        }
    }

    Clock::time_point intended(std::size_t index) const
    {
        return start_ + std::chrono::microseconds(std::lround(jobs_[index].atSeconds * 1e6));
    }

    int pollMs() const
    {
        if (due_.empty()) {
            return maxPollMs;
        }
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(due_.top().at - Clock::now()).count();
        return static_cast<int>(std::clamp<long>(wait, 0, maxPollMs));
    }

    void sendDue()
    {
        while (!due_.empty() && due_.top().at <= Clock::now()) {
            send(due_.top());
            due_.pop();
        }
    }

    void send(const DueCall &call)
    {
        const PlannedJob &job = jobs_[call.job];
        const std::size_t entry = (job.entry + call.detour) % entries_.size();
        CallForm form = formOf(scenario_, job, results_[call.job].id, call.purpose);
        HttpTransfer::Request request{std::move(form.method), "http://" + entries_[entry] + form.path, std::move(form.body), std::move(form.headers)};
        request.timeout = std::chrono::milliseconds(scenario_.deadlineMs) + answerSlack;
        request.idempotent = isIdempotent(call.purpose);
        CURL *handle = curl_easy_init();
        open_.emplace(handle, std::make_unique<OpenCall>(handle, std::move(request), call));
        curl_multi_add_handle(multi_, handle);
    }

    void collect()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi_, &left)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result);
            }
        }
    }

    void finish(CURL *handle, CURLcode code)
    {
        const auto found = open_.find(handle);
        const std::unique_ptr<OpenCall> open = std::move(found->second);
        open_.erase(found);
        if (open->purpose == CallPurpose::Submit || open->purpose == CallPurpose::Query) {
            record(*open, code);
        }
        curl_multi_remove_handle(multi_, handle);
        curl_easy_cleanup(handle);
    }

    void record(OpenCall &open, CURLcode code)
    {
        JobResult &result = results_[open.job];
        const std::chrono::duration<double, std::milli> latency = Clock::now() - intended(open.job);
        result.latencyMs = latency.count() + 2 * scenario_.clientDelayMs;
        const HttpTransfer::Response response = open.transfer.takeResponse(code);
        if (response.outcome != Outcome::Answered) {
            result.reason = curl_easy_strerror(code);
            sendAgain(open);
            return;
        }
        CallMeaning meaning = meaningOf(scenario_, response.status, response.body);
        if (!meaning.end) {
            due_.push({Clock::now() + queryPause, open.job, CallPurpose::Query, open.detour});
            return;
        }
        result.end = *meaning.end;
        result.reason = std::move(meaning.reason);
        if (meaning.sendAgain) {
            sendAgain(open);
        }
    }

    void sendAgain(const OpenCall &open)
    {
        if (scenario_.resendMs > 0 && open.detour < mostResends) {
            due_.push({Clock::now() + std::chrono::milliseconds(scenario_.resendMs), open.job, open.purpose, open.detour + 1});
        }
    }

    const Scenario &scenario_;
    const std::vector<PlannedJob> &jobs_;
    const std::vector<std::string> &entries_;
    CURLM *multi_;
    std::mt19937_64 random_;
    Clock::time_point start_;
    std::priority_queue<DueCall> due_;
    std::unordered_map<CURL *, std::unique_ptr<OpenCall>> open_;
    std::vector<JobResult> results_;
};

} // namespace

std::vector<JobResult> runSchedule(const Scenario &scenario, const std::vector<PlannedJob> &jobs, const std::vector<std::string> &entries, std::uint64_t seed)
{
    return Runner(scenario, jobs, entries, seed).run();
}

double measureRoundTripMs(const Scenario &scenario, const std::string &entry)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(), &curl_easy_cleanup);
    const HttpTransfer::Request probe{"GET", "http://" + entry + probePath(scenario), {}, {}, roundTripTimeout, true};
    std::vector<double> times;
    for (int i = 0; i < roundTripSamples; ++i) {
        curl_easy_reset(handle.get());
        const HttpTransfer::Transfer transfer(handle.get(), probe);
        const Clock::time_point begin = Clock::now();
        if (curl_easy_perform(handle.get()) == CURLE_OK) {
            times.push_back(std::chrono::duration<double, std::milli>(Clock::now() - begin).count());
        }
    }
    std::sort(times.begin(), times.end());
    return times.empty() ? 0 : times[times.size() / 2];
}

} // namespace LaburnumFlow::Load
