#pragma once

#include "base/types.h"
#include "settingsfault.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace LaburnumFlow::Settings {

/// Everything in memory of a single entry; lost with it. For trying the program out.
struct EmbeddedStoreSettings {
    std::string rootYaml; ///< root defaults, may be empty
    std::map<std::string, std::string> teamYaml; ///< the settings that each team starts with
};

/// The platform's key-value service over etcd's JSON-over-HTTP form.
struct EtcdStoreSettings {
    Base::Endpoint endpoint;
    std::uint32_t callDeadlineMs = 1000;
    std::uint32_t readsPerSecond = 50; ///< this process's share of the fleet's budget
    std::uint32_t writesPerSecond = 10;
};

using StoreSettings = std::variant<EmbeddedStoreSettings, EtcdStoreSettings>;

struct LogSettings {
    std::string level = "info"; ///< "error", "warn", "info" or "debug"
    std::string file; ///< empty means standard error
};

struct EntrySettings {
    std::string name;
    std::string failureDomain;
    Base::Endpoint http; ///< port 0 lets the kernel choose; so for all listening endpoints
    Base::Endpoint peer; ///< TCP and UDP
    Base::Endpoint advertisedPeer; ///< what others use; as peer unless given
    std::vector<Base::Endpoint> entries; ///< peer endpoints of other entries to start from
    StoreSettings store = EmbeddedStoreSettings{};
    std::string placement = "expected-wait"; ///< or "random", "round-robin", "power-of-two"
    std::uint64_t seed = 0; ///< 0 takes one from the system
    LogSettings log;
};

struct AgentSettings {
    std::string name;
    std::string worker;
    std::string failureDomain;
    Base::Endpoint listen; ///< TCP and UDP
    Base::Endpoint advertised; ///< what entries use; as listen unless given
    std::vector<Base::Endpoint> entries; ///< peer endpoints to announce to
    Base::Endpoint backend; ///< the backend server's HTTP interface
    std::uint16_t slots = 8;
    std::uint16_t reservedShortSlots = 2; ///< kept free of long tasks
    std::uint64_t seed = 0;
    LogSettings log;
};

using DaemonSettings = std::variant<EntrySettings, AgentSettings>;

/// Parses and checks a daemon's settings file. Fails with SettingsFaults, which names every fault at once.
boost::leaf::result<DaemonSettings> parseDaemonSettings(std::string_view yaml);

} // namespace LaburnumFlow::Settings
