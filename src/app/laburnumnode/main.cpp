#include "agentprocess.h"
#include "entryprocess.h"
#include "nodeconfiguration.h"
#include "nodeconstants.h"

#include "runtime/decisionlog.h"

#include <log4cplus/initializer.h>
#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

using namespace LaburnumFlow;

namespace {

constexpr const char *settingsVariable = "LABURNUMFLOW_NODE_FILE";

struct ContextDeleter {
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};

struct Arguments {
    std::string settingsFile;
    bool check = false;
};

/// Prints what is wrong and exits, or returns the arguments.
Arguments parseArguments(int argc, const char **argv)
{
    char *file = nullptr;
    int check = 0;
    int version = 0;
    const poptOption options[] = {
        {"config", 'c', POPT_ARG_STRING, &file, 0, "Read the settings from FILE; the default is the variable LABURNUMFLOW_NODE_FILE", "FILE"},
        {"check", '\0', POPT_ARG_NONE, &check, 0, "Check the settings, report every fault and exit", nullptr},
        {"version", '\0', POPT_ARG_NONE, &version, 0, "Print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, ContextDeleter> context(poptGetContext("laburnumnode", argc, argv, options, 0));
    const int status = poptGetNextOpt(context.get());
    const std::unique_ptr<char, decltype(&std::free)> ownedFile(file, &std::free);
    if (status < -1) {
        std::cerr << "laburnumnode: " << poptBadOption(context.get(), POPT_BADOPTION_NOALIAS) << ": " << poptStrerror(status) << '\n';
        std::exit(Node::exitFaultySettings);
    }
    if (version != 0) {
        std::cout << "laburnumnode " LABURNUMFLOW_VERSION "\n";
        std::exit(EXIT_SUCCESS);
    }
    const char *fromEnvironment = std::getenv(settingsVariable);
    if (file == nullptr && fromEnvironment == nullptr) {
        std::cerr << "laburnumnode: --config FILE is needed; see --help\n";
        std::exit(Node::exitFaultySettings);
    }
    return {file != nullptr ? file : fromEnvironment, check != 0};
}

} // namespace

int main(int argc, const char **argv)
{
    const log4cplus::Initializer initializer;
    const Arguments arguments = parseArguments(argc, argv);
    const auto settings = Node::readConfiguration(arguments.settingsFile);
    if (!settings) {
        return Node::exitFaultySettings;
    }
    if (arguments.check) {
        return EXIT_SUCCESS;
    }
    Runtime::logToStandardOutput();
    const bool isEntry = std::holds_alternative<Settings::JobEntrySettings>(settings->role);
    const int status = isEntry ? Node::runEntry(*settings, arguments.settingsFile) : Node::runAgent(*settings, arguments.settingsFile);
    std::quick_exit(status);
}
