#pragma once

#include "backoff.h"
#include "link.h"
#include "network.h"
#include "socket.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace LaburnumFlow::Net::Internal {

struct ConnectCommand {
    PeerKey peer;
    std::uint64_t incarnation = 0;
    Base::Endpoint to;
};

struct DisconnectCommand {
    PeerKey peer;
};

struct SendCommand {
    PeerKey peer;
    Protocol::LinkMessage message;
};

struct DatagramCommand {
    Base::Endpoint to;
    Protocol::Datagram datagram;
};

using Command = std::variant<ConnectCommand, DisconnectCommand, SendCommand, DatagramCommand>;

/// Implements the net thread. post() and requestStop() are thread-safe; all other functions run on the net thread.
class NetworkLoop
{
public:
    NetworkLoop(const NetworkConfig &config, NetworkHandler &handler, Base::CounterRegistry &counters, BoundSockets sockets);

    void run();
    void post(Command command);
    void requestStop();

private:
    /// A peer that this process connects to, and reconnects to when the link is lost.
    struct Target {
        std::uint64_t incarnation = 0;
        Base::Endpoint to;
        Backoff backoff;
        Base::MonoTime nextAttemptAt{};
        LinkId pendingLink = 0; ///< Link that is connecting or waits for the peer's LinkHello; 0 if none
    };

    struct Peer {
        std::uint64_t incarnation = 0; ///< Incarnation that upLinks lead to
        std::vector<LinkId> upLinks; ///< Oldest first
        std::optional<Target> target;
    };

    struct Counters {
        explicit Counters(Base::CounterRegistry &registry);
        Base::Counter &accepted;
        Base::Counter &opened;
        Base::Counter &openFailed;
        Base::Counter &silent;
        Base::Counter &malformed;
        Base::Counter &oversized;
        Base::Counter &overflow;
        Base::Counter &wrongPeer;
        Base::Counter &messagesSent;
        Base::Counter &messagesReceived;
        Base::Counter &messagesDropped;
        Base::Counter &datagramsSent;
        Base::Counter &datagramsReceived;
        Base::Counter &datagramsDropped;
        Base::Counter &datagramsMalformed;
    };

    void watch(int fd, std::uint64_t data, std::uint32_t events, int operation) const;
    int waitAndHandleEvents();
    void handleEvent(std::uint64_t data, std::uint32_t events);
    void handleLinkEvent(Link &link, std::uint32_t events);

    bool executeCommands();
    void handle(ConnectCommand &command);
    void handle(DisconnectCommand &command);
    void handle(SendCommand &command);
    void handle(DatagramCommand &command);

    void acceptLinks();
    void receiveDatagrams();

    Link &addLink(FileDescriptor socketFd, LinkPhase phase);
    void openIfDue(const PeerKey &key, Peer &peer);
    void openLink(const PeerKey &key, Target &target);
    void sendHello(Link &link);
    void readLink(Link &link);
    bool handleFrames(Link &link);
    bool handleMessage(Link &link, Protocol::LinkMessage message);
    bool handleHello(Link &link, const Protocol::LinkHello &hello);
    void linkUp(Link &link, std::uint64_t incarnation);
    void queueMessage(Link &link, const Protocol::LinkMessage &message);
    void flushLink(Link &link);
    void flushPendingLinks();
    void closeLink(LinkId id);
    void handleLinkClosed(const Link &link);
    void closePeerLinks(const PeerKey &key);

    void checkLinks();
    bool isSilent(const Link &link) const;
    bool isIdle(const Link &link) const;
    void pingOrClose(Link &link);
    void drainAndClose();

    NetworkConfig config_;
    NetworkHandler &handler_;
    Counters counters_;
    BoundSockets sockets_;
    FileDescriptor epoll_;
    FileDescriptor wake_;
    std::mt19937_64 random_;
    Base::MonoTime now_{};
    Base::MonoTime lastLinkCheck_{};
    bool listenPaused_ = false; ///< No file descriptors were left; accepting resumes at the next check of links
    LinkId nextLink_;
    std::unordered_map<LinkId, std::unique_ptr<Link>> links_;
    std::map<PeerKey, Peer> peers_;
    std::vector<LinkId> flushPending_;
    std::vector<std::uint8_t> readBuffer_;

    std::mutex mutex_;
    std::vector<Command> commands_;
    bool stopping_ = false;
};

} // namespace LaburnumFlow::Net::Internal
