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
    Base::Endpoint listen; ///< TCP and UDP; port 0 lets the kernel choose
    std::uint64_t seed = 0; ///< of the backoff's jitter
    Base::Duration heartbeatInterval = Protocol::heartbeatInterval;
    Base::Duration linkQuietLimit = Protocol::linkQuietLimit;
    Base::Duration flushTimeout = Net::flushTimeout;
    std::size_t maxQueuedBytes = Net::maxQueuedBytes;
    std::size_t maxSentFrameBytes = Protocol::maxFrameBytes; ///< longer messages are not sent
};

/// The address could not be bound.
struct BindFailed {
    Base::Endpoint endpoint;
    int errorNumber = 0; ///< errno; EINVAL if the address is not numeric
};

/// Takes what arrives, on the net thread. The calls must return quickly.
class NetworkHandler
{
public:
    virtual ~NetworkHandler() = default;

    /// Up with the first link to a peer's incarnation, down with the end of the last one.
    virtual void linkChanged(const Base::ProcessId &peer, bool isAgent, bool up) = 0;

    /// A PeerMessage, AgentRequest or AgentReply.
    virtual void message(const Base::ProcessId &peer, bool isAgent, Protocol::LinkMessage message) = 0;

    virtual void datagram(const Base::Endpoint &from, Protocol::Datagram datagram) = 0;
};

/// Peers are known by role and name, so that an agent and an entry of the same name don't mix. Either side may
/// connect; all links to a peer are read, and the newest is used for sending. Messages on a link that breaks are lost.
class Network
{
public:
    Network(NetworkConfig config, NetworkHandler &handler, Base::CounterRegistry &counters);

    /// Calls stop().
    ~Network();
    Network(const Network &) = delete;
    Network &operator=(const Network &) = delete;

    /// Binds TCP and UDP to the same port number and returns it. Fails with BindFailed.
    boost::leaf::result<std::uint16_t> bind();

    /// Starts the thread. Needs an earlier bind().
    void start();

    /// Gives unsent messages up to flushTimeout, then closes all links and ends the thread.
    void stop();

    /// Keeps a link to this incarnation of the peer open until disconnect() or a connect() to another incarnation.
    /// No link is opened while one that the peer opened is up. Thread-safe, as are the calls below.
    void connect(const Base::ProcessId &peer, bool isAgent, const Base::Endpoint &to);

    /// Closes all links to the peer and opens no more.
    void disconnect(const std::string &name, bool isAgent);

    /// Dropped and counted if no link is up or the message exceeds maxFrameBytes.
    void send(const std::string &name, bool isAgent, Protocol::LinkMessage message);

    /// Dropped and counted if the socket's buffer is full.
    void sendDatagram(const Base::Endpoint &to, Protocol::Datagram datagram);

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace LaburnumFlow::Net
