// Stand-ins for the users' platform: its store, and workers that announce themselves to their agents. Prints one line,
// "store=ADDRESS worker-0=ADDRESS agent-0=ADDRESS ... ports=PORT,...", where agent-N is where worker N announces itself,
// and serves until SIGTERM or SIGINT.

#include "arguments.h"
#include "platformstandin.h"
#include "workerstandin.h"

#include "auto/freeport.h"
#include "auto/system/httpcall.h"
#include "standins/signalwaiter.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace PlatformSite;

namespace {

constexpr long heartbeatIntervalNs = 300'000'000;
constexpr long heartbeatTimeoutMs = 200;

constexpr const char *rules = R"({"Version":1,"Routes":[{"Name":"q","Host":"q.example","Prefix":"/q/","Service":"service","MaxAttempts":3,)"
                              R"("Stretch":1.6,"TargetDurationMs":60}],"Services":[],"Limits":{}})";

struct Worker {
    std::unique_ptr<WorkerStandIn> standIn;
    std::string agent; ///< where it announces itself
};

std::string freeEndpoint()
{
    return "127.0.0.1:" + std::to_string(LaburnumFlow::Testing::freePort());
}

void announceAll(const std::vector<Worker> &workers)
{
    for (const Worker &worker : workers) {
        SystemTest::call("PUT", worker.agent, worker.standIn->heartbeatPath(), worker.standIn->heartbeat(), {}, heartbeatTimeoutMs);
    }
}

/// Runs by how they ended, and whether any two of a task overlapped, on whatever workers.
nlohmann::json recordOf(const std::vector<Worker> &workers)
{
    std::map<std::string, int> ends;
    std::vector<WorkerStandIn::Run> runs;
    for (const Worker &worker : workers) {
        const std::vector<WorkerStandIn::Run> own = worker.standIn->runs();
        runs.insert(runs.end(), own.begin(), own.end());
    }
    for (const WorkerStandIn::Run &run : runs) {
        ++ends[run.how.empty() ? "running" : run.how];
    }
    return {{"runs", runs.size()}, {"ends", ends}, {"overlapped", overlap(std::move(runs))}};
}

} // namespace

int main(int argc, const char **argv)
{
    const auto arguments = parseArguments(argc, argv);
    if (!arguments) {
        return 2;
    }
    const StandIns::SignalWaiter signals;
    PlatformStandIn platform;
    platform.put("op/config", rules);
    std::vector<Worker> workers;
    std::cout << "store=" << platform.endpoint();
    for (const WorkerShape &shape : arguments->workers) {
        workers.push_back({std::make_unique<WorkerStandIn>(shape), freeEndpoint()});
        const std::string number = std::to_string(workers.size() - 1);
        std::cout << " worker-" << number << '=' << workers.back().standIn->endpoint() << " agent-" << number << '=' << workers.back().agent;
    }
    std::cout << " ports=";
    for (int i = 0; i < arguments->ports; ++i) {
        std::cout << (i == 0 ? "" : ",") << LaburnumFlow::Testing::freePort();
    }
    std::cout << std::endl;

    while (!signals.waitFor(heartbeatIntervalNs)) {
        announceAll(workers);
    }
    if (!arguments->record.empty()) {
        std::ofstream(arguments->record) << recordOf(workers).dump(2) << '\n';
    }
    return 0;
}
