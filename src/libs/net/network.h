#pragma once

#include "networkconstants.h"

#include "base/counters.h"
#include "base/types.h"
#include "protocol/messages.h"
#include "protocol/protocolconstants.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <memory>
#include <string>

/// TCP links and UDP datagrams between laburnumflow processes, on one epoll thread named "net".
namespace LaburnumFlow::Net {

struct NetworkConfig {
    Base::ProcessId self;
    bool isAgent = false;
    Base::Endpoint listen; ///< Address for TCP and UDP; the kernel chooses the port if it is 0
    std::uint64_t seed = 0; ///< Seed of the jitter of reconnect delays
    Base::Duration heartbeatInterval = Protocol::heartbeatInterval; ///< A link without outgoing messages for this long sends a LinkPing
    Base::Duration linkQuietLimit = Protocol::linkQuietLimit; ///< A link that receives nothing for longer is closed
    Base::Duration flushTimeout = Net::flushTimeout;
    std::size_t maxQueuedBytes = Net::maxQueuedBytes; ///< A link with more unsent bytes is closed
    std::size_t maxSentFrameBytes = Protocol::maxFrameBytes; ///< Longer messages are dropped
};

/// Error: the address could not be bound.
struct BindFailed {
    Base::Endpoint endpoint;
    int errorNumber = 0; ///< Value of errno; EINVAL if the address is not numeric
};

/// Receives link changes, messages and datagrams. All functions are called on the net thread and must not block.
class NetworkHandler
{
public:
    virtual ~NetworkHandler() = default;

    /// Called with up = true when the first link to an incarnation of a peer is up, and with up = false when its last link is closed.
    virtual void linkChanged(const Base::ProcessId &peer, bool isAgent, bool up) = 0;

    /// Called for each received PeerMessage, AgentRequest or AgentReply.
    virtual void message(const Base::ProcessId &peer, bool isAgent, Protocol::LinkMessage message) = 0;

    /// Called for each received datagram.
    virtual void datagram(const Base::Endpoint &from, Protocol::Datagram datagram) = 0;
};

/// Exchanges messages and datagrams with peers. A peer is identified by its role and name, as an agent and an entry may
/// have the same name. Either side may connect; messages are read from all links to a peer and sent on the newest one.
/// Messages that are queued or on their way when a link breaks are lost.
class Network
{
public:
    Network(NetworkConfig config, NetworkHandler &handler, Base::CounterRegistry &counters);

    /// Stops the network, as stop() does.
    ~Network();
    Network(const Network &) = delete;
    Network &operator=(const Network &) = delete;

    /// Binds TCP and UDP to the same port number and returns it. Fails with BindFailed.
    boost::leaf::result<std::uint16_t> bind();

    /// Starts the net thread. bind() must have succeeded before.
    void start();

    /// Waits up to flushTimeout until queued messages are sent, then closes all links and ends the thread.
    void stop();

    /// Connects to this incarnation of the peer, and reconnects when the link is lost, until disconnect() or connect()
    /// with another incarnation is called. Opens no link while one that the peer opened is up.
    /// This function and those below are thread-safe.
    void connect(const Base::ProcessId &peer, bool isAgent, const Base::Endpoint &to);

    /// Closes all links to the peer and stops reconnecting.
    void disconnect(const std::string &name, bool isAgent);

    /// Queues a message. Drops and counts it if no link to the peer is up or it exceeds NetworkConfig::maxSentFrameBytes.
    void send(const std::string &name, bool isAgent, Protocol::LinkMessage message);

    /// Sends a datagram. Drops and counts it if it can't be sent at once, as when the socket's buffer is full.
    void sendDatagram(const Base::Endpoint &to, Protocol::Datagram datagram);

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace LaburnumFlow::Net
