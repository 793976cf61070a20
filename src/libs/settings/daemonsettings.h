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

/// A store in the memory of a single entry, whose content is lost when the entry ends. For evaluation.
struct EmbeddedStoreSettings {
    std::string rootYaml; ///< Text of the root settings; may be empty
    std::map<std::string, std::string> teamYaml; ///< Initial settings text by team
};

/// The platform's key-value service, accessed by etcd's v3 JSON API.
struct EtcdStoreSettings {
    Base::Endpoint endpoint;
    std::uint32_t callDeadlineMs = 1000;
    std::uint32_t readsPerSecond = 50; ///< Share of this process in the fleet's budget of store reads
    std::uint32_t writesPerSecond = 10; ///< Share of this process in the fleet's budget of store writes
};

using StoreSettings = std::variant<EmbeddedStoreSettings, EtcdStoreSettings>;

struct LogSettings {
    std::string level = "info"; ///< "error", "warn", "info" or "debug"
    std::string file; ///< Path of the log file; empty means standard error
};

struct EntrySettings {
    std::string name;
    std::string failureDomain;
    Base::Endpoint http; ///< Listening endpoint; port 0 lets the kernel choose a port, as for all listening endpoints
    Base::Endpoint peer; ///< Listening endpoint for TCP and UDP
    Base::Endpoint advertisedPeer; ///< Endpoint that others connect to; defaults to peer
    std::vector<Base::Endpoint> entries; ///< Peer endpoints of other entries to contact at start
    StoreSettings store = EmbeddedStoreSettings{};
    std::string placement = "expected-wait"; ///< "expected-wait", "random", "round-robin" or "power-of-two"
    std::uint64_t seed = 0; ///< Seed of random choices; 0 takes one from the system
    LogSettings log;
};

struct AgentSettings {
    std::string name;
    std::string worker;
    std::string failureDomain;
    Base::Endpoint listen; ///< Listening endpoint for TCP and UDP
    Base::Endpoint advertised; ///< Endpoint that entries connect to; defaults to listen
    std::vector<Base::Endpoint> entries; ///< Peer endpoints of the entries to which the agent announces itself
    Base::Endpoint backend; ///< HTTP endpoint of the backend server
    std::uint16_t slots = 8;
    std::uint16_t reservedShortSlots = 2; ///< Slots that long tasks may not use
    std::uint64_t seed = 0;
    LogSettings log;
};

using DaemonSettings = std::variant<EntrySettings, AgentSettings>;

/// Parses and checks a daemon's settings file. Fails with SettingsFaults, which lists all faults of the text.
boost::leaf::result<DaemonSettings> parseDaemonSettings(std::string_view yaml);

} // namespace LaburnumFlow::Settings
