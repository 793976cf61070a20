#pragma once

#include "base/types.h"
#include "protocol/messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// The process beside a backend server: announces it, starts tasks on it and keeps the ledger of what it started.
namespace LaburnumFlow::Agent {

struct TimePassed {
    Base::MonoTime mono{};
    Base::WallTime wall{};
};

struct EntryLinkChanged {
    Base::ProcessId entry;
    bool up = false;
};

struct EntryRequestReceived {
    Base::ProcessId entry;
    Protocol::AgentRequest request;
};

struct EntryHelloReceived {
    Base::Endpoint from;
    Protocol::EntryHello hello;
};

/// How a call to start a task at the backend server ended.
enum class BackendOutcome : std::uint8_t {
    Succeeded,
    Failed, ///< the backend server ran the task and reported a failure
    NotStarted, ///< 429, 503 or no connection: certainly not started
    Stopped, ///< ended by DELETE or by its lease
    Lost, ///< the connection broke after the request was sent
};

struct BackendTaskEnded {
    Base::AttemptKey key;
    BackendOutcome outcome = BackendOutcome::Lost;
    std::string result; ///< JSON text, or the error message
};

enum class BackendState : std::uint8_t {
    Serving,
    Leaving,
    Unreachable,
};

struct BackendStatus {
    BackendState state = BackendState::Unreachable;
    std::uint16_t slots = 0;
    std::vector<std::string> kinds; ///< empty means all
};

struct DrainRequested {
};

using Event = std::variant<TimePassed, EntryLinkChanged, EntryRequestReceived, EntryHelloReceived, BackendTaskEnded, BackendStatus, DrainRequested>;

// ---- effects ----

struct SendToEntry {
    std::string entry;
    Protocol::AgentReply reply;
};

struct SendHeartbeat {
    Base::Endpoint to;
    Protocol::AgentHeartbeat heartbeat;
};

struct BackendStart {
    Base::AttemptKey key;
    std::string kind;
    std::string payload;
    std::uint32_t leaseMs = 0;
};

struct BackendRenew {
    Base::AttemptKey key;
    std::uint32_t leaseMs = 0;
};

struct BackendStop {
    Base::AttemptKey key;
};

struct BackendThrottle {
    Base::AttemptKey key;
    double share = 1.0; ///< of a slot's processor time
};

struct BackendCheckpoint {
    Base::AttemptKey key;
};

struct QueryBackendStatus {
};

struct Count {
    std::string_view counter; ///< of static storage
    std::uint64_t increment = 1;
};

struct LogLine {
    std::string event;
    std::vector<std::pair<std::string_view, std::string>> fields;
};

struct Exit {
};

using Effect = std::
    variant<SendToEntry, SendHeartbeat, BackendStart, BackendRenew, BackendStop, BackendThrottle, BackendCheckpoint, QueryBackendStatus, Count, LogLine, Exit>;

using Effects = std::vector<Effect>;

} // namespace LaburnumFlow::Agent
