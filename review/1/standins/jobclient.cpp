#include "jobclient.h"

#include "auto/system/httpcall.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace Review {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds resendDelay(1300); // ResendMs of the site
constexpr long deadlineMs = 1500;
constexpr int maxSendings = 4;
constexpr int lostSamples = 13; ///< over 3 s
constexpr std::chrono::milliseconds sampleInterval(250);

std::string jobId(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(0x5c0e7a2100000000ULL + number));
    return text;
}

bool isFinal(const std::string &state)
{
    return state == "completed" || state == "failed" || state == "cancelled";
}

} // namespace

void JobClient::submit(const std::string &group, const StepShape &step)
{
    SentJob job;
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(mutex_);
        number = sent_++;
    }
    job.id = jobId(number);
    job.group = group;
    job.tasks = step.count;
    job.cpu = step.cpu;
    job.memMb = step.memMb;
    job.requires_ = step.requires_;
    job.lasts = step.lasts;
    job.maxPerServer = step.maxPerServer;
    json row{{"Count", step.count}, {"Cpu", step.cpu}, {"MemMb", step.memMb}, {"EstimateMs", step.estimateMs}};
    if (!step.requires_.empty()) {
        row["Requires"] = step.requires_;
    }
    if (!step.dataRack.empty()) {
        row["DataRack"] = step.dataRack;
    }
    if (step.maxPerServer > 0) {
        row["MaxPerServer"] = step.maxPerServer;
    }
    if (step.gang) {
        row["Gang"] = true;
    }
    if (step.lasts) {
        row["LongRunning"] = true;
    }
    const std::string spec = "ms=" + std::to_string(step.estimateMs) + " cpu=" + std::to_string(step.cpu) + " mem=" + std::to_string(step.memMb)
                             + (step.lasts ? " lasts=1" : "") + (step.fails ? " fails=1" : "") + (step.gang ? " gang=" + std::to_string(step.count) : "");
    const std::string body = json{{"Spec", spec}, {"Steps", {row}}}.dump();
    for (int sending = 0; sending < maxSendings; ++sending) {
        const std::string &front = site_.fronts()[(number + static_cast<std::uint64_t>(sending)) % site_.fronts().size()];
        const long status = SystemTest::call("POST",
                                             front,
                                             "/q/" + job.id,
                                             body,
                                             {"Host: q.example", "Content-Type: application/json", "X-Deadline-Ms: " + std::to_string(deadlineMs)},
                                             deadlineMs)
                                .status;
        record_.write("client: POST " + job.id + " (" + group + ") -> " + (status == 0 ? "no answer" : std::to_string(status)));
        job.accepted = status >= 200 && status < 300;
        if (status != 0 && status != 502 && status != 504) {
            break;
        }
        std::this_thread::sleep_for(resendDelay);
    }
    const std::lock_guard lock(mutex_);
    jobs_[job.id] = job;
}

void JobClient::submitFor(const std::string &group, const StepShape &step, std::chrono::milliseconds time, std::chrono::milliseconds pause)
{
    const auto begin = std::chrono::steady_clock::now();
    std::vector<std::thread> sendings;
    for (auto next = begin; next < begin + time; next += pause) {
        std::this_thread::sleep_until(next);
        sendings.emplace_back([this, group, step] { submit(group, step); });
    }
    for (std::thread &sending : sendings) {
        sending.join();
    }
}

void JobClient::askStates()
{
    std::vector<std::string> open;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[id, job] : jobs_) {
            if (job.accepted && !isFinal(job.state)) {
                open.push_back(id);
            }
        }
    }
    constexpr std::size_t parallelCalls = 16;
    for (std::size_t first = 0; first < open.size(); first += parallelCalls) {
        std::vector<std::thread> calls;
        for (std::size_t i = first; i < std::min(open.size(), first + parallelCalls); ++i) {
            calls.emplace_back([this, id = open[i], front = site_.fronts()[i % site_.fronts().size()]] {
                const SystemTest::HttpResult result
                    = SystemTest::call("GET", front, "/q/" + id, {}, {"Host: q.example", "X-Deadline-Ms: " + std::to_string(deadlineMs)}, deadlineMs);
                const std::string state = result.status == 200 ? result.json().value("State", "") : result.status == 410 ? "410" : "";
                const std::lock_guard lock(mutex_);
                jobs_[id].state = state;
            });
        }
        for (std::thread &call : calls) {
            call.join();
        }
    }
}

bool JobClient::isIdleDespiteRoom(const SentJob &job, const std::vector<CaseWorker::Use> &uses, const std::vector<bool> &up) const
{
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    std::int64_t room = 0;
    int running = 0;
    for (std::size_t i = 0; i < uses.size(); ++i) {
        if (!up[i]) {
            continue;
        }
        const WorkerShape &shape = site_.workers()[i]->shape();
        capacity += shape.cpu;
        used += uses[i].cpu;
        const auto ofJob
            = std::count_if(uses[i].tasks.begin(), uses[i].tasks.end(), [&job](const std::string &task) { return task.starts_with(job.id + "."); });
        running += static_cast<int>(ofJob);
        const bool hasLabel = job.requires_.empty() || std::find(shape.labels.begin(), shape.labels.end(), job.requires_) != shape.labels.end();
        if (!hasLabel || (job.maxPerServer > 0 && ofJob >= job.maxPerServer)) {
            continue;
        }
        room += std::min((shape.cpu - uses[i].cpu) / std::max<std::int64_t>(1, job.cpu), (shape.memMb - uses[i].memMb) / std::max<std::int64_t>(1, job.memMb));
    }
    const bool waits = job.lasts ? running < job.tasks : running == 0;
    return waits && room >= 2 && used * 2 < capacity;
}

std::vector<std::string> JobClient::lostJobs()
{
    std::map<std::string, int> idleSamples;
    for (int sample = 0; sample < lostSamples; ++sample) {
        std::vector<CaseWorker::Use> uses;
        std::vector<bool> up;
        for (const auto &worker : site_.workers()) {
            uses.push_back(worker->use());
            up.push_back(worker->isUp());
        }
        for (const auto &[id, job] : jobs_) {
            if (job.accepted && !isFinal(job.state) && isIdleDespiteRoom(job, uses, up)) {
                ++idleSamples[id];
            }
        }
        std::this_thread::sleep_for(sampleInterval);
    }
    askStates();
    std::vector<std::string> lost;
    for (const auto &[id, job] : jobs_) {
        if (!job.accepted) {
            continue;
        }
        const bool unknown = job.state.empty() || job.state == "410";
        const bool idle = !isFinal(job.state) && idleSamples[id] == lostSamples;
        if (unknown || idle) {
            lost.push_back(id);
            record_.write("judge: job " + id + " (" + job.group + ") is lost: state '" + job.state + "', nothing of it running for 3 s despite room");
        }
    }
    return lost;
}

} // namespace Review
