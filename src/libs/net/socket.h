#pragma once

#include "base/types.h"

#include <boost/leaf.hpp>

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <utility>

namespace LaburnumFlow::Net::Internal {

/// Owns a file descriptor.
class FileDescriptor
{
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int fd) : fd_(fd) { }
    ~FileDescriptor();
    FileDescriptor(FileDescriptor &&other) noexcept : fd_(std::exchange(other.fd_, -1)) { }
    FileDescriptor &operator=(FileDescriptor &&other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;

    int get() const
    {
        return fd_;
    }
    bool valid() const
    {
        return fd_ >= 0;
    }

    /// Returns the descriptor and passes its ownership to the caller.
    int release()
    {
        return std::exchange(fd_, -1);
    }

private:
    int fd_ = -1;
};

/// A socket address with its length, as the socket functions take and fill it.
struct Address {
    sockaddr_storage storage{};
    socklen_t length = sizeof(sockaddr_storage);

    const sockaddr *get() const
    {
        return reinterpret_cast<const sockaddr *>(&storage);
    }
    sockaddr *get()
    {
        return reinterpret_cast<sockaddr *>(&storage);
    }
};

/// Returns std::nullopt if the address is not a numeric IPv4 or IPv6 address.
std::optional<Address> toAddress(const Base::Endpoint &endpoint);
Base::Endpoint toEndpoint(const Address &address);

struct BoundSockets {
    FileDescriptor tcp; ///< Listening
    FileDescriptor udp;
    std::uint16_t port = 0;
};

/// Binds non-blocking TCP and UDP sockets to the same port number. Fails with BindFailed.
boost::leaf::result<BoundSockets> bindSockets(const Base::Endpoint &listen);

/// Returns a non-blocking socket that is connecting, or an invalid descriptor if connecting failed at once.
FileDescriptor startConnect(const Base::Endpoint &to);

/// Returns and clears the pending error of a socket; 0 if there is none.
int takeSocketError(int fd);

void setNoDelay(int fd);

} // namespace LaburnumFlow::Net::Internal
