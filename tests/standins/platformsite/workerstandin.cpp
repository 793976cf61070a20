#include "workerstandin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace PlatformSite {

using nlohmann::json;

namespace {

constexpr std::int64_t holdMaxMs = 1000;
constexpr std::uint32_t milliPerTask = 1000; ///< thousandths of a core; the worker is not told what a task takes

} // namespace

WorkerStandIn::WorkerStandIn(WorkerShape shape)
    : shape_(std::move(shape))
    , bornMs_(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , server_([this](const StandInRequest &request) { return answer(request); })
{
}

std::string WorkerStandIn::heartbeatPath() const
{
    return "/instances/" + shape_.id;
}

std::string WorkerStandIn::heartbeat()
{
    const std::lock_guard lock(mutex_);
    return json{{"Service", "service"},
                {"Address", endpoint()},
                {"Zone", "domain-1"},
                {"State", "ready"},
                {"Capacity", {{"Cpu", shape_.slots * milliPerTask}, {"MemMb", 4096}, {"Gpu", 0}}},
                {"Labels", {"a", shape_.rack}},
                {"Seq", ++beats_},
                {"born", bornMs_}}
        .dump();
}

void WorkerStandIn::restart()
{
    const std::lock_guard lock(mutex_);
    settle();
    for (const std::size_t index : active_) {
        runs_[index].how = "gone";
        runs_[index].end = Clock::now();
    }
    active_.clear();
    highestRun_.clear();
    ended_.clear();
    barred_.clear();
    lastNumber_ = 0;
    forgotten_ = 0;
    fence_ = 0;
    leaseEnd_ = {};
    born_ = Clock::now();
    ++bornMs_;
    changed_.notify_all();
}

std::vector<WorkerStandIn::Run> WorkerStandIn::runs()
{
    const std::lock_guard lock(mutex_);
    settle();
    return runs_;
}

bool WorkerStandIn::overlapped()
{
    return overlap(runs());
}

std::int64_t WorkerStandIn::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - born_).count();
}

void WorkerStandIn::renew(std::int64_t untilMs)
{
    leaseEnd_ = std::max(leaseEnd_, born_ + std::chrono::milliseconds(std::min(untilMs, clockMs() + holdMaxMs)));
}

void WorkerStandIn::finish(std::size_t index, const std::string &how, Clock::time_point at)
{
    runs_[index].how = how;
    runs_[index].end = at;
    std::erase(active_, index);
    ended_.emplace_back(++lastNumber_, index);
    changed_.notify_all();
}

/// Brings what has ended by now up to date.
void WorkerStandIn::settle()
{
    const Clock::time_point now = Clock::now();
    const std::vector<std::size_t> active = active_;
    for (const std::size_t index : active) {
        if (runs_[index].end <= now && runs_[index].end <= leaseEnd_) {
            finish(index, "done", runs_[index].end);
        } else if (leaseEnd_ <= now) {
            finish(index, "lapsed", leaseEnd_);
        }
    }
}

StandInReply WorkerStandIn::answer(const StandInRequest &request)
{
    std::unique_lock lock(mutex_);
    settle();
    if (request.path == "/run-start") {
        return start(request.body);
    }
    if (request.path == "/run-stop") {
        return stop(request.body);
    }
    if (request.path == "/hold") {
        return hold(request.body, lock);
    }
    return {404, {}};
}

StandInReply WorkerStandIn::start(const std::string &body)
{
    const json order = json::parse(body);
    const std::pair<std::string, std::uint32_t> key{order["Task"], order["Run"]};
    const auto refuse = [this](const char *reason) { return StandInReply{409, json{{"ClockMs", clockMs()}, {"Reason", reason}}.dump()}; };
    if (order["Fence"].get<std::uint64_t>() < fence_) {
        return refuse("fence");
    }
    fence_ = order["Fence"];
    const std::int64_t until = order["UntilMs"];
    if (until <= clockMs()) {
        return refuse("late");
    }
    renew(until);
    if (highestRun_[key.first] >= key.second || barred_.contains(key)) {
        return refuse("old");
    }
    if (active_.size() >= shape_.slots) {
        return refuse("room");
    }
    highestRun_[key.first] = key.second;
    active_.push_back(runs_.size());
    const std::chrono::duration<double, std::milli> work(std::stod(order["Spec"].get<std::string>()) / shape_.speed);
    runs_.push_back({key.first, key.second, Clock::now(), Clock::now() + std::chrono::duration_cast<Clock::duration>(work), {}});
    changed_.notify_all();
    return {200, json{{"ClockMs", clockMs()}}.dump()};
}

StandInReply WorkerStandIn::stop(const std::string &body)
{
    const json order = json::parse(body);
    if (order["Fence"].get<std::uint64_t>() < fence_) {
        return {409, json{{"ClockMs", clockMs()}, {"Reason", "fence"}}.dump()};
    }
    fence_ = order["Fence"];
    barred_[{order["Task"], order["Run"]}] = true;
    const std::vector<std::size_t> active = active_;
    for (const std::size_t index : active) {
        if (runs_[index].task == order["Task"] && runs_[index].run == order["Run"]) {
            finish(index, "stopped", Clock::now());
        }
    }
    return {200, json{{"ClockMs", clockMs()}}.dump()};
}

StandInReply WorkerStandIn::hold(const std::string &body, std::unique_lock<std::mutex> &lock)
{
    const json order = json::parse(body);
    if (order["Fence"].get<std::uint64_t>() < fence_) {
        return {409, json{{"ClockMs", clockMs()}, {"Reason", "fence"}}.dump()};
    }
    fence_ = order["Fence"];
    forgotten_ = std::max(forgotten_, order["AckedUpto"].get<std::uint64_t>());
    std::erase_if(ended_, [this](const auto &end) { return end.first <= forgotten_; });
    if (order.contains("UntilMs")) {
        renew(order["UntilMs"]);
    }
    const Clock::time_point limit = Clock::now() + std::chrono::milliseconds(order.value("WaitMs", 0));
    while (ended_.empty() && Clock::now() < limit) {
        Clock::time_point wake = limit;
        for (const std::size_t index : active_) {
            wake = std::min({wake, runs_[index].end, leaseEnd_});
        }
        changed_.wait_until(lock, wake);
        settle();
    }
    json running = json::array();
    for (const std::size_t index : active_) {
        const Run &run = runs_[index];
        const double total = std::chrono::duration<double>(run.end - run.begin).count();
        const double passed = std::chrono::duration<double>(Clock::now() - run.begin).count();
        running.push_back({run.task, run.run, "", static_cast<int>(100.0 * passed / total)});
    }
    json ends = json::array();
    for (const auto &[number, index] : ended_) {
        ends.push_back({number, runs_[index].task, runs_[index].run, runs_[index].how, ""});
    }
    return {200, json{{"ClockMs", clockMs()}, {"born", bornMs_}, {"Running", running}, {"Ended", ends}}.dump()};
}

bool overlap(std::vector<WorkerStandIn::Run> runs)
{
    using Run = WorkerStandIn::Run;
    std::sort(runs.begin(), runs.end(), [](const Run &left, const Run &right) { return std::tie(left.task, left.begin) < std::tie(right.task, right.begin); });
    const auto overlapsNext = [](const Run &earlier, const Run &later) { return earlier.task == later.task && later.begin < earlier.end; };
    return std::adjacent_find(runs.begin(), runs.end(), overlapsNext) != runs.end();
}

} // namespace PlatformSite
