#include "httpfront.h"
#include "tasktable.h"

#include "standins/signalwaiter.h"

#include <popt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>

using namespace LaburnumFlow::BackendStandin;

namespace {

struct Arguments {
    TableOptions table;
    int port = 0;
    int hang = 0;
};

constexpr int kindOption = 1;

bool addKind(Arguments &arguments, std::string_view text)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0) {
        return false;
    }
    char *end = nullptr;
    const std::string number(text.substr(equals + 1));
    const double ms = std::strtod(number.c_str(), &end);
    arguments.table.kindMs.emplace(text.substr(0, equals), ms);
    return !number.empty() && *end == '\0' && ms >= 0;
}

/// Returns false after a message if the arguments are faulty.
bool parse(int argc, const char **argv, Arguments &arguments)
{
    TableOptions &table = arguments.table;
    int slots = static_cast<int>(table.slots);
    long long seed = static_cast<long long>(table.seed);
    int failEverything = 0;
    int announceKinds = 0;
    char *kind = nullptr;
    char *recordFile = nullptr;
    const poptOption options[] = {
        {"port", 0, POPT_ARG_INT, &arguments.port, 0, "port on the loopback address, 0 for the kernel's choice", "N"},
        {"slots", 0, POPT_ARG_INT, &slots, 0, "tasks that run at the same time", "N"},
        {"speed", 0, POPT_ARG_DOUBLE, &table.speed, 0, "2 runs tasks twice as fast", "FACTOR"},
        {"kind", 0, POPT_ARG_STRING, &kind, kindOption, "run time of a kind at speed 1, repeatable", "NAME=MS"},
        {"announce-kinds", 0, POPT_ARG_NONE, &announceKinds, 0, "list the kinds in the status", nullptr},
        {"seed", 0, POPT_ARG_LONGLONG, &seed, 0, "seed of run times", "N"},
        {"spread", 0, POPT_ARG_DOUBLE, &table.spread, 0, "run times vary by this share", "SHARE"},
        {"straggler-share", 0, POPT_ARG_DOUBLE, &table.stragglerShare, 0, "share of tasks that straggle", "SHARE"},
        {"straggler-factor", 0, POPT_ARG_DOUBLE, &table.stragglerFactor, 0, "run time factor of stragglers", "FACTOR"},
        {"fail-everything", 0, POPT_ARG_NONE, &failEverything, 0, "fail every task at once", nullptr},
        {"hang", 0, POPT_ARG_NONE, &arguments.hang, 0, "accept requests but answer none", nullptr},
        {"status-lag-ms", 0, POPT_ARG_INT, &table.statusLagMs, 0, "age of the usage in the status", "MS"},
        {"record", 0, POPT_ARG_STRING, &recordFile, 0, "file to append starts, ends and stops to", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(poptGetContext("backendserver", argc, argv, options, 0), &poptFreeContext);
    bool good = true;
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) >= 0) {
        if (code == kindOption) {
            good = addKind(arguments, kind) && good;
            std::free(kind);
            kind = nullptr;
        }
    }
    good = good && code == -1 && slots >= 0 && table.speed > 0 && arguments.port >= 0 && arguments.port <= UINT16_MAX;
    if (!good) {
        std::cerr << "backendserver: faulty argument" << (code < -1 ? std::string(": ") + poptStrerror(code) : std::string()) << '\n';
    }
    table.slots = static_cast<std::size_t>(slots);
    table.seed = static_cast<std::uint64_t>(seed);
    table.failEverything = failEverything != 0;
    table.announceKinds = announceKinds != 0;
    table.recordFile = recordFile == nullptr ? "" : recordFile;
    std::free(recordFile);
    return good;
}

} // namespace

int main(int argc, const char **argv)
{
    Arguments arguments;
    if (!parse(argc, argv, arguments)) {
        return EXIT_FAILURE;
    }
    const StandIns::SignalWaiter signals;
    std::signal(SIGPIPE, SIG_IGN);

    TaskTable table(arguments.table);
    HttpFront front(table, static_cast<std::uint16_t>(arguments.port), arguments.hang != 0);
    if (front.port() == 0) {
        std::cerr << "backendserver: cannot listen on port " << arguments.port << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "port=" << front.port() << std::endl;
    signals.wait();
    front.drain();
    return EXIT_SUCCESS;
}
