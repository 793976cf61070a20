#include "tcpforwarder.h"

#include "loopback.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace FaultProxy {

namespace {

constexpr std::size_t readBytes = 65'536;
constexpr std::size_t maxQueuedPieces = 1'024;
constexpr std::size_t limitedReadBytes = 4'096; ///< pieces of connections that share a limited link, which takes turns between them
constexpr std::size_t limitedWindowBytes = 65'536; ///< that a connection may have under way on a limited link

void setNonBlocking(int fd)
{
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

void setNoDelay(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

TcpForwarder::TcpForwarder(int listener) : listener_(listener)
{
    setNonBlocking(listener_);
}

void TcpForwarder::collect(std::vector<pollfd> &polled) const
{
    polled.push_back({listener_, POLLIN, 0});
    for (const Connection &connection : connections_) {
        for (const Direction *direction : {&connection.forward, &connection.backward}) {
            if (!direction->ended && !isFull(*direction, bytesPerSecond_)) {
                polled.push_back({direction->from, POLLIN, 0});
            }
        }
    }
}

void TcpForwarder::acceptAll(const Faults &faults)
{
    while (true) {
        const int client = accept(listener_, nullptr, nullptr);
        if (client < 0) {
            return;
        }
        const int server = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in target = loopback(faults.targetPort);
        const bool wanted = !faults.refuseNew && faults.targetPort != 0;
        const bool connected = wanted && connect(server, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0;
        if (!connected) {
            close(server);
            close(client);
            continue;
        }
        for (const int fd : {client, server}) {
            setNonBlocking(fd);
            setNoDelay(fd);
        }
        Connection connection;
        connection.forward.from = client;
        connection.forward.to = server;
        connection.backward.from = server;
        connection.backward.to = client;
        connection.silenceGeneration = faults.silenceGeneration;
        connection.cutGeneration = faults.cutGeneration;
        connections_.push_back(std::move(connection));
    }
}

bool TcpForwarder::isFull(const Direction &direction, std::size_t bytesPerSecond)
{
    return direction.queue.size() >= maxQueuedPieces || (bytesPerSecond > 0 && direction.queuedBytes >= limitedWindowBytes);
}

/// Returns when the bytes that were read now have crossed the link.
Clock::time_point TcpForwarder::dueAt(Link &link, std::size_t bytes, const Faults &faults)
{
    const Clock::time_point now = Clock::now();
    if (faults.bytesPerSecond == 0) {
        return now + faults.delay;
    }
    const std::chrono::duration<double> transmission(static_cast<double>(bytes) / static_cast<double>(faults.bytesPerSecond));
    link.freeAt = std::max(link.freeAt, now) + std::chrono::duration_cast<Clock::duration>(transmission);
    return link.freeAt + faults.delay;
}

void TcpForwarder::readAll(Connection &connection, Direction &direction, Link &link, const Faults &faults, bool discard)
{
    std::array<char, readBytes> buffer{};
    const std::size_t wanted = faults.bytesPerSecond > 0 ? limitedReadBytes : buffer.size();
    while (!direction.ended && !isFull(direction, faults.bytesPerSecond)) {
        const ssize_t size = recv(direction.from, buffer.data(), wanted, 0);
        if (size > 0) {
            const auto bytes = static_cast<std::size_t>(size);
            if (!discard) {
                direction.queue.push_back({dueAt(link, bytes, faults), std::string(buffer.data(), bytes)});
                direction.queuedBytes += bytes;
            }
            continue;
        }
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        direction.ended = true;
        connection.broken = connection.broken || size < 0;
    }
}

void TcpForwarder::writeDue(Connection &connection, Direction &direction, bool hold)
{
    while (!hold && !direction.queue.empty() && direction.queue.front().due <= Clock::now()) {
        std::string &bytes = direction.queue.front().bytes;
        const ssize_t size = send(direction.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size < 0) {
            connection.broken = connection.broken || (errno != EAGAIN && errno != EINTR);
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(size));
        direction.queuedBytes -= static_cast<std::size_t>(size);
        if (bytes.empty()) {
            direction.queue.pop_front();
        }
    }
    if (direction.ended && direction.queue.empty() && !direction.shut && !hold) {
        shutdown(direction.to, SHUT_WR);
        direction.shut = true;
    }
}

void TcpForwarder::process(const Faults &faults)
{
    bytesPerSecond_ = faults.bytesPerSecond;
    acceptAll(faults);
    for (auto it = connections_.begin(); it != connections_.end();) {
        Connection &connection = *it;
        const bool silent = connection.silenceGeneration < faults.silenceGeneration;
        // A silent connection swallows what is sent, as a router does that has lost track of it.
        readAll(connection, connection.forward, forwardLink_, faults, silent || faults.blockForward);
        readAll(connection, connection.backward, backwardLink_, faults, silent || faults.blockBackward);
        writeDue(connection, connection.forward, silent);
        writeDue(connection, connection.backward, silent);
        const bool over = connection.forward.shut && connection.backward.shut;
        if (over || connection.broken || connection.cutGeneration < faults.cutGeneration) {
            close(connection.forward.from);
            close(connection.forward.to);
            it = connections_.erase(it);
        } else {
            ++it;
        }
    }
}

Clock::time_point TcpForwarder::nextDue() const
{
    Clock::time_point next = Clock::time_point::max();
    for (const Connection &connection : connections_) {
        for (const Direction *direction : {&connection.forward, &connection.backward}) {
            if (!direction->queue.empty()) {
                next = std::min(next, direction->queue.front().due);
            }
        }
    }
    return next;
}

} // namespace FaultProxy
