#pragma once

#include "base/types.h"
#include "protocol/messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// The agent, a process that runs beside a backend server. It announces the backend server to the entries, starts tasks on
/// it and keeps a ledger of the attempts.
namespace LaburnumFlow::Agent {

/// Sets the clocks of the reducer. Comes before each batch of events and at each timer tick.
struct TimePassed {
    Base::MonoTime mono{};
    Base::WallTime wall{};
};

/// The TCP link of an entry process has been established or closed.
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

/// Outcome of a call that starts a task at the backend server. The call lasts as long as the task.
enum class BackendOutcome : std::uint8_t {
    Succeeded,
    Failed, ///< The backend server ran the task and reported a failure
    NotStarted, ///< HTTP status 429 or 503, or no connection: the task has certainly not started
    Stopped, ///< Ended by a DELETE request or because its lease expired
    Lost, ///< The connection broke after the request had been sent: the task may still run
};

struct BackendTaskEnded {
    Base::AttemptKey key;
    BackendOutcome outcome = BackendOutcome::Lost;
    std::string result; ///< JSON text if the task succeeded, the error message if it failed
};

enum class BackendState : std::uint8_t {
    Serving,
    Leaving,
    Unreachable,
};

/// Response to a status call. Unreachable if the call failed or the response was unusable.
struct BackendStatus {
    BackendState state = BackendState::Unreachable;
    std::uint16_t slots = 0; ///< 0 if not reported
    std::vector<std::string> kinds; ///< Kinds that the backend server runs. Empty means all.
};

/// The agent is to stop accepting tasks, and to exit once the running ones have ended.
struct DrainRequested {
};

using Event = std::variant<TimePassed, EntryLinkChanged, EntryRequestReceived, EntryHelloReceived, BackendTaskEnded, BackendStatus, DrainRequested>;

// ---- effects ----

struct SendToEntry {
    std::string entry; ///< Name of the entry
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

/// Limits the processor time of a running task.
struct BackendThrottle {
    Base::AttemptKey key;
    double share = 1.0; ///< Share of a slot's processor time. 1 lifts the limit.
};

/// Asks a running task to save its progress.
struct BackendCheckpoint {
    Base::AttemptKey key;
};

struct QueryBackendStatus {
};

struct Count {
    std::string_view counter; ///< Must refer to static storage
    std::uint64_t increment = 1;
};

struct LogLine {
    std::string event;
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// The agent has drained and its process may end.
struct Exit {
};

using Effect = std::
    variant<SendToEntry, SendHeartbeat, BackendStart, BackendRenew, BackendStop, BackendThrottle, BackendCheckpoint, QueryBackendStatus, Count, LogLine, Exit>;

using Effects = std::vector<Effect>;

} // namespace LaburnumFlow::Agent
