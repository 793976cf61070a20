#include "daemonarguments.h"

#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>

namespace LaburnumFlow::Runtime {

namespace {

struct ContextDeleter {
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};

using Context = std::unique_ptr<poptContext_s, ContextDeleter>;

int reportFault(const DaemonProgram &program, std::string_view text)
{
    std::cerr << program.name << ": " << text << '\n';
    return exitFaultySettings;
}

std::string fileFromEnvironment(const DaemonProgram &program)
{
    const char *file = program.settingsFileVariable.empty() ? nullptr : std::getenv(std::string(program.settingsFileVariable).c_str());
    return file == nullptr ? std::string() : file;
}

} // namespace

std::variant<DaemonArguments, int> parseDaemonArguments(const DaemonProgram &program, int argc, const char **argv)
{
    char *file = nullptr;
    int check = 0;
    int version = 0;
    const std::string variable = program.settingsFileVariable.empty()
                                     ? std::string()
                                     : "; the default is the value of the environment variable " + std::string(program.settingsFileVariable);
    const std::string fileHelp = "Read the settings from FILE" + variable;
    const poptOption options[] = {
        {"config", 'c', POPT_ARG_STRING, &file, 0, fileHelp.c_str(), "FILE"},
        {"check", '\0', POPT_ARG_NONE, &check, 0, "Check the settings, report every fault and exit", nullptr},
        {"version", '\0', POPT_ARG_NONE, &version, 0, "Print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const Context context(poptGetContext(std::string(program.name).c_str(), argc, argv, options, 0));
    const int status = poptGetNextOpt(context.get());
    const std::unique_ptr<char, decltype(&std::free)> ownedFile(file, &std::free);
    if (status < -1) {
        return reportFault(program, std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " + poptStrerror(status));
    }
    if (version != 0) {
        std::cout << program.name << ' ' << program.version << '\n';
        return EXIT_SUCCESS;
    }
    if (const char *extra = poptGetArg(context.get()); extra != nullptr) {
        return reportFault(program, std::string("unexpected argument: ") + extra);
    }
    const std::string settingsFile = file != nullptr ? file : fileFromEnvironment(program);
    if (settingsFile.empty()) {
        return reportFault(program, "no settings file given: expected --config FILE; see --help");
    }
    return DaemonArguments{settingsFile, check != 0};
}

} // namespace LaburnumFlow::Runtime
