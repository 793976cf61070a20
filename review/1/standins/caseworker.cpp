#include "caseworker.h"

#include "auto/system/httpcall.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <tuple>
#include <utility>

namespace Review {

using nlohmann::json;
using PlatformSite::StandInReply;
using PlatformSite::StandInRequest;

namespace {

constexpr std::int64_t holdMaxMs = 1000; // HoldMaxMs of the site
constexpr std::chrono::milliseconds heartbeatInterval(1500); // HeartbeatMs of the settings
constexpr std::chrono::milliseconds failureDelay(20);
constexpr std::chrono::milliseconds settleInterval(50); // in which ends become known also without calls
constexpr std::chrono::milliseconds gangWait(3000); // GangMs of the site
constexpr std::size_t maxListedEnds = 500;
constexpr int fullPercent = 100;
constexpr std::chrono::seconds darkTime(3);
constexpr std::chrono::milliseconds firstHeartbeatDelay(200);

} // namespace

TaskNeeds parseNeeds(const std::string &spec)
{
    TaskNeeds needs;
    std::istringstream words(spec);
    for (std::string word; words >> word;) {
        const std::size_t equals = word.find('=');
        if (equals == std::string::npos) {
            continue;
        }
        const std::string name = word.substr(0, equals);
        const std::int64_t value = std::stoll(word.substr(equals + 1));
        if (name == "ms") {
            needs.runMs = value;
        } else if (name == "cpu") {
            needs.cpu = value;
        } else if (name == "mem") {
            needs.memMb = value;
        } else if (name == "lasts") {
            needs.lasts = value != 0;
        } else if (name == "fails") {
            needs.fails = value != 0;
        } else if (name == "gang") {
            needs.gang = static_cast<int>(value);
        }
    }
    return needs;
}

void GangBoard::join(const std::string &key, const std::string &task, int members)
{
    const std::lock_guard lock(mutex_);
    Gang &gang = gangs_[key];
    gang.present.insert(task);
    gang.complete = static_cast<int>(gang.present.size()) == members;
}

void GangBoard::leave(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    gangs_[key].broken = true;
}

GangBoard::State GangBoard::state(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    const Gang &gang = gangs_[key];
    return gang.broken ? State::Broken : gang.complete ? State::Complete : State::Waiting;
}

CaseWorker::CaseWorker(WorkerShape shape, GangBoard &gangs, Record &record)
    : shape_(std::move(shape))
    , gangs_(gangs)
    , record_(record)
    , bornMs_(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , server_(std::make_unique<PlatformSite::StandInServer>([this](const StandInRequest &request) { return answer(request); }))
{
}

CaseWorker::~CaseWorker()
{
    crash();
}

std::string CaseWorker::endpoint() const
{
    return server_->endpoint();
}

void CaseWorker::reportTo(const std::string &agent)
{
    reporter_ = std::thread([this, agent] { sendHeartbeats(agent); });
}

void CaseWorker::failAll(bool fails)
{
    const std::lock_guard lock(mutex_);
    failsAll_ = fails;
}

void CaseWorker::shedAll(bool sheds)
{
    const std::lock_guard lock(mutex_);
    shedsAll_ = sheds;
}

void CaseWorker::crash()
{
    {
        const std::lock_guard lock(mutex_);
        if (up_) {
            up_ = false;
            for (const Run &run : running_) {
                if (!run.gangKey.empty()) {
                    gangs_.leave(run.gangKey);
                }
            }
            running_.clear();
        }
        changed_.notify_all();
    }
    if (reporter_.joinable()) {
        reporter_.join();
    }
    server_->stop();
}

void CaseWorker::leaveStartsLate(int eachSoMany, std::chrono::milliseconds delay)
{
    const std::lock_guard lock(mutex_);
    lateEach_ = eachSoMany;
    lateDelay_ = delay;
}

std::optional<std::chrono::steady_clock::time_point> CaseWorker::firstLateStart()
{
    const std::lock_guard lock(mutex_);
    return lateStarts_.empty() ? std::nullopt : std::optional(lateStarts_.front().leftAt);
}

void CaseWorker::goDark()
{
    const std::lock_guard lock(mutex_);
    settle();
    dark_ = true;
    for (const Run &run : running_) {
        history_[run.history].end = Clock::now();
        history_[run.history].how = "gone";
        if (!run.gangKey.empty()) {
            gangs_.leave(run.gangKey);
        }
    }
    running_.clear();
    record_.write("worker " + shape_.id + " crashes and is silent");
}

void CaseWorker::startAgain()
{
    const std::lock_guard lock(mutex_);
    dark_ = false;
    ended_.clear();
    highestRun_.clear();
    lastEnd_ = 0;
    fence_ = 0;
    beats_ = 0;
    leaseEnd_ = {};
    born_ = Clock::now();
    bornMs_ = std::max(bornMs_ + 1, std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    record_.write("worker " + shape_.id + " starts again");
    changed_.notify_all();
}

std::vector<RunHistory> CaseWorker::history()
{
    const std::lock_guard lock(mutex_);
    settle();
    return history_;
}

bool CaseWorker::isUp()
{
    const std::lock_guard lock(mutex_);
    return up_;
}

CaseWorker::Use CaseWorker::use()
{
    const std::lock_guard lock(mutex_);
    settle();
    return useLocked();
}

CaseWorker::Use CaseWorker::useLocked() const
{
    Use use;
    for (const Run &run : running_) {
        use.cpu += run.needs.cpu;
        use.memMb += run.needs.memMb;
        use.jobs.insert(run.task.substr(0, run.task.find('.')));
        use.tasks.insert(run.task);
    }
    return use;
}

std::string CaseWorker::heartbeat()
{
    const std::lock_guard lock(mutex_);
    return json{{"Service", shape_.service},
                {"Address", server_->endpoint()},
                {"Zone", "ikeja"},
                {"Version", "v1"},
                {"Slots", 8},
                {"State", "ready"},
                {"ColdLeftMs", 0},
                {"Capacity", {{"Cpu", shape_.cpu}, {"MemMb", shape_.memMb}, {"Gpu", 0}}},
                {"Labels", shape_.labels},
                {"ClockMs", clockMs()},
                {"Seq", ++beats_},
                {"born", bornMs_}}
        .dump();
}

void CaseWorker::sendHeartbeats(const std::string &agent)
{
    std::unique_lock lock(mutex_);
    while (up_) {
        if (dark_) {
            changed_.wait_for(lock, settleInterval, [this] { return !up_ || !dark_; });
            // It serves before it announces itself.
            lock.unlock();
            std::this_thread::sleep_for(firstHeartbeatDelay);
            lock.lock();
            continue;
        }
        lock.unlock();
        const long status = SystemTest::call("PUT", agent, "/instances/" + shape_.id, heartbeat(), {"Content-Type: application/json"}, 1000).status;
        lock.lock();
        // The agent may just be starting; a worker tries again soon then.
        const Clock::time_point next = Clock::now() + (status == 200 ? heartbeatInterval : std::chrono::milliseconds(200));
        while (up_ && Clock::now() < next) {
            changed_.wait_until(lock, std::min(next, Clock::now() + settleInterval));
            settle();
        }
    }
}

std::int64_t CaseWorker::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - born_).count();
}

void CaseWorker::renew(std::int64_t untilMs)
{
    if (leaseEnd_ < Clock::now()) {
        lapsedAt_ = Clock::now();
    }
    leaseEnd_ = std::max(leaseEnd_, born_ + std::chrono::milliseconds(std::min(untilMs, clockMs() + holdMaxMs)));
}

void CaseWorker::finish(std::size_t position, const std::string &how)
{
    const Run run = running_[position];
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(position));
    highestRun_[run.task] = std::max(highestRun_[run.task], run.run);
    const Clock::time_point at = how == "lapsed" ? leaseEnd_ : Clock::now();
    ended_.push_back({++lastEnd_, run.task, run.run, how, at, run.history});
    RunHistory &past = history_[run.history];
    past.end = at;
    past.how = how;
    past.number = lastEnd_;
    if (!run.gangKey.empty() && how != "done") {
        gangs_.leave(run.gangKey);
    }
    record_.write("worker " + shape_.id + ": run " + run.task + "/" + std::to_string(run.run) + " ended " + how);
    changed_.notify_all();
}

/// Brings what has ended by now up to date.
void CaseWorker::settle()
{
    const Clock::time_point now = Clock::now();
    for (std::size_t i = running_.size(); i-- > 0;) {
        const Run &run = running_[i];
        const bool ends = !run.needs.lasts || run.result == "failed";
        const GangBoard::State gang = run.gangKey.empty() ? GangBoard::State::Complete : gangs_.state(run.gangKey);
        if (gang == GangBoard::State::Broken && leaseEnd_ > now) {
            finish(i, "broken");
        } else if (gang == GangBoard::State::Waiting && leaseEnd_ > now) {
            if (now - run.begin > gangWait) {
                finish(i, "alone");
            }
        } else if (ends && run.end <= now && run.end <= leaseEnd_) {
            finish(i, run.result);
        } else if (leaseEnd_ <= now) {
            finish(i, "lapsed");
        }
    }
}

StandInReply CaseWorker::answer(const StandInRequest &request)
{
    std::unique_lock lock(mutex_);
    if (dark_) {
        // Long enough that no caller waits for the answer.
        changed_.wait_for(lock, darkTime, [this] { return !up_; });
        return {0, {}};
    }
    if (!up_) {
        return {0, {}};
    }
    settle();
    if (request.path == "/run-start") {
        const bool late = lateEach_ > 0 && startOrders_++ % static_cast<std::uint64_t>(lateEach_) == 0;
        return late ? startLate(request.body, lock) : start(request.body);
    }
    if (request.path == "/run-stop") {
        return stop(request.body);
    }
    if (request.path == "/hold") {
        return hold(request.body, lock);
    }
    if (request.path == "/pace") {
        return {200, json{{"ClockMs", clockMs()}}.dump()};
    }
    return {404, {}};
}

StandInReply CaseWorker::startLate(const std::string &body, std::unique_lock<std::mutex> &lock)
{
    const std::uint64_t id = ++lastLateStart_;
    const Clock::time_point due = Clock::now() + lateDelay_;
    lateStarts_.push_back({id, body, Clock::now(), due});
    const json order = json::parse(body);
    record_.write("worker " + shape_.id + ": start of " + order["Task"].get<std::string>() + "/" + std::to_string(order["Run"].get<int>())
                  + " left unanswered");
    changed_.wait_until(lock, due, [this] { return !up_; });
    const auto pending = std::find_if(lateStarts_.begin(), lateStarts_.end(), [id](const LateStart &late) { return late.id == id; });
    if (pending != lateStarts_.end()) {
        lateStarts_.erase(pending);
    }
    // One that is due while the worker is down is lost.
    if (up_ && !dark_) {
        settle();
        start(body, true);
    }
    return {0, {}};
}

StandInReply CaseWorker::start(const std::string &body, bool late)
{
    const json order = json::parse(body);
    const std::string task = order["Task"];
    const std::uint32_t number = order["Run"];
    const auto refuse = [&](const char *reason) {
        record_.write("worker " + shape_.id + ": start of " + task + "/" + std::to_string(number) + " refused: " + reason);
        return StandInReply{409, json{{"ClockMs", clockMs()}, {"Reason", reason}}.dump()};
    };
    if (shedsAll_) {
        record_.write("worker " + shape_.id + ": start of " + task + "/" + std::to_string(number) + " answered 503");
        return {503, {}};
    }
    if (order["Fence"].get<std::uint64_t>() < fence_) {
        return refuse("fence");
    }
    fence_ = order["Fence"];
    if (order["UntilMs"].get<std::int64_t>() <= clockMs()) {
        return refuse("late");
    }
    renew(order["UntilMs"]);
    const auto same = [&](const Run &run) { return run.task == task; };
    const auto known = std::find_if(running_.begin(), running_.end(), same);
    if (known != running_.end() && known->run == number) {
        return {200, json{{"ClockMs", clockMs()}}.dump()};
    }
    const auto highest = highestRun_.find(task);
    if (known != running_.end() || (highest != highestRun_.end() && highest->second >= number)) {
        return refuse("old");
    }
    const TaskNeeds needs = parseNeeds(order["Spec"]);
    const Use use = useLocked();
    if (use.cpu + needs.cpu > shape_.cpu || use.memMb + needs.memMb > shape_.memMb) {
        return refuse("room");
    }
    Run run{task, number, needs, Clock::now(), Clock::now() + std::chrono::milliseconds(needs.runMs), "done", {}, 0};
    if (needs.gang > 0) {
        run.gangKey = task.substr(0, task.rfind('.')) + "/" + std::to_string(number);
        gangs_.join(run.gangKey, task, needs.gang);
    }
    if (failsAll_ || needs.fails) {
        run.end = run.begin + failureDelay;
        run.result = "failed";
    }
    run.history = history_.size();
    history_.push_back({task, number, shape_.id, run.begin, {}, {}, 0, false, late});
    running_.push_back(run);
    record_.write("worker " + shape_.id + ": run " + task + "/" + std::to_string(number) + " started" + (late ? ", carried out late" : ""));
    changed_.notify_all();
    return {200, json{{"ClockMs", clockMs()}}.dump()};
}

StandInReply CaseWorker::stop(const std::string &body)
{
    const json order = json::parse(body);
    if (order["Fence"].get<std::uint64_t>() < fence_) {
        return {409, json{{"ClockMs", clockMs()}, {"Reason", "fence"}}.dump()};
    }
    fence_ = order["Fence"];
    const std::string task = order["Task"];
    const std::uint32_t number = order["Run"];
    highestRun_[task] = std::max(highestRun_[task], number);
    for (std::size_t i = running_.size(); i-- > 0;) {
        if (running_[i].task == task && running_[i].run == number) {
            finish(i, "stopped");
        }
    }
    return {200, json{{"ClockMs", clockMs()}}.dump()};
}

StandInReply CaseWorker::hold(const std::string &body, std::unique_lock<std::mutex> &lock)
{
    const json order = json::parse(body);
    if (order["Fence"].get<std::uint64_t>() < fence_) {
        return {409, json{{"ClockMs", clockMs()}, {"Reason", "fence"}}.dump()};
    }
    fence_ = order["Fence"];
    const std::uint64_t acked = order["AckedUpto"];
    for (const End &end : ended_) {
        if (end.number <= acked) {
            history_[end.history].takenNoteOf = leaseEnd_ >= Clock::now() ? lapsedAt_ < end.at : false;
        }
    }
    std::erase_if(ended_, [acked](const End &end) { return end.number <= acked; });
    if (order.contains("UntilMs")) {
        renew(order["UntilMs"]);
    }
    const Clock::time_point limit = Clock::now() + std::chrono::milliseconds(order.value("WaitMs", 0));
    while (up_ && ended_.empty() && Clock::now() < limit) {
        Clock::time_point wake = std::min(limit, Clock::now() + std::chrono::milliseconds(50));
        for (const Run &run : running_) {
            wake = std::min(wake, run.needs.lasts && run.result == "done" ? leaseEnd_ : std::min(run.end, leaseEnd_));
        }
        changed_.wait_until(lock, wake);
        settle();
    }
    if (!up_) {
        return {0, {}};
    }
    json running = json::array();
    for (const Run &run : running_) {
        const double total = std::chrono::duration<double>(run.end - run.begin).count();
        const double passed = std::chrono::duration<double>(Clock::now() - run.begin).count();
        const int percent = run.needs.lasts ? fullPercent : std::min(fullPercent - 1, static_cast<int>(fullPercent * passed / total));
        running.push_back({run.task, run.run, "", percent, run.needs.cpu});
    }
    json ends = json::array();
    for (std::size_t i = 0; i < std::min(ended_.size(), maxListedEnds); ++i) {
        ends.push_back({ended_[i].number, ended_[i].task, ended_[i].run, ended_[i].how, ""});
    }
    return {200, json{{"ClockMs", clockMs()}, {"born", bornMs_}, {"Running", running}, {"Ended", ends}}.dump()};
}

std::vector<std::string> findTwice(std::vector<RunHistory> runs)
{
    std::sort(runs.begin(), runs.end(), [](const RunHistory &left, const RunHistory &right) {
        return std::tie(left.task, left.begin) < std::tie(right.task, right.begin);
    });
    const auto name = [](const RunHistory &run) { return run.task + "/" + std::to_string(run.run) + " on " + run.worker; };
    std::vector<std::string> found;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = i + 1; j < runs.size() && runs[j].task == runs[i].task; ++j) {
            if (!runs[i].end || runs[j].begin < *runs[i].end) {
                found.push_back(name(runs[j]) + " started while " + name(runs[i]) + " was at work");
            } else if (runs[i].how == "done" && runs[i].takenNoteOf) {
                found.push_back(name(runs[j]) + " started after the end done of " + name(runs[i]) + " was taken note of");
            }
        }
    }
    return found;
}

} // namespace Review
