// Workers leave some orders unanswered and carry them out late. Accepted jobs whose tasks form gangs never end.

#include "site.h"

#include <iostream>
#include <thread>

using namespace Review;

namespace {

constexpr int finishMs = 14'000;
constexpr int idleMs = 3000;
constexpr int latePercent = 5; ///< applied_late: x = 0.055
constexpr int lateForMs = 5500; ///< applied_late: for_s = 5.5
constexpr int workers = 11;
constexpr int cpuOfWorker = 16'000;
constexpr int unhurriedWorkers = 5; ///< They set a task up before they answer its start.
constexpr int startTakesMs = 12;
constexpr int members = 5; ///< each on a worker of its own
constexpr int clients = 6;

} // namespace

int main(int argc, const char **argv)
{
    if (argc < 3) {
        return 2;
    }
    const bool trouble = std::string(argv[2]) != "0";
    try {
        Site site({.entries = 3, .workers = workers, .cpu = cpuOfWorker, .racks = 4, .guards = true, .advice = {}, .routeExtra = json::object()}, argv[1]);
        for (int i = 0; i < unhurriedWorkers; ++i) {
            site.workers[static_cast<std::size_t>(i)]->startTakesMs = startTakesMs;
        }
        site.begin();
        std::vector<std::string> accepted;
        std::mutex mutex; // of accepted
        const auto sendOne = [&](int client, std::int64_t forMs) {
            const std::int64_t end = nowMs() + forMs;
            while (nowMs() < end) {
                static std::atomic<unsigned> next = 0;
                char id[17];
                std::snprintf(id, sizeof id, "5c0e7a21d9%02x%04x", static_cast<unsigned>(client), ++next);
                const json body{{"Spec", R"({"w":200})"}, {"Steps", {{{"Count", members}, {"Cpu", 1000}, {"MaxPerServer", 1}, {"MemMb", 64}, {"EstimateMs", 200}, {"Gang", true}}}}};
                if (site.submit(id, body) == 200) {
                    const std::lock_guard lock(mutex);
                    accepted.emplace_back(id);
                }
                sleepMs(120);
            }
        };
        const auto send = [&](std::int64_t forMs) {
            std::vector<std::thread> threads;
            for (int client = 0; client < clients; ++client) {
                threads.emplace_back(sendOne, client, forMs);
            }
            for (std::thread &thread : threads) {
                thread.join();
            }
        };
        send(4000);
        if (trouble) {
            site.log("orders are left unanswered");
            for (const auto &worker : site.workers) {
                worker->latePercent = latePercent;
            }
        }
        send(lateForMs);
        for (const auto &worker : site.workers) {
            worker->latePercent = 0;
        }
        site.log("no further order is left unanswered");
        send(2000);
        site.log("end of the traffic");
        sleepMs(finishMs);

        // For 3 s, a job has nothing running while a task's turn has come and the workers are idle.
        std::map<std::string, std::int64_t> idleSince;
        std::map<std::string, std::int64_t> longest;
        const std::int64_t end = nowMs() + idleMs + 1500;
        double mostUsed = 0;
        while (nowMs() < end) {
            {
                const std::lock_guard lock(site.mutex);
                double used = 0;
                std::set<std::string> running;
                for (const auto &each : site.workers) {
                    for (const Run *run : each->active()) {
                        used += run->cpu;
                        running.insert(run->task.substr(0, 16));
                    }
                }
                mostUsed = std::max(mostUsed, used / (static_cast<double>(cpuOfWorker) * workers));
                for (const std::string &id : accepted) {
                    if (running.contains(id)) {
                        idleSince.erase(id);
                    } else {
                        const std::int64_t since = idleSince.try_emplace(id, nowMs()).first->second;
                        longest[id] = std::max(longest[id], nowMs() - since);
                    }
                }
            }
            sleepMs(20);
        }
        int lost = 0;
        for (const std::string &id : accepted) {
            const std::string state = site.state(id);
            if (state != "completed" && longest[id] >= idleMs) {
                ++lost;
                site.log("LOST " + id + ": shown as '" + state + "', nothing running for " + std::to_string(longest[id]) + " ms");
            }
        }
        const std::vector<std::string> broken = site.broken();
        for (const std::string &line : broken) {
            site.log(line);
        }
        std::cout << accepted.size() << " jobs accepted, " << lost << " of them not ended and idle for 3 s (at most "
                  << static_cast<int>(100 * mostUsed) << " % of the workers in use); other rules broken: " << broken.size() << std::endl;
        site.end();
        std::quick_exit(lost > 0 && mostUsed < 0.5 ? 1 : 0);
    } catch (const std::exception &fault) {
        std::cerr << fault.what() << std::endl;
        std::quick_exit(2);
    }
}
