#include "arguments.h"

#include "daemonconstants.h"

#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>

namespace LaburnumFlow::Daemon {

namespace {

struct ContextDeleter {
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};

using Context = std::unique_ptr<poptContext_s, ContextDeleter>;

int reportFault(const std::string &text)
{
    std::cerr << "laburnumflowd: " << text << '\n';
    return exitFaultySettings;
}

} // namespace

std::variant<Arguments, int> parseArguments(int argc, const char **argv)
{
    char *configFile = nullptr;
    int check = 0;
    int version = 0;
    const poptOption options[] = {
        {"config", 'c', POPT_ARG_STRING, &configFile, 0, "Read the settings from FILE", "FILE"},
        {"check", '\0', POPT_ARG_NONE, &check, 0, "Check the settings, report every fault and exit", nullptr},
        {"version", '\0', POPT_ARG_NONE, &version, 0, "Print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const Context context(poptGetContext("laburnumflowd", argc, argv, options, 0));
    const int status = poptGetNextOpt(context.get());
    const std::unique_ptr<char, decltype(&std::free)> ownedFile(configFile, &std::free);
    if (status < -1) {
        return reportFault(std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " + poptStrerror(status));
    }
    if (version != 0) {
        std::cout << "laburnumflowd " LABURNUMFLOW_VERSION "\n";
        return EXIT_SUCCESS;
    }
    if (const char *extra = poptGetArg(context.get()); extra != nullptr) {
        return reportFault(std::string("unexpected argument: ") + extra);
    }
    if (configFile == nullptr) {
        return reportFault("--config FILE is needed; see --help");
    }
    return Arguments{configFile, check != 0};
}

} // namespace LaburnumFlow::Daemon
