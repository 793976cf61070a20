#pragma once

#include "base/types.h"

namespace LaburnumFlow::HttpIo {

/// Returns whether the peer of a connected TCP socket has closed the connection, or has said that it sends no more. False while bytes of the peer are unread.
bool isClosedByPeer(int fd);

/// Returns how long ago the last bytes of the peer arrived, whether they have been read or not; zero if the system doesn't tell.
Base::Duration sinceLastArrival(int fd);

} // namespace LaburnumFlow::HttpIo
