#pragma once

#include "linkframes.h"
#include "socket.h"

#include "base/types.h"
#include "protocol/messages.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace LaburnumFlow::Net::Internal {

using LinkId = std::uint64_t;

/// Identifies a peer. An agent and an entry may have the same name.
struct PeerKey {
    bool isAgent = false;
    std::string name;

    auto operator<=>(const PeerKey &) const = default;
};

enum class LinkPhase : std::uint8_t {
    Connecting,
    AwaitingHello,
    Up,
};

/// A TCP connection to a peer.
class Link
{
public:
    Link(LinkId id, FileDescriptor socketFd, LinkPhase phase, Base::MonoTime now);

    LinkId id() const
    {
        return id_;
    }
    int fd() const
    {
        return socket_.get();
    }

    enum class ReadResult : std::uint8_t {
        Open,
        Closed, ///< Closed by the peer, or broken
    };

    /// Receives at most buffer.size() bytes and appends them to reader.
    ReadResult read(std::span<std::uint8_t> buffer, Base::MonoTime now);

    FrameReader reader;
    SendQueue sendQueue;
    LinkPhase phase;
    PeerKey peer; ///< Empty for an accepted link until its LinkHello has arrived
    bool outgoing = false; ///< This side connected
    bool writeWatched = false; ///< epoll reports when the socket is writable
    bool flushPending = false; ///< Listed in NetworkLoop::flushPending_
    Base::MonoTime upSince{}; ///< Time of creation until the link is up
    Base::MonoTime lastReceivedAt{};
    Base::MonoTime lastQueuedAt{}; ///< Last message added to sendQueue

private:
    LinkId id_;
    FileDescriptor socket_;
};

} // namespace LaburnumFlow::Net::Internal
