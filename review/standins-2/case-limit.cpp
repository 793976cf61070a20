// Case 10: all processes of the system are killed at once and start again while workers that guard nothing are full of jobs that needn't be kept.
// Exits with 1 if a start brings a worker over its capacity, 0 if none does, 2 if the case couldn't run.

#include "site.h"

#include <csignal>
#include <cstdio>

using namespace Review2;

namespace {

constexpr int workerCount = 4;
constexpr int restartMs = 100; ///< after the kill
constexpr int workMs = 4000;
constexpr int deadlineMs = 6000;
constexpr int resendMs = 1300; ///< ResendMs
constexpr int clientCount = 12;
constexpr int newClientMs = 40; ///< time between two more clients after the kill

const JobKind kind{{2000, 64}, workMs, 0, false, 0};

nlohmann::json bodyOf()
{
    return {{"Spec", "work"},
            {"BestEffort", true},
            {"Steps", nlohmann::json::array({{{"Count", 1}, {"Cpu", kind.need.cpu}, {"MemMb", kind.need.memMb}, {"EstimateMs", workMs}}})}};
}

/// A client of one job: sends it until it has an answer, as the pages say.
void beClient(Site &site, std::uint64_t number, const std::atomic<bool> &ends)
{
    const std::string id = Site::jobId(number);
    for (std::size_t attempt = 0; !ends && attempt < 5; ++attempt) {
        const Site::Answer answer = site.submit((number + attempt) % site.fronts.size(), id, bodyOf(), kind, deadlineMs);
        if (answer.status != 0 && answer.status != 502 && answer.status != 504) {
            return;
        }
        for (int waited = 0; waited < resendMs && !ends; waited += 20) {
            sleepMs(20);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::atomic<bool> ends = false;
    Site site(argc > 1 ? argv[1] : "record.txt");
    std::vector<WorkerShape> shapes(workerCount);
    for (std::size_t i = 0; i < shapes.size(); ++i) {
        shapes[i].capacity = {4000, 8192};
        shapes[i].guards = false;
        shapes[i].labels = {"a", "r1-" + std::to_string(i / 3)};
    }
    if (!site.start(3, shapes, false)) {
        return 2;
    }
    std::vector<std::thread> clients;
    std::uint64_t number = 0;
    while (clients.size() < clientCount) {
        clients.emplace_back(beClient, std::ref(site), ++number, std::cref(ends));
        sleepMs(20);
    }
    sleepMs(1000);
    const std::size_t before = site.workers.runs().size();
    if (trouble()) {
        for (const auto *nodes : {&site.entries, &site.agents}) {
            for (const auto &node : *nodes) {
                node->signal(SIGKILL);
            }
        }
        for (const auto *nodes : {&site.entries, &site.agents}) {
            for (const auto &node : *nodes) {
                node->wait();
            }
        }
        sleepMs(restartMs);
        for (const auto *nodes : {&site.entries, &site.agents}) {
            for (const auto &node : *nodes) {
                node->start();
            }
        }
    }
    for (int i = 0; i < 60; ++i) {
        clients.emplace_back(beClient, std::ref(site), ++number, std::cref(ends));
        sleepMs(newClientMs);
    }
    sleepMs(4000);
    ends = true;
    for (std::thread &client : clients) {
        client.join();
    }
    const std::vector<std::string> over = site.workers.overCapacity();
    const std::string result = "full before: " + std::to_string(before) + " runs; starts over the capacity: " + std::to_string(over.size()) + " of "
                               + std::to_string(site.workers.runs().size());
    site.record.line(result);
    std::puts(result.c_str());
    if (before < 2 * workerCount) {
        return 2;
    }
    return over.empty() ? 0 : 1;
}
