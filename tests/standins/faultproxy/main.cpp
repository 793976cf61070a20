// Forwards TCP and UDP on one port to a target and injects faults, as POST /control on a second port tells it.

#include "faults.h"
#include "loopback.h"
#include "tcpforwarder.h"
#include "udpforwarder.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <popt.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using FaultProxy::Clock;
using FaultProxy::FaultControl;
using FaultProxy::loopback;

constexpr int maxBindTries = 50;
constexpr std::chrono::milliseconds longestWait{20}; ///< faults that changed meanwhile come into force after this

struct Listening {
    int tcp = -1;
    int udp = -1;
    std::uint16_t port = 0;
};

bool listenOn(std::uint16_t port, Listening &listening)
{
    sockaddr_in address = loopback(port);
    socklen_t length = sizeof address;
    const int on = 1;
    listening.tcp = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(listening.tcp, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(listening.tcp, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(listening.tcp, SOMAXCONN) != 0) {
        return false;
    }
    getsockname(listening.tcp, reinterpret_cast<sockaddr *>(&address), &length);
    listening.port = ntohs(address.sin_port);
    listening.udp = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    return bind(listening.udp, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
}

MHD_Result onControl(void *control,
                     MHD_Connection *connection,
                     const char * /*url*/,
                     const char * /*method*/,
                     const char * /*version*/,
                     const char *data,
                     std::size_t *size,
                     void **context)
{
    if (*context == nullptr) {
        *context = new std::string;
        return MHD_YES;
    }
    auto *body = static_cast<std::string *>(*context);
    if (*size > 0) {
        body->append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    const bool applied = static_cast<FaultControl *>(control)->apply(*body);
    MHD_Response *response = MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
    const MHD_Result result = MHD_queue_response(connection, applied ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST, response);
    MHD_destroy_response(response);
    return result;
}

void onControlEnded(void * /*control*/, MHD_Connection * /*connection*/, void **context, MHD_RequestTerminationCode /*code*/)
{
    delete static_cast<std::string *>(*context);
    *context = nullptr;
}

int millisecondsUntil(Clock::time_point due)
{
    const auto wait = std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(due - Clock::now()), std::chrono::milliseconds(0), longestWait);
    return static_cast<int>(wait.count());
}

[[noreturn]] void forward(const Listening &listening, std::uint64_t seed, const FaultControl &control)
{
    FaultProxy::TcpForwarder tcp(listening.tcp);
    FaultProxy::UdpForwarder udp(listening.udp, seed);
    while (true) {
        std::vector<pollfd> polled;
        tcp.collect(polled);
        udp.collect(polled);
        poll(polled.data(), polled.size(), millisecondsUntil(std::min(tcp.nextDue(), udp.nextDue())));
        const FaultProxy::Faults faults = control.current();
        tcp.process(faults);
        udp.process(faults);
    }
}

} // namespace

int main(int argc, char **argv)
{
    int port = 0;
    int targetPort = 0;
    int seed = 1;
    const poptOption table[] = {
        {"port", 0, POPT_ARG_INT, &port, 0, "port to listen on; 0 lets the kernel choose", "PORT"},
        {"target-port", 0, POPT_ARG_INT, &targetPort, 0, "loopback port to forward to; may be set later by /control", "PORT"},
        {"seed", 0, POPT_ARG_INT, &seed, 0, "seed of the losses", "NUMBER"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(poptGetContext("faultproxy", argc, const_cast<const char **>(argv), table, 0),
                                                                             &poptFreeContext);
    if (poptGetNextOpt(context.get()) < -1) {
        std::cerr << "faultproxy: bad option\n";
        return EXIT_FAILURE;
    }
    Listening listening;
    for (int i = 0; i < maxBindTries && !listenOn(static_cast<std::uint16_t>(port), listening); ++i) {
        listening = {};
    }
    FaultControl control;
    if (targetPort != 0) {
        control.apply("{\"targetPort\":" + std::to_string(targetPort) + "}");
    }
    sockaddr_in controlAddress = loopback(0);
    MHD_Daemon *daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD,
                                          0,
                                          nullptr,
                                          nullptr,
                                          &onControl,
                                          &control,
                                          MHD_OPTION_SOCK_ADDR,
                                          &controlAddress,
                                          MHD_OPTION_NOTIFY_COMPLETED,
                                          &onControlEnded,
                                          nullptr,
                                          MHD_OPTION_END);
    if (listening.port == 0 || daemon == nullptr) {
        std::cerr << "faultproxy: cannot listen\n";
        return EXIT_FAILURE;
    }
    std::cout << "port=" << listening.port << " control=" << MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port << std::endl;
    forward(listening, static_cast<std::uint64_t>(seed), control);
}
