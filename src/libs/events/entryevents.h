#pragma once

#include "base/types.h"
#include "protocol/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace LaburnumFlow::Events {

/// Identifies an open HTTP request within this process.
using RequestId = std::uint64_t;

/// Tells the time. Precedes each batch of events, and comes every tickInterval without one.
struct TimePassed {
    Base::MonoTime mono{};
    Base::WallTime wall{};
};

// ---- callers ----

struct JobSubmitted {
    RequestId request = 0;
    std::optional<Base::Uuid> submission; ///< id in the Idempotency-Key header; nothing if the request has none
    Protocol::JobBody body;
};

struct JobStatusRequested {
    RequestId request = 0;
    std::string team;
    Base::Uuid submission;
    std::string orderingKey;
};

struct JobCancelRequested {
    RequestId request = 0;
    std::string team;
    Base::Uuid submission;
    std::string orderingKey;
};

/// The caller closed its connection. The job goes on, since the caller may resubmit it.
struct RequestAbandoned {
    RequestId request = 0;
};

// ---- operators ----

struct StatusRequested {
    RequestId request = 0;
};

struct DrainRequested {
};

struct ConfirmDeadRequested {
    RequestId request = 0;
    std::string entry;
};

struct SettingsStatusRequested {
    RequestId request = 0;
};

// ---- network ----

struct DatagramReceived {
    Base::Endpoint from;
    Protocol::Datagram datagram;
};

struct PeerLinkChanged {
    Base::ProcessId peer;
    bool up = false;
};

struct PeerMessageReceived {
    Base::ProcessId peer;
    Protocol::PeerMessage message;
};

struct AgentLinkChanged {
    Base::ProcessId agent;
    bool up = false;
};

struct AgentReplyReceived {
    Base::ProcessId agent;
    Protocol::AgentReply reply;
};

// ---- store ----

/// Result of the ReadMap effect.
struct MapRead {
    Base::MonoTime sentAt{}; ///< when the call to the store was started
    bool ok = false; ///< false if the call failed or the stored map is malformed
    std::optional<Protocol::PartitionMap> map; ///< nothing if the store holds no map
    std::int64_t modRevision = 0;
};

/// Outcome of a compare-and-swap of the partition map.
enum class SwapOutcome : std::uint8_t {
    Written,
    Conflict, ///< the store holds another map; a MapRead with it follows
    Refused, ///< the store refused the write, which has not taken effect
    Unknown, ///< no response came; the write may have taken effect
};

/// Result of the WriteMap effect.
struct MapWritten {
    Base::MonoTime sentAt{}; ///< when the call to the store was started
    SwapOutcome outcome = SwapOutcome::Unknown;
    Protocol::PartitionMap map; ///< map of the WriteMap effect
    std::int64_t modRevision = 0; ///< store revision of the map, if it was written
};

/// Settings subtrees that were read from the store or reported by its watch.
struct SettingsRead {
    std::vector<Protocol::SettingsSubtree> subtrees;
};

using Event = std::variant<TimePassed,
                           JobSubmitted,
                           JobStatusRequested,
                           JobCancelRequested,
                           RequestAbandoned,
                           StatusRequested,
                           DrainRequested,
                           ConfirmDeadRequested,
                           SettingsStatusRequested,
                           DatagramReceived,
                           PeerLinkChanged,
                           PeerMessageReceived,
                           AgentLinkChanged,
                           AgentReplyReceived,
                           MapRead,
                           MapWritten,
                           SettingsRead>;

} // namespace LaburnumFlow::Events
