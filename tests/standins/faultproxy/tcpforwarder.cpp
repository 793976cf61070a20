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
            if (!direction->ended && direction->queue.size() < maxQueuedPieces) {
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

void TcpForwarder::readAll(Connection &connection, Direction &direction, const Faults &faults, bool discard)
{
    std::array<char, readBytes> buffer{};
    while (!direction.ended && direction.queue.size() < maxQueuedPieces) {
        const ssize_t size = recv(direction.from, buffer.data(), buffer.size(), 0);
        if (size > 0) {
            if (!discard) {
                direction.queue.push_back({Clock::now() + faults.delay, std::string(buffer.data(), static_cast<std::size_t>(size))});
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
    acceptAll(faults);
    for (auto it = connections_.begin(); it != connections_.end();) {
        Connection &connection = *it;
        const bool silent = connection.silenceGeneration < faults.silenceGeneration;
        // A silent connection swallows what is sent, as a router does that has lost track of it.
        readAll(connection, connection.forward, faults, silent || faults.blockForward);
        readAll(connection, connection.backward, faults, silent || faults.blockBackward);
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
