#include "tasktable.h"

#include <pthread.h>

#include <algorithm>

namespace LaburnumFlow::BackendStandin {

using Json = nlohmann::json;

namespace {

constexpr double defaultRunMs = 100.0;
constexpr std::int64_t defaultLeaseMs = 2000;
constexpr double smallestShare = 0.01;

std::chrono::steady_clock::duration milliseconds(double ms)
{
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double, std::milli>(ms));
}

Reply notFound()
{
    return {404, {{"error", "no such task"}}};
}

double numberOr(const Json &object, const char *key, double otherwise)
{
    return object.is_object() && object.contains(key) && object[key].is_number() ? object[key].get<double>() : otherwise;
}

Json resultOf(const std::string &id, const std::string &kind, const Json &payload)
{
    Json result{{"kind", kind}, {"id", id}};
    if (payload.is_object() && payload.contains("sheet")) {
        result["sheet"] = payload["sheet"];
    }
    return result;
}

} // namespace

TaskTable::TaskTable(const TableOptions &options) : options_(options), random_(options.seed)
{
    if (!options_.recordFile.empty()) {
        record_.open(options_.recordFile, std::ios::app);
    }
    thread_ = std::thread([this] {
        pthread_setname_np(pthread_self(), "tasks");
        run();
    });
}

TaskTable::~TaskTable()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void TaskTable::start(const std::string &id, const Json &request, Done done)
{
    std::unique_lock lock(mutex_);
    Reply refusal;
    if (!request.is_object() || !request.contains("kind") || !request["kind"].is_string()) {
        refusal = {400, {{"error", "kind missing"}}};
    } else if (tasks_.contains(id)) {
        refusal = {409, {{"error", "task exists"}}};
    } else if (leaving_) {
        refusal = {503, {{"error", "leaving"}}};
    } else if (tasks_.size() >= options_.slots) {
        refusal = {429, {{"error", "no free slot"}}};
    }
    if (refusal.status != 0) {
        lock.unlock();
        done(refusal);
        return;
    }
    Task task;
    task.kind = request["kind"].get<std::string>();
    task.payload = request.value("payload", Json());
    task.fails = options_.failEverything || (task.payload.is_object() && task.payload.value("fail", Json()) == Json(true));
    task.done = std::move(done);
    const double ms = options_.failEverything ? 0.0 : runTimeMs(task.kind, task.payload);
    const Clock::time_point now = Clock::now();
    task.endsAt = now + milliseconds(ms);
    task.leaseEndsAt = now + milliseconds(numberOr(request, "leaseMs", static_cast<double>(defaultLeaseMs)));
    due_.emplace(dueOf(task), id);
    record("start " + id + " " + task.kind + " " + std::to_string(static_cast<std::int64_t>(ms)));
    tasks_.emplace(id, std::move(task));
    noteUsage();
    changed_.notify_all();
}

Reply TaskTable::renew(const std::string &id, const Json &request)
{
    const std::lock_guard lock(mutex_);
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) {
        return notFound();
    }
    const double leaseMs = numberOr(request, "leaseMs", static_cast<double>(defaultLeaseMs));
    reschedule(id, found->second, [&](Task &task) { task.leaseEndsAt = Clock::now() + milliseconds(leaseMs); });
    return {200, Json::object()};
}

Reply TaskTable::stop(const std::string &id)
{
    Ended ended;
    {
        const std::lock_guard lock(mutex_);
        if (!tasks_.contains(id)) {
            return notFound();
        }
        ended = remove(id, "stop", {409, {{"stopped", true}}});
    }
    ended.done(ended.reply);
    return {200, Json::object()};
}

Reply TaskTable::throttle(const std::string &id, const Json &request)
{
    const std::lock_guard lock(mutex_);
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) {
        return notFound();
    }
    const double share = std::clamp(numberOr(request, "share", 1.0), smallestShare, 1.0);
    reschedule(id, found->second, [&](Task &task) {
        const Clock::time_point now = Clock::now();
        const std::chrono::duration<double, std::milli> left = task.endsAt - now;
        task.endsAt = now + milliseconds(left.count() * task.share / share);
        task.share = share;
    });
    return {200, Json::object()};
}

Reply TaskTable::checkpoint(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    if (!tasks_.contains(id)) {
        return notFound();
    }
    ++checkpoints_;
    return {200, Json::object()};
}

Reply TaskTable::status()
{
    const std::lock_guard lock(mutex_);
    const Clock::time_point seen = Clock::now() - std::chrono::milliseconds(options_.statusLagMs);
    while (usage_.size() > 1 && usage_[1].first <= seen) {
        usage_.pop_front();
    }
    const std::size_t running = usage_.empty() || usage_.front().first > seen ? 0 : usage_.front().second;
    Json body{{"slots", options_.slots}, {"running", running}, {"checkpoints", checkpoints_}, {"state", leaving_ ? "leaving" : "serving"}};
    body["usage"] = options_.slots == 0 ? 1.0 : static_cast<double>(running) / static_cast<double>(options_.slots);
    if (options_.announceKinds) {
        for (const auto &[kind, ms] : options_.kindMs) {
            body["kinds"].push_back(kind);
        }
    }
    return {200, body};
}

void TaskTable::setFailEverything(bool fail)
{
    const std::lock_guard lock(mutex_);
    options_.failEverything = fail;
}

void TaskTable::setLeaving(bool leaving)
{
    const std::lock_guard lock(mutex_);
    leaving_ = leaving;
}

double TaskTable::runTimeMs(const std::string &kind, const Json &payload)
{
    const auto listed = options_.kindMs.find(kind);
    const double declared = listed == options_.kindMs.end() ? defaultRunMs : listed->second;
    double ms = numberOr(payload, "runMs", declared) / options_.speed;
    ms *= std::uniform_real_distribution<double>(1.0 - options_.spread, 1.0 + options_.spread)(random_);
    if (std::bernoulli_distribution(options_.stragglerShare)(random_)) {
        ms *= options_.stragglerFactor;
    }
    return ms;
}

TaskTable::Clock::time_point TaskTable::dueOf(const Task &task) const
{
    return std::min(task.endsAt, task.leaseEndsAt);
}

void TaskTable::reschedule(const std::string &id, Task &task, const std::function<void(Task &)> &change)
{
    due_.erase({dueOf(task), id});
    change(task);
    due_.emplace(dueOf(task), id);
    changed_.notify_all();
}

TaskTable::Ended TaskTable::finish(const std::string &id, Clock::time_point now)
{
    const Task &task = tasks_.at(id);
    if (task.endsAt > now) {
        return remove(id, "stop", {409, {{"stopped", true}}});
    }
    if (task.fails) {
        return remove(id, "end", {500, {{"error", "failed on request"}}});
    }
    return remove(id, "end", {200, {{"result", resultOf(id, task.kind, task.payload)}}});
}

TaskTable::Ended TaskTable::remove(const std::string &id, const char *word, Reply reply)
{
    const auto found = tasks_.find(id);
    Ended ended{std::move(found->second.done), std::move(reply)};
    due_.erase({dueOf(found->second), id});
    tasks_.erase(found);
    record(std::string(word) + " " + id);
    noteUsage();
    return ended;
}

void TaskTable::record(const std::string &line)
{
    if (record_.is_open()) {
        record_ << line << std::endl;
    }
}

void TaskTable::noteUsage()
{
    const Clock::time_point now = Clock::now();
    usage_.emplace_back(now, tasks_.size());
    const Clock::time_point seen = now - std::chrono::milliseconds(options_.statusLagMs);
    while (usage_.size() > 1 && usage_[1].first <= seen) {
        usage_.pop_front();
    }
}

void TaskTable::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        if (due_.empty()) {
            changed_.wait(lock);
            continue;
        }
        const Clock::time_point now = Clock::now();
        const auto [at, id] = *due_.begin();
        if (at > now) {
            changed_.wait_until(lock, at);
            continue;
        }
        const Ended ended = finish(id, now);
        lock.unlock();
        ended.done(ended.reply);
        lock.lock();
    }
}

} // namespace LaburnumFlow::BackendStandin
