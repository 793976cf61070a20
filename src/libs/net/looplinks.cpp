#include "looplinks.h"

#include "linkframes.h"
#include "network.h"
#include "socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace LaburnumFlow::Net {

namespace {

constexpr std::size_t readBufferBytes = 65'536;
constexpr std::size_t maxUnsentBytes = 8UL * 1024UL * 1024UL; ///< Per link; a link whose peer reads too slowly is closed
constexpr unsigned userTimeoutMs = 1500; ///< TCP closes a link whose data stays unacknowledged for longer
constexpr int listenBacklog = 256;

} // namespace

struct LoopLinks::Link {
    LinkId id = 0;
    Internal::FileDescriptor socket;
    bool connecting = false;
    bool flushPending = false;
    Internal::FrameReader reader;
    Internal::SendQueue sendQueue;
};

LoopLinks::LoopLinks(EventLoop::Loop &loop, LinkHandler &handler) : loop_(loop), handler_(handler) { }

LoopLinks::~LoopLinks()
{
    for (const auto &[id, link] : links_) {
        loop_.unwatch(link->socket.get());
    }
    if (listener_ >= 0) {
        loop_.unwatch(listener_);
        ::close(listener_);
    }
}

boost::leaf::result<void> LoopLinks::listen(const Base::Endpoint &endpoint)
{
    const auto address = Internal::toAddress(endpoint);
    if (!address) {
        return boost::leaf::new_error(BindFailed{endpoint, EINVAL});
    }
    const int fd = ::socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    if (::bind(fd, address->get(), address->length) != 0 || ::listen(fd, listenBacklog) != 0) {
        const int errorNumber = errno;
        ::close(fd);
        return boost::leaf::new_error(BindFailed{endpoint, errorNumber});
    }
    listener_ = fd;
    loop_.watch(fd, EPOLLIN, [this](std::uint32_t /*events*/) { accept(); });
    return {};
}

LinkId LoopLinks::dial(const Base::Endpoint &endpoint)
{
    Internal::FileDescriptor socket = Internal::startConnect(endpoint);
    if (!socket.valid()) {
        const LinkId failed = ++lastLink_;
        loop_.defer([this, failed] { handler_.linkClosed(failed, LinkEnd::Lost); });
        return failed;
    }
    Link &link = add(socket.release(), true);
    return link.id;
}

LoopLinks::Link &LoopLinks::add(int fd, bool connecting)
{
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs));
    Internal::setNoDelay(fd);
    auto link = std::make_unique<Link>();
    link->id = ++lastLink_;
    link->socket = Internal::FileDescriptor(fd);
    link->connecting = connecting;
    const LinkId id = link->id;
    loop_.watch(fd, connecting ? EPOLLOUT : EPOLLIN, [this, id](std::uint32_t events) { handleEvents(id, events); });
    return *links_.emplace(id, std::move(link)).first->second;
}

LoopLinks::Link *LoopLinks::find(LinkId link)
{
    const auto found = links_.find(link);
    return found == links_.end() ? nullptr : found->second.get();
}

void LoopLinks::accept()
{
    for (;;) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        handler_.linkAccepted(add(fd, false).id);
    }
}

void LoopLinks::handleEvents(LinkId id, std::uint32_t events)
{
    Link *link = find(id);
    if (link == nullptr) {
        return;
    }
    if (link->connecting) {
        if (const int error = Internal::takeSocketError(link->socket.get()); error != 0) {
            closeAndReport(id, error == ECONNREFUSED ? LinkEnd::Refused : LinkEnd::Lost);
            return;
        }
        link->connecting = false;
        loop_.change(link->socket.get(), EPOLLIN);
        handler_.linkConnected(id);
        // Frames may have been queued before.
        flush(id);
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        flush(id);
        link = find(id);
    }
    if (link != nullptr && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && !read(*link)) {
        closeAndReport(id);
    }
}

bool LoopLinks::read(Link &link)
{
    static std::array<std::uint8_t, readBufferBytes> buffer;
    const LinkId id = link.id;
    const ssize_t size = ::recv(link.socket.get(), buffer.data(), buffer.size(), 0);
    if (size < 0) {
        return errno == EAGAIN || errno == EINTR;
    }
    if (size == 0) {
        return false;
    }
    link.reader.append(std::span(buffer).first(static_cast<std::size_t>(size)));
    std::span<const std::uint8_t> frame;
    for (;;) {
        const Internal::FrameReader::Result result = link.reader.next(frame);
        if (result == Internal::FrameReader::Result::Oversized) {
            return false;
        }
        if (result == Internal::FrameReader::Result::Incomplete) {
            break;
        }
        handler_.linkFrame(id, frame);
        if (find(id) == nullptr) {
            return true;
        }
    }
    link.reader.discardConsumed();
    return true;
}

void LoopLinks::send(LinkId id, std::span<const std::uint8_t> frame)
{
    Link *link = find(id);
    if (link == nullptr) {
        return;
    }
    link->sendQueue.push(frame);
    if (!link->flushPending) {
        link->flushPending = true;
        loop_.defer([this, id] { flush(id); });
    }
}

void LoopLinks::flush(LinkId id)
{
    Link *link = find(id);
    if (link == nullptr) {
        return;
    }
    link->flushPending = false;
    if (link->connecting) {
        return;
    }
    switch (link->sendQueue.writeTo(link->socket.get())) {
    case Internal::SendQueue::Result::Empty:
        loop_.change(link->socket.get(), EPOLLIN);
        return;
    case Internal::SendQueue::Result::Blocked:
        if (link->sendQueue.bytes() > maxUnsentBytes) {
            closeAndReport(id);
            return;
        }
        loop_.change(link->socket.get(), EPOLLIN | EPOLLOUT);
        return;
    case Internal::SendQueue::Result::Broken:
        closeAndReport(id);
        return;
    }
}

void LoopLinks::closeAndReport(LinkId id, LinkEnd reason)
{
    if (find(id) == nullptr) {
        return;
    }
    close(id);
    handler_.linkClosed(id, reason);
}

void LoopLinks::close(LinkId id)
{
    const auto found = links_.find(id);
    if (found == links_.end()) {
        return;
    }
    loop_.unwatch(found->second->socket.get());
    links_.erase(found);
}

} // namespace LaburnumFlow::Net
