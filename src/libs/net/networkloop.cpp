#include "networkloop.h"

#include "base/timerservice.h"
#include "protocol/codec.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace LaburnumFlow::Net::Internal {

namespace {

// Values of epoll_event.data. The ids of links are higher, from firstLink.
constexpr std::uint64_t wakeData = 0;
constexpr std::uint64_t listenData = 1;
constexpr std::uint64_t datagramData = 2;
constexpr LinkId firstLink = 16;

int toMilliseconds(Base::Duration duration)
{
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(std::max(duration, Base::Duration(0))).count());
}

} // namespace

NetworkLoop::Counters::Counters(Base::CounterRegistry &registry)
    : accepted(registry.counter("net.links.accepted"))
    , opened(registry.counter("net.links.opened"))
    , openFailed(registry.counter("net.links.open-failed"))
    , silent(registry.counter("net.links.quiet"))
    , malformed(registry.counter("net.links.malformed"))
    , oversized(registry.counter("net.links.oversized"))
    , overflow(registry.counter("net.links.overflow"))
    , wrongPeer(registry.counter("net.links.wrong-peer"))
    , messagesSent(registry.counter("net.messages.sent"))
    , messagesReceived(registry.counter("net.messages.received"))
    , messagesDropped(registry.counter("net.messages.dropped"))
    , datagramsSent(registry.counter("net.datagrams.sent"))
    , datagramsReceived(registry.counter("net.datagrams.received"))
    , datagramsDropped(registry.counter("net.datagrams.dropped"))
    , datagramsMalformed(registry.counter("net.datagrams.malformed"))
{
}

NetworkLoop::NetworkLoop(const NetworkConfig &config, NetworkHandler &handler, Base::CounterRegistry &counters, BoundSockets sockets)
    : config_(config)
    , handler_(handler)
    , counters_(counters)
    , sockets_(std::move(sockets))
    , epoll_(epoll_create1(EPOLL_CLOEXEC))
    , wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , random_(config.seed)
    , nextLink_(firstLink)
    , readBuffer_(maxBytesPerRead)
{
    watch(wake_.get(), wakeData, EPOLLIN, EPOLL_CTL_ADD);
    watch(sockets_.tcp.get(), listenData, EPOLLIN, EPOLL_CTL_ADD);
    watch(sockets_.udp.get(), datagramData, EPOLLIN, EPOLL_CTL_ADD);
}

void NetworkLoop::watch(int fd, std::uint64_t data, std::uint32_t events, int operation) const
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = data;
    epoll_ctl(epoll_.get(), operation, fd, &event);
}

void NetworkLoop::post(Command command)
{
    bool first = false;
    {
        const std::lock_guard lock(mutex_);
        first = commands_.empty();
        commands_.push_back(std::move(command));
    }
    if (first) {
        eventfd_write(wake_.get(), 1);
    }
}

void NetworkLoop::requestStop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    eventfd_write(wake_.get(), 1);
}

void NetworkLoop::run()
{
    now_ = Base::monoNow();
    lastLinkCheck_ = now_;
    bool running = true;
    while (running) {
        const int events = waitAndHandleEvents();
        running = executeCommands();
        flushPendingLinks();
        // If the process was suspended, links look silent until the data that has arrived meanwhile is read. So links are
        // only checked when epoll has reported all events.
        if (now_ - lastLinkCheck_ >= linkCheckInterval && events < maxEvents) {
            checkLinks();
        }
    }
    drainAndClose();
}

int NetworkLoop::waitAndHandleEvents()
{
    std::array<epoll_event, maxEvents> events{};
    const Base::Duration untilCheck = linkCheckInterval - (Base::monoNow() - lastLinkCheck_);
    const int count = epoll_wait(epoll_.get(), events.data(), maxEvents, toMilliseconds(untilCheck));
    now_ = Base::monoNow();
    for (int i = 0; i < count; ++i) {
        const epoll_event &event = events[static_cast<std::size_t>(i)];
        handleEvent(event.data.u64, event.events);
    }
    return count;
}

void NetworkLoop::handleEvent(std::uint64_t data, std::uint32_t events)
{
    if (data == wakeData) {
        eventfd_t ignored = 0;
        eventfd_read(wake_.get(), &ignored);
        return;
    }
    if (data == listenData) {
        acceptLinks();
        return;
    }
    if (data == datagramData) {
        receiveDatagrams();
        return;
    }
    const auto found = links_.find(data);
    if (found != links_.end()) {
        handleLinkEvent(*found->second, events);
    }
}

void NetworkLoop::handleLinkEvent(Link &link, std::uint32_t events)
{
    const LinkId id = link.id();
    if (link.phase == LinkPhase::Connecting) {
        if (takeSocketError(link.fd()) != 0) {
            closeLink(id);
            return;
        }
        link.phase = LinkPhase::AwaitingHello;
        link.lastReceivedAt = now_;
    }
    if ((events & EPOLLOUT) != 0) {
        flushLink(link);
    }
    if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0 && links_.contains(id)) {
        readLink(link);
    }
}

bool NetworkLoop::executeCommands()
{
    std::vector<Command> commands;
    bool running = true;
    {
        const std::lock_guard lock(mutex_);
        commands.swap(commands_);
        running = !stopping_;
    }
    for (Command &command : commands) {
        std::visit([this](auto &concrete) { handle(concrete); }, command);
    }
    return running;
}

void NetworkLoop::acceptLinks()
{
    while (true) {
        FileDescriptor socketFd(accept4(sockets_.tcp.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!socketFd.valid()) {
            if (errno == EMFILE || errno == ENFILE) {
                watch(sockets_.tcp.get(), listenData, 0, EPOLL_CTL_MOD);
                listenPaused_ = true;
            }
            return;
        }
        setNoDelay(socketFd.get());
        counters_.accepted.add();
        Link &link = addLink(std::move(socketFd), LinkPhase::AwaitingHello);
        sendHello(link);
    }
}

void NetworkLoop::receiveDatagrams()
{
    std::array<std::uint8_t, 65'536> buffer; // NOLINT(*-member-init): filled by recvfrom
    for (int i = 0; i < maxDatagramsPerRound; ++i) {
        Address from;
        const ssize_t size = recvfrom(sockets_.udp.get(), buffer.data(), buffer.size(), 0, from.get(), &from.length);
        if (size < 0) {
            return;
        }
        auto decoded = Protocol::decodeDatagram(std::span(buffer).first(static_cast<std::size_t>(size)));
        if (!decoded) {
            counters_.datagramsMalformed.add();
            continue;
        }
        counters_.datagramsReceived.add();
        handler_.datagram(toEndpoint(from), std::move(*decoded));
    }
}

void NetworkLoop::handle(DatagramCommand &command)
{
    const std::optional<Address> to = toAddress(command.to);
    const std::vector<std::uint8_t> bytes = Protocol::encode(command.datagram);
    const bool sent = to && sendto(sockets_.udp.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL, to->get(), to->length) >= 0;
    (sent ? counters_.datagramsSent : counters_.datagramsDropped).add();
}

void NetworkLoop::handle(SendCommand &command)
{
    const auto found = peers_.find(command.peer);
    if (found == peers_.end() || found->second.upLinks.empty()) {
        counters_.messagesDropped.add();
        return;
    }
    counters_.messagesSent.add();
    queueMessage(*links_.at(found->second.upLinks.back()), command.message);
}

void NetworkLoop::checkLinks()
{
    lastLinkCheck_ = now_;
    if (listenPaused_) {
        watch(sockets_.tcp.get(), listenData, EPOLLIN, EPOLL_CTL_MOD);
        listenPaused_ = false;
    }
    std::vector<LinkId> due;
    for (const auto &[id, link] : links_) {
        if (isSilent(*link) || isIdle(*link)) {
            due.push_back(id);
        }
    }
    for (const LinkId id : due) {
        const auto found = links_.find(id);
        if (found != links_.end()) {
            pingOrClose(*found->second);
        }
    }
    for (auto &[key, peer] : peers_) {
        openIfDue(key, peer);
    }
    flushPendingLinks();
}

bool NetworkLoop::isSilent(const Link &link) const
{
    return now_ - link.lastReceivedAt > config_.linkQuietLimit;
}

bool NetworkLoop::isIdle(const Link &link) const
{
    return link.phase == LinkPhase::Up && now_ - link.lastQueuedAt >= config_.heartbeatInterval;
}

void NetworkLoop::pingOrClose(Link &link)
{
    if (isSilent(link)) {
        counters_.silent.add();
        closeLink(link.id());
        return;
    }
    queueMessage(link, Protocol::LinkPing{});
}

void NetworkLoop::drainAndClose()
{
    now_ = Base::monoNow();
    const Base::MonoTime limit = now_ + config_.flushTimeout;
    const auto hasUnsent = [](const auto &item) { return item.second->phase == LinkPhase::Up && item.second->sendQueue.bytes() > 0; };
    while (now_ < limit && std::any_of(links_.begin(), links_.end(), hasUnsent)) {
        lastLinkCheck_ = now_;
        waitAndHandleEvents();
        executeCommands();
        flushPendingLinks();
    }
    for (const auto &[id, link] : links_) {
        shutdown(link->fd(), SHUT_WR);
    }
    links_.clear();
    sockets_ = {};
}

} // namespace LaburnumFlow::Net::Internal
