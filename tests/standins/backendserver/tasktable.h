#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// A minimal backend server for tests: tasks only take time.
namespace LaburnumFlow::BackendStandin {

struct TableOptions {
    std::size_t slots = 8;
    double speed = 1.0;
    std::map<std::string, double> kindMs; ///< run time at speed 1
    bool announceKinds = false; ///< list the kinds in the status
    std::uint64_t seed = 1;
    double spread = 0.0; ///< run times vary evenly by this share in either direction
    double stragglerShare = 0.0;
    double stragglerFactor = 10.0;
    bool failEverything = false;
    int statusLagMs = 0;
    std::string recordFile;
};

struct Reply {
    unsigned status = 0;
    nlohmann::json body;
};

/// The running tasks. One thread named "tasks" ends them when their time or their lease is over.
class TaskTable
{
public:
    using Done = std::function<void(Reply)>;

    explicit TaskTable(const TableOptions &options);
    ~TaskTable();
    TaskTable(const TaskTable &) = delete;
    TaskTable &operator=(const TaskTable &) = delete;

    /// Calls done exactly once, possibly before it returns and possibly from another thread.
    void start(const std::string &id, const nlohmann::json &request, Done done);
    Reply renew(const std::string &id, const nlohmann::json &request);
    Reply stop(const std::string &id);
    Reply throttle(const std::string &id, const nlohmann::json &request);
    Reply checkpoint(const std::string &id);
    Reply status();

    void setFailEverything(bool fail);
    void setLeaving(bool leaving);

private:
    using Clock = std::chrono::steady_clock;

    struct Task {
        std::string kind;
        nlohmann::json payload;
        Clock::time_point endsAt;
        Clock::time_point leaseEndsAt;
        double share = 1.0;
        bool fails = false;
        Done done;
    };

    struct Ended {
        Done done;
        Reply reply;
    };

    double runTimeMs(const std::string &kind, const nlohmann::json &payload);
    Clock::time_point dueOf(const Task &task) const;
    void reschedule(const std::string &id, Task &task, const std::function<void(Task &)> &change);
    Ended finish(const std::string &id, Clock::time_point now);
    Ended remove(const std::string &id, const char *word, Reply reply);
    void record(const std::string &line);
    void noteUsage();
    void run();

    TableOptions options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Task> tasks_;
    std::set<std::pair<Clock::time_point, std::string>> due_;
    std::deque<std::pair<Clock::time_point, std::size_t>> usage_;
    std::uint64_t checkpoints_ = 0;
    std::mt19937_64 random_;
    std::ofstream record_;
    bool leaving_ = false;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace LaburnumFlow::BackendStandin
