#pragma once

#include "settingsfault.h"

#include "base/types.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace LaburnumFlow::Settings {

/// Endpoint of the platform's store and the shortest lease that it grants.
struct NodeStoreSettings {
    Base::Endpoint endpoint;
    std::uint32_t shortestLeaseMs = 1000;
};

/// An entry that accepts stored jobs.
struct JobEntrySettings {
    Base::Endpoint callers; ///< Listening HTTP endpoint for callers
    Base::Endpoint ready; ///< Listening endpoint of the readiness check
    double remoteFactor = 1.5; ///< Slowdown of a task that runs on another rack than its data or the other tasks of its step
    std::uint32_t finalStateSeconds = 120; ///< How long callers may ask for the final state of a job
    std::uint32_t resubmitDelayMs = 1300; ///< Time after which a caller that got no answer submits the job again
    std::optional<Base::Endpoint> advice; ///< Advice service, which decides the workers that may run a step; none if absent
};

/// The agent of one worker.
struct JobAgentSettings {
    Base::Endpoint registration; ///< Listening endpoint at which the worker registers
    Base::Endpoint worker; ///< HTTP endpoint of the worker
};

/// Settings of laburnumnode.
struct NodeSettings {
    std::string name;
    std::string failureDomain;
    std::uint32_t processorPercent = 100; ///< Share of a core that the process may use, in percent
    Base::Endpoint peers; ///< Listening endpoint for links of other laburnumflow processes
    NodeStoreSettings store;
    std::uint32_t stopSeconds = 6; ///< Time after SIGTERM at which the platform ends the process
    std::optional<double> linkMbps; ///< Bandwidth of the process's network link in Mbit/s; unlimited if absent
    std::optional<Base::Endpoint> metrics; ///< Listening endpoint that serves the metrics; none if absent
    std::uint32_t logLinesPerSecond = 1000; ///< Mean rate limit of log lines; lines above it are dropped and counted
    std::variant<JobEntrySettings, JobAgentSettings> role;
};

/// Parses and checks the settings of laburnumnode. Fails with SettingsFaults, which lists all faults of the text.
boost::leaf::result<NodeSettings> parseNodeSettings(std::string_view yaml);

} // namespace LaburnumFlow::Settings
