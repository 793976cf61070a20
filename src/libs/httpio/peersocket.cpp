#include "peersocket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>

namespace LaburnumFlow::HttpIo {

bool isClosedByPeer(int fd)
{
    char next = 0;
    const ssize_t received = recv(fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received >= 0) {
        return received == 0;
    }
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

Base::Duration sinceLastArrival(int fd)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return Base::Duration::zero();
    }
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

} // namespace LaburnumFlow::HttpIo
