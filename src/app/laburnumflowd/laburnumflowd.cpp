#include "daemonconstants.h"
#include "lifecyclewaiter.h"
#include "logsetup.h"
#include "settingsfile.h"

#include "agentruntime/agentruntime.h"
#include "base/counters.h"
#include "entryruntime/entryruntime.h"
#include "net/network.h"
#include "runtime/daemonarguments.h"
#include "runtime/logline.h"
#include "runtime/processidentity.h"
#include "store/storefactory.h"

#include <log4cplus/initializer.h>

#include <array>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <utility>
#include <variant>

namespace LaburnumFlow::Daemon {

namespace {

namespace leaf = boost::leaf;

/// Starts a runtime; prints the reason if it can't.
template<class RuntimeType>
bool start(RuntimeType &runtime)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            leaf::result<void> started = runtime.start();
            if (!started) {
                return started.error();
            }
            return true;
        },
        [](const Net::BindFailed &failed) {
            std::cerr << "laburnumflowd: can't bind " << Runtime::toText(failed.endpoint) << ": " << std::strerror(failed.errorNumber) << '\n';
            return false;
        },
        [](const HttpApi::ListenFailed &failed) {
            std::cerr << "laburnumflowd: can't listen on " << Runtime::toText(failed.endpoint) << '\n';
            return false;
        },
        [] {
            std::cerr << "laburnumflowd: can't start\n";
            return false;
        });
}

/// Ends the process at once after an abandoned drain: joining threads could wait for calls that hang.
int finish(int status)
{
    if (status != EXIT_SUCCESS) {
        std::cout.flush();
        std::_Exit(status);
    }
    return status;
}

int run(const Settings::EntrySettings &settings, LifecycleWaiter &waiter)
{
    Base::CounterRegistry counters;
    Entry::EntryRuntime runtime(settings, Store::makeStore(settings.store, counters), counters, waiter.callbacks());
    if (!start(runtime)) {
        return EXIT_FAILURE;
    }
    const std::string http = Runtime::toText(runtime.http());
    const std::string peer = Runtime::toText(runtime.peer());
    const std::array<Runtime::LogField, 4> fields{{{"role", "entry"}, {"name", settings.name}, {"http", http}, {"peer", peer}}};
    Runtime::writeLogLine("started", fields);
    std::cout << "http=" << http << " peer=" << peer << std::endl;
    return finish(waiter.wait([&] { runtime.post(Events::DrainRequested{}); }));
}

int run(const Settings::AgentSettings &settings, LifecycleWaiter &waiter)
{
    Base::CounterRegistry counters;
    Agent::AgentRuntime runtime(settings, counters, waiter.callbacks());
    if (!start(runtime)) {
        return EXIT_FAILURE;
    }
    const std::string listen = Runtime::toText(runtime.listen());
    const std::array<Runtime::LogField, 3> fields{{{"role", "agent"}, {"name", settings.name}, {"listen", listen}}};
    Runtime::writeLogLine("started", fields);
    std::cout << "listen=" << listen << std::endl;
    return finish(waiter.wait([&] { runtime.requestDrain(); }));
}

const Settings::LogSettings &logOf(const Settings::DaemonSettings &settings)
{
    return std::visit([](const auto &role) -> const Settings::LogSettings & { return role.log; }, settings);
}

int runDaemon(const Runtime::DaemonArguments &arguments)
{
    const std::optional<Settings::DaemonSettings> settings = readSettingsFile(arguments.settingsFile);
    if (!settings) {
        return Runtime::exitFaultySettings;
    }
    if (arguments.check) {
        return EXIT_SUCCESS;
    }
    LifecycleWaiter waiter;
    const log4cplus::Initializer initializer;
    setUpLog(logOf(*settings));
    return std::visit([&](const auto &role) { return run(role, waiter); }, *settings);
}

} // namespace

} // namespace LaburnumFlow::Daemon

int main(int argc, const char **argv)
{
    using namespace LaburnumFlow;
    const auto arguments = Runtime::parseDaemonArguments({"laburnumflowd", LABURNUMFLOW_VERSION}, argc, argv);
    if (const int *status = std::get_if<int>(&arguments)) {
        return *status;
    }
    return Daemon::runDaemon(std::get<Runtime::DaemonArguments>(arguments));
}
