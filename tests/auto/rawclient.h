#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace LaburnumFlow::Testing {

/// A TCP client of a server on this machine. What it sends is in the server's socket at once, also while the server's process is suspended.
class RawClient
{
public:
    explicit RawClient(std::uint16_t port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(fd_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            throw std::runtime_error("no connection to port " + std::to_string(port));
        }
    }

    ~RawClient()
    {
        close();
    }

    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(std::string_view bytes) const
    {
        if (::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size())) {
            throw std::runtime_error("the bytes were not sent");
        }
    }

    /// Waits for bytes of the server and returns them; empty if it has closed the connection.
    std::string receive() const
    {
        std::string bytes(4096, '\0');
        const ssize_t received = ::recv(fd_, bytes.data(), bytes.size(), 0);
        bytes.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
        return bytes;
    }

    void close()
    {
        if (fd_ >= 0) {
            ::close(std::exchange(fd_, -1));
        }
    }

private:
    int fd_;
};

} // namespace LaburnumFlow::Testing
