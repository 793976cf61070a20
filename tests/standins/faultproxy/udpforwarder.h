#pragma once

#include "faults.h"

#include <netinet/in.h>
#include <poll.h>

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace FaultProxy {

/// Forwards datagrams to the target, and answers back to each sender, under the faults in force.
class UdpForwarder
{
public:
    UdpForwarder(int socket, std::uint64_t seed);

    void collect(std::vector<pollfd> &polled) const;
    void process(const Faults &faults);
    Clock::time_point nextDue() const;

private:
    struct Pending {
        Clock::time_point due;
        int socket = -1;
        sockaddr_in to{};
        std::string bytes;
    };

    int upstreamFor(const sockaddr_in &source);
    void schedule(const Faults &faults, int socket, const sockaddr_in &to, std::string bytes);
    void receiveForward(const Faults &faults);
    void receiveBackward(const Faults &faults);

    int socket_;
    std::mt19937_64 random_;
    std::map<std::pair<std::uint32_t, std::uint16_t>, int> upstream_; ///< a socket towards the target for each source
    std::deque<Pending> pending_;
};

} // namespace FaultProxy
