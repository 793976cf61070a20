#pragma once

#include "agentevents.h"

#include <functional>
#include <memory>

namespace LaburnumFlow::Agent {

/// The backend server's interface as the agent uses it. Calls return at once; what they lead to arrives as events.
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

/// Talks HTTP to the backend server with libcurl, from one thread named "backend".
/// The callback gets BackendTaskEnded and BackendStatus on that thread.
std::unique_ptr<BackendServer> makeBackendClient(const Base::Endpoint &backend, std::function<void(Event)> post);

} // namespace LaburnumFlow::Agent
