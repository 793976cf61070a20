// An entry stands still and wakes again. Clients that got no answer from it cancel their jobs at another entry; the cancels are acknowledged. When the
// entry wakes, it hands the jobs in.

#include "site.h"

#include <csignal>
#include <iostream>
#include <thread>

using namespace Review;

namespace {

constexpr int frozenMs = 4000; ///< node_freeze: 4.0 s
constexpr int submitAtMs = 1000; ///< after the begin of the freeze
constexpr int patienceMs = 1500;
constexpr int jobs = 5;
constexpr int workMs = 25'000;
constexpr int stableWindowMs = 3000;

} // namespace

int main(int argc, const char **argv)
{
    if (argc < 3) {
        return 2;
    }
    const bool trouble = std::string(argv[2]) != "0";
    try {
        Site site({.entries = 3, .workers = 11, .cpu = 16'000, .racks = 4, .guards = true, .advice = {}, .routeExtra = json::object()}, argv[1]);
        site.begin();
        const int owner = site.ownerIndex();
        if (owner < 0) {
            return 2;
        }
        const int frozen = (owner + 1) % 3;
        const int other = (owner + 2) % 3;
        const Entry &entry = site.entries[static_cast<std::size_t>(frozen)];
        const std::int64_t begin = nowMs();
        if (trouble) {
            site.log("freeze " + entry.name);
            entry.process->signal(SIGSTOP);
        }
        sleepMs(begin + submitAtMs - nowMs());
        const json body{{"Spec", R"({"w":)" + std::to_string(workMs) + "}"}, {"Steps", {{{"Count", 4}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", workMs}}}}};
        std::vector<std::thread> clients;
        std::vector<std::string> ids;
        for (int i = 0; i < jobs; ++i) {
            char id[17];
            std::snprintf(id, sizeof id, "5c0e7a21d94b%04x", i + 1);
            ids.emplace_back(id);
            clients.emplace_back([&, id = ids.back()] {
                site.submit(id, body, patienceMs, 1, frozen);
                site.cancel(id, patienceMs, other);
            });
            sleepMs(20);
        }
        for (std::thread &client : clients) {
            client.join();
        }
        sleepMs(begin + frozenMs - nowMs());
        if (trouble) {
            site.log("continue " + entry.name);
            entry.process->signal(SIGCONT);
        }
        // A stretch without a disruption begins StableWindowMs after the freeze. After cancel_ms + StopMs of it, the cancelled tasks have to be gone.
        sleepMs(begin + frozenMs + stableWindowMs + site.cancelMs + site.stopMs + 500 - nowMs());
        int acknowledged = 0;
        int atWork = 0;
        {
            const std::lock_guard lock(site.mutex);
            site.advanceAll();
            for (const std::string &id : ids) {
                if (site.jobs[id].cancelAckedMs < 0) {
                    continue;
                }
                ++acknowledged;
                int running = 0;
                for (const auto &worker : site.workers) {
                    for (const Run *run : worker->active()) {
                        running += run->task.starts_with(id) ? 1 : 0;
                    }
                }
                if (running > 0) {
                    ++atWork;
                    site.log("UNASKED " + id + ": " + std::to_string(running) + " tasks run " + std::to_string(nowMs() - site.jobs[id].cancelAckedMs)
                             + " ms after the acknowledgement of its cancelling");
                }
            }
        }
        std::cout << ids.size() << " jobs, " << acknowledged << " cancels acknowledged, " << atWork << " of these jobs run" << std::endl;
        site.end();
        std::quick_exit(atWork > 0 ? 1 : acknowledged > 0 ? 0 : 2);
    } catch (const std::exception &fault) {
        std::cerr << fault.what() << std::endl;
        std::quick_exit(2);
    }
}
