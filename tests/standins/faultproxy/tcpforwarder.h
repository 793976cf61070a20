#pragma once

#include "faults.h"

#include <poll.h>

#include <cstddef>
#include <list>
#include <vector>

namespace FaultProxy {

/// Forwards TCP connections to the target under the faults in force.
class TcpForwarder
{
public:
    explicit TcpForwarder(int listener);

    /// Adds what is to be polled.
    void collect(std::vector<pollfd> &polled) const;

    /// Accepts, reads and writes whatever is possible now.
    void process(const Faults &faults);

    /// When the next delayed piece is due.
    Clock::time_point nextDue() const;

private:
    struct Direction {
        int from = -1;
        int to = -1;
        DelayQueue queue;
        std::size_t queuedBytes = 0;
        bool ended = false; ///< the sender has closed its side
        bool shut = false; ///< the end was passed on
    };

    struct Connection {
        Direction forward;
        Direction backward;
        std::uint64_t silenceGeneration = 0;
        std::uint64_t cutGeneration = 0;
        bool broken = false;
    };

    /// One direction of the link that all connections share.
    struct Link {
        Clock::time_point freeAt{}; ///< when it has carried all bytes that were read so far
    };

    void acceptAll(const Faults &faults);
    static void readAll(Connection &connection, Direction &direction, Link &link, const Faults &faults, bool discard);
    static Clock::time_point dueAt(Link &link, std::size_t bytes, const Faults &faults);
    static bool isFull(const Direction &direction, std::size_t bytesPerSecond);
    static void writeDue(Connection &connection, Direction &direction, bool hold);

    int listener_;
    std::list<Connection> connections_;
    Link forwardLink_;
    Link backwardLink_;
    std::size_t bytesPerSecond_ = 0; ///< of the faults that were in force last
};

} // namespace FaultProxy
