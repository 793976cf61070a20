#include "link.h"

#include <cerrno>
#include <utility>

namespace LaburnumFlow::Net::Internal {

Link::Link(LinkId id, FileDescriptor socketFd, LinkPhase initialPhase, Base::MonoTime now)
    : phase(initialPhase), upSince(now), lastReceivedAt(now), lastQueuedAt(now), id_(id), socket_(std::move(socketFd))
{
}

Link::ReadResult Link::read(std::span<std::uint8_t> buffer, Base::MonoTime now)
{
    const ssize_t size = recv(fd(), buffer.data(), buffer.size(), 0);
    if (size > 0) {
        lastReceivedAt = now;
        reader.append(buffer.first(static_cast<std::size_t>(size)));
        return ReadResult::Open;
    }
    const bool tryLater = size < 0 && (errno == EAGAIN || errno == EINTR);
    return tryLater ? ReadResult::Open : ReadResult::Closed;
}

} // namespace LaburnumFlow::Net::Internal
