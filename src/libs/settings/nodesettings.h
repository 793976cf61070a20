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

/// Where the platform's store is, and the shortest lease that it grants.
struct NodeStoreSettings {
    Base::Endpoint endpoint;
    std::uint32_t shortestLeaseMs = 1000;
};

/// An entry that takes stored jobs.
struct JobEntrySettings {
    Base::Endpoint callers; ///< callers' HTTP interface
    Base::Endpoint ready; ///< answers whether new connections are welcome
    std::optional<Base::Endpoint> advice; ///< the service that says which workers may run a step; none if absent
};

/// The process beside a worker.
struct JobAgentSettings {
    Base::Endpoint registration; ///< where the worker announces itself
    Base::Endpoint worker; ///< the worker's own interface
};

/// Settings of laburnumnode.
struct NodeSettings {
    std::string name;
    std::string failureDomain;
    std::uint32_t processorPercent = 100; ///< share of a core that the process may use
    Base::Endpoint peers; ///< listens for links of other laburnumflow processes
    NodeStoreSettings store;
    std::optional<Base::Endpoint> metrics; ///< serves counters and histograms; none if absent
    std::uint32_t logLinesPerSecond = 1000; ///< on average; further lines are dropped and counted
    std::variant<JobEntrySettings, JobAgentSettings> role;
};

/// Parses and checks the settings of laburnumnode. Fails with SettingsFaults, which names every fault at once.
boost::leaf::result<NodeSettings> parseNodeSettings(std::string_view yaml);

} // namespace LaburnumFlow::Settings
