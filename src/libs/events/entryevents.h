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

/// Number of an open HTTP request of this process.
using RequestId = std::uint64_t;

/// Sent before each batch of events and every tickInterval.
struct TimePassed {
    Base::MonoTime mono{};
    Base::WallTime wall{};
};

// ---- callers ----

struct JobSubmitted {
    RequestId request = 0;
    std::optional<Base::Uuid> submission; ///< from Idempotency-Key
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

/// The caller closed its connection; the job goes on, since the caller may resubmit.
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

/// Answer to the ReadMap effect.
struct MapRead {
    Base::MonoTime sentAt{}; ///< when the call was made
    bool ok = false; ///< false if the store did not answer in time
    std::optional<Protocol::PartitionMap> map; ///< nothing if the key does not exist
    std::int64_t modRevision = 0;
};

enum class SwapOutcome : std::uint8_t {
    Written,
    Conflict, ///< another map stands; a MapRead with it follows
    Refused, ///< took no effect
    Unknown, ///< may have taken effect
};

/// Answer to the WriteMap effect.
struct MapWritten {
    Base::MonoTime sentAt{};
    SwapOutcome outcome = SwapOutcome::Unknown;
    Protocol::PartitionMap map;
    std::int64_t modRevision = 0; ///< if Written
};

/// Settings subtrees read or watched at the store, already taken out of their JSON form.
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
