// Stand-in for the platform's key-value service. Prints "port=N" and serves until SIGTERM or SIGINT.

#include "storeserver.h"

#include "standins/signalwaiter.h"

#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <limits>

using LaburnumFlow::StoreStandIn::StoreServer;

int main(int argc, const char **argv)
{
    int port = 0;
    const poptOption options[] = {{"port", 'p', POPT_ARG_INT, &port, 0, "port on 127.0.0.1; 0 lets the kernel choose", "PORT"}, POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    const bool extra = poptPeekArg(context) != nullptr;
    poptFreeContext(context);
    if (parsed != -1 || extra || port < 0 || port > std::numeric_limits<std::uint16_t>::max()) {
        std::cerr << "usage: platformstore [--port PORT]\n";
        return 2;
    }

    const StandIns::SignalWaiter signals;
    const StoreServer server(static_cast<std::uint16_t>(port));
    if (server.port() == 0) {
        std::cerr << "platformstore: cannot listen on port " << port << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "port=" << server.port() << std::endl;
    signals.wait();
    return EXIT_SUCCESS;
}
