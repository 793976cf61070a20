#include "workerstandin.h"

#include "../system/httpcall.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace NodeTest {

using nlohmann::json;

namespace {

constexpr std::int64_t holdMaxMs = 1000;

} // namespace

WorkerStandIn::WorkerStandIn()
    : bornMs_(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , server_([this](const StandInRequest &request) { return answer(request); })
{
}

long WorkerStandIn::announce(const std::string &agent)
{
    const json beat{{"Service", "service"},
                    {"Address", endpoint()},
                    {"Zone", "domain-1"},
                    {"State", "ready"},
                    {"Capacity", {{"Cpu", 8000}, {"MemMb", 4096}, {"Gpu", 0}}},
                    {"Labels", {"a", "r1"}},
                    {"Seq", ++beats_},
                    {"born", bornMs_}};
    return SystemTest::call("PUT", agent, "/instances/worker-1", beat.dump()).status;
}

void WorkerStandIn::restart()
{
    const std::lock_guard lock(mutex_);
    settle();
    for (Run &run : runs_) {
        if (run.how.empty()) {
            run.how = "gone";
            run.end = Clock::now();
        }
    }
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
    const std::vector<Run> all = runs();
    for (std::size_t i = 0; i < all.size(); ++i) {
        for (std::size_t k = i + 1; k < all.size(); ++k) {
            if (all[i].task == all[k].task && all[i].begin < all[k].end && all[k].begin < all[i].end) {
                return true;
            }
        }
    }
    return false;
}

std::int64_t WorkerStandIn::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - born_).count();
}

void WorkerStandIn::renew(std::int64_t untilMs)
{
    leaseEnd_ = std::max(leaseEnd_, born_ + std::chrono::milliseconds(std::min(untilMs, clockMs() + holdMaxMs)));
}

bool WorkerStandIn::isRunning(std::size_t index) const
{
    return runs_[index].how.empty();
}

void WorkerStandIn::finish(std::size_t index, const std::string &how, Clock::time_point at)
{
    runs_[index].how = how;
    runs_[index].end = at;
    ended_.emplace_back(++lastNumber_, index);
    changed_.notify_all();
}

/// Brings what has ended by now up to date.
void WorkerStandIn::settle()
{
    const Clock::time_point now = Clock::now();
    for (std::size_t i = 0; i < runs_.size(); ++i) {
        if (!isRunning(i)) {
            continue;
        }
        if (runs_[i].end <= now && runs_[i].end <= leaseEnd_) {
            finish(i, "done", runs_[i].end);
        } else if (leaseEnd_ <= now) {
            finish(i, "lapsed", leaseEnd_);
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
    const bool old = std::any_of(runs_.begin(), runs_.end(), [&key](const Run &run) { return run.task == key.first && run.run >= key.second; });
    if (old || barred_.contains(key)) {
        return refuse("old");
    }
    const std::chrono::milliseconds work(std::stol(order["Spec"].get<std::string>()));
    runs_.push_back({key.first, key.second, Clock::now(), Clock::now() + work, {}});
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
    for (std::size_t i = 0; i < runs_.size(); ++i) {
        if (isRunning(i) && runs_[i].task == order["Task"] && runs_[i].run == order["Run"]) {
            finish(i, "stopped", Clock::now());
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
    if (order.contains("UntilMs")) {
        renew(order["UntilMs"]);
    }
    const Clock::time_point limit = Clock::now() + std::chrono::milliseconds(order.value("WaitMs", 0));
    const auto anyEnd = [this] { return !ended_.empty() && ended_.back().first > forgotten_; };
    while (!anyEnd() && Clock::now() < limit) {
        Clock::time_point wake = limit;
        for (std::size_t i = 0; i < runs_.size(); ++i) {
            wake = isRunning(i) ? std::min({wake, runs_[i].end, leaseEnd_}) : wake;
        }
        changed_.wait_until(lock, wake);
        settle();
    }
    json running = json::array();
    for (std::size_t i = 0; i < runs_.size(); ++i) {
        if (isRunning(i)) {
            const double total = std::chrono::duration<double>(runs_[i].end - runs_[i].begin).count();
            const double passed = std::chrono::duration<double>(Clock::now() - runs_[i].begin).count();
            running.push_back({runs_[i].task, runs_[i].run, "", static_cast<int>(100.0 * passed / total)});
        }
    }
    json ends = json::array();
    for (const auto &[number, index] : ended_) {
        if (number > forgotten_) {
            ends.push_back({number, runs_[index].task, runs_[index].run, runs_[index].how, ""});
        }
    }
    return {200, json{{"ClockMs", clockMs()}, {"born", bornMs_}, {"Running", running}, {"Ended", ends}}.dump()};
}

} // namespace NodeTest
