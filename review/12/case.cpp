// A client hands in a job that repeats, with a first time that is long ago. The entry that owns the jobs hangs, and so does each of its successors. Accepted
// jobs get no answer.
#include "site.h"

#include <iostream>

using namespace Review;

namespace {
constexpr int times = 100'000;
constexpr int intervalMs = 60'000;
constexpr int finishMs = 14'000;
constexpr int askMs = 20'000;
constexpr int patienceMs = 1500;
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
        std::vector<std::string> accepted;
        const auto send = [&](int count) {
            for (int i = 0; i < count; ++i) {
                char id[17];
                std::snprintf(id, sizeof id, "5c0e7a21d94b%04zx", accepted.size() + 1);
                if (site.submit(id, {{"Spec", R"({"w":200})"}, {"Steps", {{{"Count", 4}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", 200}}}}}) == 200) {
                    accepted.emplace_back(id);
                }
                sleepMs(50);
            }
        };
        send(80);
        const std::int64_t first = trouble ? unixMs() - std::int64_t(times) * intervalMs : unixMs() + 600'000;
        const json repeated{{"Spec", R"({"w":50})"},
                            {"RepeatCount", times},
                            {"FirstMs", first},
                            {"IntervalMs", intervalMs},
                            {"Steps", {{{"Count", 1}, {"Cpu", 100}, {"MemMb", 16}, {"EstimateMs", 50}}}}};
        site.submit("5c0e7a21d94bffff", repeated, patienceMs, 1, 0);
        site.log("end of the traffic");
        sleepMs(finishMs);
        // Each job is asked for at each entry, for a while.
        const std::int64_t end = nowMs() + askMs;
        std::set<std::string> open(accepted.begin(), accepted.end());
        while (!open.empty() && nowMs() < end) {
            for (int entry = 0; entry < 3 && !open.empty(); ++entry) {
                if (!site.state(*open.begin(), patienceMs, entry).empty()) {
                    open.erase(open.begin());
                }
            }
        }
        for (const std::string &id : open) {
            site.log("LOST " + id + ": no answer");
        }
        std::cout << accepted.size() << " jobs accepted, " << open.size() << " of them not answered for from " << finishMs << " to " << finishMs + askMs
                  << " ms after the end of the traffic" << std::endl;
        site.end();
        std::quick_exit(!open.empty() ? 1 : 0);
    } catch (const std::exception &fault) {
        std::cerr << fault.what() << std::endl;
        std::quick_exit(2);
    }
}
