#include "udpforwarder.h"

#include "loopback.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace FaultProxy {

namespace {

constexpr std::size_t maxDatagramBytes = 65'536;
constexpr std::size_t maxSources = 256;

} // namespace

UdpForwarder::UdpForwarder(int socket, std::uint64_t seed) : socket_(socket), random_(seed) { }

void UdpForwarder::collect(std::vector<pollfd> &polled) const
{
    polled.push_back({socket_, POLLIN, 0});
    for (const auto &[source, fd] : upstream_) {
        polled.push_back({fd, POLLIN, 0});
    }
}

int UdpForwarder::upstreamFor(const sockaddr_in &source)
{
    const auto key = std::make_pair(source.sin_addr.s_addr, source.sin_port);
    const auto found = upstream_.find(key);
    if (found != upstream_.end()) {
        return found->second;
    }
    if (upstream_.size() >= maxSources) {
        close(upstream_.begin()->second);
        upstream_.erase(upstream_.begin());
    }
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    upstream_.emplace(key, fd);
    return fd;
}

void UdpForwarder::schedule(const Faults &faults, int socket, const sockaddr_in &to, std::string bytes)
{
    std::uniform_real_distribution<double> share(0, 1);
    if (share(random_) < faults.dropDatagrams) {
        return;
    }
    const Clock::time_point due = Clock::now() + faults.delay;
    if (share(random_) < faults.duplicateDatagrams) {
        pending_.push_back({due, socket, to, bytes});
    }
    pending_.push_back({due, socket, to, std::move(bytes)});
}

void UdpForwarder::receiveForward(const Faults &faults)
{
    std::array<char, maxDatagramBytes> buffer{};
    while (true) {
        sockaddr_in source{};
        socklen_t length = sizeof source;
        const ssize_t size = recvfrom(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr *>(&source), &length);
        if (size < 0) {
            return;
        }
        if (!faults.blockForward && faults.targetPort != 0) {
            schedule(faults, upstreamFor(source), loopback(faults.targetPort), std::string(buffer.data(), static_cast<std::size_t>(size)));
        }
    }
}

void UdpForwarder::receiveBackward(const Faults &faults)
{
    std::array<char, maxDatagramBytes> buffer{};
    for (const auto &[source, fd] : upstream_) {
        while (true) {
            const ssize_t size = recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (size < 0) {
                break;
            }
            sockaddr_in to{};
            to.sin_family = AF_INET;
            to.sin_addr.s_addr = source.first;
            to.sin_port = source.second;
            if (!faults.blockBackward) {
                schedule(faults, socket_, to, std::string(buffer.data(), static_cast<std::size_t>(size)));
            }
        }
    }
}

void UdpForwarder::process(const Faults &faults)
{
    receiveForward(faults);
    receiveBackward(faults);
    while (!pending_.empty() && pending_.front().due <= Clock::now()) {
        const Pending &next = pending_.front();
        sendto(next.socket, next.bytes.data(), next.bytes.size(), 0, reinterpret_cast<const sockaddr *>(&next.to), sizeof next.to);
        pending_.pop_front();
    }
}

Clock::time_point UdpForwarder::nextDue() const
{
    return pending_.empty() ? Clock::time_point::max() : pending_.front().due;
}

} // namespace FaultProxy
