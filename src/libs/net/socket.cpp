#include "socket.h"

#include "network.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace LaburnumFlow::Net::Internal {

namespace {

constexpr int listenBacklog = 4096;

template<class SockAddr>
void store(Address &address, const SockAddr &from)
{
    std::memcpy(&address.storage, &from, sizeof(from));
    address.length = sizeof(from);
}

void setOption(int fd, int level, int option, int value)
{
    setsockopt(fd, level, option, &value, sizeof(value));
}

/// Returns an invalid descriptor on failure, with errno set.
FileDescriptor makeBoundSocket(const Address &address, int type)
{
    FileDescriptor socketFd(::socket(address.storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socketFd.valid()) {
        return {};
    }
    if (type == SOCK_STREAM) {
        setOption(socketFd.get(), SOL_SOCKET, SO_REUSEADDR, 1);
    } else {
        setOption(socketFd.get(), SOL_SOCKET, SO_RCVBUF, datagramBufferBytes);
        setOption(socketFd.get(), SOL_SOCKET, SO_SNDBUF, datagramBufferBytes);
    }
    if (::bind(socketFd.get(), address.get(), address.length) != 0) {
        return {};
    }
    return socketFd;
}

std::uint16_t boundPort(int fd)
{
    Address address;
    getsockname(fd, address.get(), &address.length);
    return toEndpoint(address).port;
}

/// If a socket is invalid in the result, errno is that of the call that failed.
BoundSockets tryBind(Base::Endpoint listen)
{
    BoundSockets sockets;
    sockets.tcp = makeBoundSocket(*toAddress(listen), SOCK_STREAM);
    if (!sockets.tcp.valid() || ::listen(sockets.tcp.get(), listenBacklog) != 0) {
        return sockets;
    }
    sockets.port = boundPort(sockets.tcp.get());
    listen.port = sockets.port;
    sockets.udp = makeBoundSocket(*toAddress(listen), SOCK_DGRAM);
    return sockets;
}

} // namespace

FileDescriptor::~FileDescriptor()
{
    if (fd_ >= 0) {
        ::close(fd_);
    }
}

std::optional<Address> toAddress(const Base::Endpoint &endpoint)
{
    Address address;
    sockaddr_in v4{};
    if (inet_pton(AF_INET, endpoint.address.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(endpoint.port);
        store(address, v4);
        return address;
    }
    sockaddr_in6 v6{};
    if (inet_pton(AF_INET6, endpoint.address.c_str(), &v6.sin6_addr) == 1) {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(endpoint.port);
        store(address, v6);
        return address;
    }
    return std::nullopt;
}

Base::Endpoint toEndpoint(const Address &address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.storage.ss_family == AF_INET6) {
        sockaddr_in6 v6{};
        std::memcpy(&v6, &address.storage, sizeof(v6));
        inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(v6.sin6_port)};
    }
    sockaddr_in v4{};
    std::memcpy(&v4, &address.storage, sizeof(v4));
    inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(v4.sin_port)};
}

boost::leaf::result<BoundSockets> bindSockets(const Base::Endpoint &listen)
{
    if (!toAddress(listen)) {
        return boost::leaf::new_error(BindFailed{listen, EINVAL});
    }
    int errorNumber = 0;
    for (int attempt = 0; attempt < (listen.port == 0 ? maxBindAttempts : 1); ++attempt) {
        BoundSockets sockets = tryBind(listen);
        if (sockets.tcp.valid() && sockets.udp.valid()) {
            return sockets;
        }
        errorNumber = errno;
    }
    return boost::leaf::new_error(BindFailed{listen, errorNumber});
}

FileDescriptor startConnect(const Base::Endpoint &to)
{
    const std::optional<Address> address = toAddress(to);
    if (!address) {
        return {};
    }
    FileDescriptor socketFd(::socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socketFd.valid()) {
        return {};
    }
    setNoDelay(socketFd.get());
    if (::connect(socketFd.get(), address->get(), address->length) != 0 && errno != EINPROGRESS) {
        return {};
    }
    return socketFd;
}

int takeSocketError(int fd)
{
    int error = 0;
    socklen_t length = sizeof(error);
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) == 0 ? error : errno;
}

void setNoDelay(int fd)
{
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

} // namespace LaburnumFlow::Net::Internal
