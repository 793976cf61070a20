#pragma once

#include "storestate.h"

#include <cstdint>

struct MHD_Daemon;

namespace LaburnumFlow::StoreStandIn {

/// Serves the store on the loopback address, with a thread per connection.
class StoreServer
{
public:
    /// Port 0 lets the kernel choose.
    explicit StoreServer(std::uint16_t port);
    ~StoreServer();
    StoreServer(const StoreServer &) = delete;
    StoreServer &operator=(const StoreServer &) = delete;

    /// 0 if the server could not be started.
    std::uint16_t port() const;

private:
    StoreState state_;
    MHD_Daemon *daemon_ = nullptr;
};

} // namespace LaburnumFlow::StoreStandIn
