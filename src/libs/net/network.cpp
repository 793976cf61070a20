#include "network.h"

#include "networkloop.h"

#include <pthread.h>

#include <optional>
#include <thread>
#include <utility>

namespace LaburnumFlow::Net {

struct Network::Private {
    Private(NetworkConfig networkConfig, NetworkHandler &networkHandler, Base::CounterRegistry &counterRegistry)
        : config(std::move(networkConfig)), handler(networkHandler), counters(counterRegistry)
    {
    }

    NetworkConfig config;
    NetworkHandler &handler;
    Base::CounterRegistry &counters;
    std::unique_ptr<Internal::NetworkLoop> loop;
    std::thread thread;
};

Network::Network(NetworkConfig config, NetworkHandler &handler, Base::CounterRegistry &counters)
    : d_(std::make_unique<Private>(std::move(config), handler, counters))
{
}

Network::~Network()
{
    stop();
}

boost::leaf::result<std::uint16_t> Network::bind()
{
    BOOST_LEAF_AUTO(sockets, Internal::bindSockets(d_->config.listen));
    const std::uint16_t port = sockets.port;
    d_->loop = std::make_unique<Internal::NetworkLoop>(d_->config, d_->handler, d_->counters, std::move(sockets));
    return port;
}

void Network::start()
{
    d_->thread = std::thread([loop = d_->loop.get()] {
        pthread_setname_np(pthread_self(), "net");
        loop->run();
    });
}

void Network::stop()
{
    if (d_->thread.joinable()) {
        d_->loop->requestStop();
        d_->thread.join();
    }
}

void Network::connect(const Base::ProcessId &peer, bool isAgent, const Base::Endpoint &to)
{
    d_->loop->post(Internal::ConnectCommand{{isAgent, peer.name}, peer.incarnation, to});
}

void Network::disconnect(const std::string &name, bool isAgent)
{
    d_->loop->post(Internal::DisconnectCommand{{isAgent, name}});
}

void Network::send(const std::string &name, bool isAgent, Protocol::LinkMessage message)
{
    d_->loop->post(Internal::SendCommand{{isAgent, name}, std::move(message)});
}

void Network::sendDatagram(const Base::Endpoint &to, Protocol::Datagram datagram)
{
    d_->loop->post(Internal::DatagramCommand{to, std::move(datagram)});
}

} // namespace LaburnumFlow::Net
