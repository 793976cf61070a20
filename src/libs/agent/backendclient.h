#pragma once

#include "agentevents.h"

#include "base/counters.h"

#include <functional>
#include <memory>

namespace LaburnumFlow::Agent {

/// Interface to the backend server. All functions return at once; the outcomes arrive as events.
class BackendServer
{
public:
    virtual ~BackendServer() = default;
    virtual void start(const BackendStart &effect) = 0;
    virtual void renew(const BackendRenew &effect) = 0;
    virtual void stop(const BackendStop &effect) = 0;
    virtual void throttle(const BackendThrottle &effect) = 0;
    virtual void checkpoint(const BackendCheckpoint &effect) = 0;
    virtual void queryStatus() = 0;
};

/// Returns a client that calls the backend server over HTTP, using libcurl on a thread of its own named "backend".
/// The callback receives BackendTaskEnded and BackendStatus on that thread. Second sendings of calls whose connection breaks before the response are counted as
/// "backend.second-sending.sent" and "backend.second-sending.prevented" in \a counters, which must outlive the client.
std::unique_ptr<BackendServer> makeBackendClient(const Base::Endpoint &backend, Base::CounterRegistry &counters, std::function<void(Event)> post);

} // namespace LaburnumFlow::Agent
