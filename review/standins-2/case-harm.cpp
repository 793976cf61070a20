// Case 10: an agent is killed and starts again while its worker runs a task with a target and tasks that fill.
// Exits with 1 if the task with the target is harmed, 0 if it isn't, 2 if the case couldn't run.

#include "site.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace Review2;

namespace {

constexpr double targetMs = 100.0;
constexpr int harmMs = 4000; ///< HarmMs
constexpr int stableMs = 3000; ///< StableWindowMs
constexpr int firstBusyMs = 5000;
constexpr int quietMs = 18000;
constexpr int busyMs = 10000;
constexpr int killAtMs = 10000; ///< into the quiet phase; the tasks that fill have been sped up again by then
constexpr int restartMs = 200; ///< after the kill
constexpr int sampleMs = 20;

const JobKind serving{{3000, 256}, 0, 0, false, static_cast<std::uint32_t>(targetMs)};
const JobKind filling{{4000, 256}, 0, 0, true, 0};

/// The load of the serving task changes; in a busy phase the tasks that fill disturb it more.
struct Load {
    double own = 0.0; ///< latency without the tasks that fill
    double perFill = 0.0; ///< more by a task that fills at full pace
};

constexpr Load quiet{30.0, 8.0};
constexpr Load busy{50.0, 90.0};

} // namespace

int main(int argc, char **argv)
{
    std::atomic<const Load *> load = &quiet;
    Site site(argc > 1 ? argv[1] : "record.txt");
    std::vector<WorkerShape> shapes(3);
    for (std::size_t i = 0; i < shapes.size(); ++i) {
        shapes[i].labels = {"a", "r1-" + std::to_string(i)};
    }
    if (!site.start(3, shapes)) {
        return 2;
    }
    site.workers.setLatency([&load](double fillPercent) { return load.load()->own + load.load()->perFill * fillPercent / 100.0; });
    using nlohmann::json;
    const json common{{"Count", 1}, {"MemMb", 256}, {"Requires", "r1-0"}, {"LongRunning", true}, {"EstimateMs", 1000}};
    json serve = common;
    serve.update({{"Cpu", serving.need.cpu}, {"TargetMs", static_cast<int>(targetMs)}, {"Image", "serve"}});
    json fill = common;
    fill.update({{"Cpu", filling.need.cpu}, {"Count", 2}, {"Fills", true}, {"Image", "fill"}});
    const auto served = site.submit(0, Site::jobId(1), {{"Spec", "serve"}, {"Steps", json::array({serve})}}, serving);
    const auto filled = site.submit(1, Site::jobId(2), {{"Spec", "fill"}, {"Steps", json::array({fill})}}, filling);
    if (served.status != 200 || filled.status != 200) {
        return 2;
    }
    sleepMs(2000);
    if (site.workers.runs().size() != 3) {
        return 2;
    }
    const Clock::time_point begin = Clock::now();
    Clock::time_point overSince{};
    Clock::time_point disruptedUntil{};
    long long longest = 0;
    const Load *phase = nullptr;
    bool killed = false;
    bool restarted = false;
    bool harmed = false;
    constexpr int totalMs = firstBusyMs + quietMs + busyMs;
    for (Clock::time_point now = begin; now < begin + std::chrono::milliseconds(totalMs); now = Clock::now()) {
        const int at = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(now - begin).count());
        const Load *current = at < firstBusyMs || at >= firstBusyMs + quietMs ? &busy : &quiet;
        if (current != phase) {
            phase = current;
            load = current;
            site.record.line(current == &quiet ? "quiet phase" : "busy phase");
        }
        const int killAt = firstBusyMs + killAtMs;
        if (trouble() && !killed && at >= killAt) {
            site.agents[0]->kill();
            killed = true;
            disruptedUntil = Clock::now();
        }
        if (killed && !restarted && at >= killAt + restartMs) {
            site.agents[0]->start();
            restarted = true;
            disruptedUntil = Clock::now();
        }
        const double fillPercent = site.workers.fillPercentNow(0);
        const double latency = load.load()->own + load.load()->perFill * fillPercent / 100.0;
        const bool calm = disruptedUntil == Clock::time_point{} || now > disruptedUntil + std::chrono::milliseconds(stableMs);
        const bool over = calm && latency > targetMs && load.load()->own <= targetMs && fillPercent > 0.0;
        if (!over) {
            overSince = {};
        } else if (overSince == Clock::time_point{}) {
            overSince = now;
        } else {
            longest = std::max<long long>(longest, std::chrono::duration_cast<std::chrono::milliseconds>(now - overSince).count());
        }
        if (longest > harmMs && !harmed) {
            harmed = true;
            site.record.line("HARM: the latency is " + std::to_string(latency) + " ms, the target " + std::to_string(targetMs)
                             + " ms, without the tasks that fill " + std::to_string(load.load()->own) + " ms; they work at " + std::to_string(fillPercent)
                             + " percent in all");
        }
        sleepMs(sampleMs);
    }
    const std::vector<Run> runs = site.workers.runs();
    const auto running = std::count_if(runs.begin(), runs.end(), [](const Run &run) { return run.how.empty(); });
    const std::string result = "longest time over the target: " + std::to_string(longest) + " ms (bound " + std::to_string(harmMs)
                               + "); runs: " + std::to_string(runs.size()) + ", at work at the end: " + std::to_string(running);
    site.record.line(result);
    std::puts(result.c_str());
    return harmed ? 1 : 0;
}
