#pragma once

#include "net/linkframes.h"
#include "net/socket.h"
#include "protocol/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace LaburnumFlow::NetTest {

/// A blocking connection that sends exactly the bytes that a test passes, also malformed ones.
class RawConnection
{
public:
    explicit RawConnection(Net::Internal::FileDescriptor socketFd);

    /// Connects to a port on loopback.
    static RawConnection to(std::uint16_t port);

    void sendBytes(const std::vector<std::uint8_t> &bytes) const;
    void sendMessage(const Protocol::LinkMessage &message) const;
    void sendHello(const std::string &name, std::uint64_t incarnation) const;

    /// Returns the next message, or std::nullopt if the other side has closed the connection.
    std::optional<Protocol::LinkMessage> receive();

    /// Skips pings and the hello. Returns the number of the next numberedMessage(), or std::nullopt if the connection was closed.
    std::optional<std::uint64_t> receiveNumber();

    /// Reads until the other side closes the connection. Returns false if it does not within testTimeout.
    bool waitForClose();

    /// Number of bytes read by waitForClose().
    std::size_t bytesBeforeClose = 0;

private:
    Net::Internal::FileDescriptor socket_;
    Net::Internal::FrameReader reader_;
};

/// A listening socket on loopback.
class RawListener
{
public:
    RawListener();
    RawConnection accept() const;

    std::uint16_t port = 0;

private:
    Net::Internal::FileDescriptor socket_;
};

/// Returns the body with the header of a frame before it.
std::vector<std::uint8_t> makeFrame(const std::vector<std::uint8_t> &body);

} // namespace LaburnumFlow::NetTest
