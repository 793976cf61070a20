#pragma once

#include "base/counters.h"
#include "base/types.h"
#include "runtime/lifecycle.h"
#include "settings/daemonsettings.h"

#include <boost/leaf.hpp>

#include <memory>

/// Runs the agent: its reducer thread, its network and the client of the backend server.
namespace LaburnumFlow::Agent {

/// Passes network and backend events to the reducer and carries out the effects that it returns.
class AgentRuntime
{
public:
    AgentRuntime(Settings::AgentSettings settings, Base::CounterRegistry &counters, Runtime::Lifecycle lifecycle);

    /// Calls stop().
    ~AgentRuntime();
    AgentRuntime(const AgentRuntime &) = delete;
    AgentRuntime &operator=(const AgentRuntime &) = delete;

    /// Binds the listening address and starts all threads. Fails with Net::BindFailed.
    boost::leaf::result<void> start();
    /// Stops all threads. Does nothing if the runtime is not started.
    void stop();

    /// Begins to drain: queued tasks are refused and running ones finish. Calls Lifecycle::finished when the agent may exit.
    /// Thread-safe.
    void requestDrain();

    /// Returns the bound address. Valid once started.
    Base::Endpoint listen() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace LaburnumFlow::Agent
