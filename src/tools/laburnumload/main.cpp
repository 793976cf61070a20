#include "backendrecords.h"
#include "plot.h"
#include "report.h"
#include "runner.h"
#include "scenario.h"
#include "schedule.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>
#include <popt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace LaburnumFlow::Load;

constexpr int entryOption = 1;
constexpr int recordOption = 2;

struct Arguments {
    std::string scenario;
    std::vector<std::string> entries;
    std::vector<std::string> records;
    std::string plot;
    int seed = 1;
    bool describe = false;
};

bool parse(int argc, const char **argv, Arguments &arguments)
{
    char *scenario = nullptr;
    char *plot = nullptr;
    int describe = 0;
    const poptOption table[] = {
        {"scenario", 's', POPT_ARG_STRING, &scenario, 0, "scenario file (YAML)", "FILE"},
        {"entry", 'e', POPT_ARG_STRING, nullptr, entryOption, "HTTP address of an entry; may be given several times", "ADDRESS:PORT"},
        {"record", 'r', POPT_ARG_STRING, nullptr, recordOption, "a backend server's record to check; may be given several times", "FILE"},
        {"seed", 0, POPT_ARG_INT, &arguments.seed, 0, "seed of the arrivals", "NUMBER"},
        {"plot", 'p', POPT_ARG_STRING, &plot, 0, "write a plot of the run", "FILE.svg"},
        {"describe", 0, POPT_ARG_NONE, &describe, 0, "print the scenario's workers as lines 'SLOTS SPEED' and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(poptGetContext("laburnumload", argc, argv, table, 0), &poptFreeContext);
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) >= 0) {
        const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()), &std::free);
        (code == entryOption ? arguments.entries : arguments.records).emplace_back(value.get());
    }
    const std::unique_ptr<char, decltype(&std::free)> ownedScenario(scenario, &std::free);
    const std::unique_ptr<char, decltype(&std::free)> ownedPlot(plot, &std::free);
    arguments.scenario = scenario == nullptr ? "" : scenario;
    arguments.plot = plot == nullptr ? "" : plot;
    arguments.describe = describe != 0;
    if (code < -1 || arguments.scenario.empty() || (arguments.entries.empty() && !arguments.describe)) {
        std::cerr << "laburnumload: --scenario and --entry are needed; see laburnumload --help\n";
        return false;
    }
    return true;
}

void describe(const Scenario &scenario)
{
    for (const WorkerShape &worker : scenario.workers) {
        for (int i = 0; i < worker.count; ++i) {
            std::cout << worker.slots << ' ' << worker.speed << '\n';
        }
    }
}

void run(const Scenario &scenario, const Arguments &arguments)
{
    const auto seed = static_cast<std::uint64_t>(arguments.seed);
    const double roundTripMs = measureRoundTripMs(scenario, arguments.entries.front());
    const std::vector<PlannedJob> jobs = drawSchedule(scenario, seed, arguments.entries.size());
    const std::vector<JobResult> results = runSchedule(scenario, jobs, arguments.entries, seed);
    const RunData data{scenario, jobs, results, roundTripMs, seed, checkRecords(arguments.records)};
    std::cout << makeReport(data).dump(2) << '\n';
    if (!arguments.plot.empty()) {
        std::ofstream(arguments.plot) << plotRun(data);
    }
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    if (!parse(argc, const_cast<const char **>(argv), arguments)) {
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(scenario, loadScenario(arguments.scenario));
            if (arguments.describe) {
                describe(scenario);
            } else {
                run(scenario, arguments);
            }
            return EXIT_SUCCESS;
        },
        [&](const BadScenario &bad) {
            std::cerr << "laburnumload: " << arguments.scenario << ": " << bad.detail << '\n';
            return 2;
        },
        [] { return EXIT_FAILURE; });
}
