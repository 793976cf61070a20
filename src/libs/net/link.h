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

/// Agents and entries have separate names.
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

/// One TCP connection to a peer.
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
        Closed, ///< by the peer, or broken
    };

    /// Appends what has arrived to reader, at most buffer.size() bytes.
    ReadResult read(std::span<std::uint8_t> buffer, Base::MonoTime now);

    FrameReader reader;
    SendQueue sendQueue;
    LinkPhase phase;
    PeerKey peer; ///< once up; of an opened link from the start
    bool outgoing = false; ///< by this side
    bool writeWatched = false; ///< epoll reports when the socket takes more
    bool flushPending = false;
    Base::MonoTime upSince{};
    Base::MonoTime lastReceivedAt{};
    Base::MonoTime lastQueuedAt{}; ///< the newest message put into the queue

private:
    LinkId id_;
    FileDescriptor socket_;
};

} // namespace LaburnumFlow::Net::Internal
