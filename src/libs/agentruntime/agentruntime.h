#pragma once

#include "base/counters.h"
#include "base/types.h"
#include "runtime/lifecycle.h"
#include "settings/daemonsettings.h"

#include <boost/leaf.hpp>

#include <memory>

/// Carries out the effects of the agent's reducer and feeds it with events.
namespace LaburnumFlow::Agent {

class AgentRuntime
{
public:
    AgentRuntime(Settings::AgentSettings settings, Base::CounterRegistry &counters, Runtime::Lifecycle lifecycle);

    /// Calls stop().
    ~AgentRuntime();
    AgentRuntime(const AgentRuntime &) = delete;
    AgentRuntime &operator=(const AgentRuntime &) = delete;

    /// Binds the address and starts all threads. Fails with Net::BindFailed.
    boost::leaf::result<void> start();
    void stop();

    /// Begins to drain; Lifecycle::finished follows once all tasks have ended. Thread-safe.
    void requestDrain();

    /// The bound address, once started.
    Base::Endpoint listen() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace LaburnumFlow::Agent
