#include "agentprocess.h"
#include "entryprocess.h"
#include "nodeconfiguration.h"

#include "runtime/daemonarguments.h"
#include "runtime/decisionlog.h"

#include <log4cplus/initializer.h>

#include <cstdlib>
#include <variant>

using namespace LaburnumFlow;

int main(int argc, const char **argv)
{
    const auto parsed = Runtime::parseDaemonArguments({"laburnumnode", LABURNUMFLOW_VERSION, "LABURNUMFLOW_NODE_FILE"}, argc, argv);
    if (const int *status = std::get_if<int>(&parsed)) {
        return *status;
    }
    const auto &arguments = std::get<Runtime::DaemonArguments>(parsed);
    const auto settings = Node::readConfiguration(arguments.settingsFile);
    if (!settings) {
        return Runtime::exitFaultySettings;
    }
    if (arguments.check) {
        return EXIT_SUCCESS;
    }
    const log4cplus::Initializer initializer;
    Runtime::logToStandardOutput();
    const bool isEntry = std::holds_alternative<Settings::JobEntrySettings>(settings->role);
    const int status = isEntry ? Node::runEntry(*settings, arguments.settingsFile) : Node::runAgent(*settings, arguments.settingsFile);
    std::quick_exit(status);
}
