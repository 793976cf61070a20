#pragma once

#include "entryevents.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace LaburnumFlow::Events {

struct SendDatagram {
    Base::Endpoint to;
    Protocol::Datagram datagram;
};

/// Opens a link unless one to this incarnation is open or being opened.
struct ConnectPeer {
    Base::ProcessId peer;
    Base::Endpoint to;
};

struct SendToPeer {
    std::string peer;
    Protocol::PeerMessage message;
};

struct ConnectAgent {
    Base::ProcessId agent;
    Base::Endpoint to;
};

/// Closes the link, if any.
struct DisconnectAgent {
    std::string agent;
};

struct SendToAgent {
    std::string agent;
    Protocol::AgentRequest request;
};

struct ReadMap {
};

struct WriteMap {
    Protocol::PartitionMap map;
    std::int64_t expectedModRevision = 0;
};

/// Answers a caller. Sent exactly once for each JobSubmitted, unless the request was abandoned.
struct AnswerJob {
    RequestId request = 0;
    Base::Uuid submission;
    Protocol::JobAnswer answer;
};

/// Answers JobStatusRequested and JobCancelRequested.
struct AnswerStatus {
    RequestId request = 0;
    Base::Uuid submission;
    Protocol::JobStatus status;
};

/// Answers operators with rows of name and value, made into JSON by httpapi.
struct StatusRow {
    std::string section; ///< "entry", "agent", "partitions", "settings", "queue"
    std::string name;
    std::vector<std::pair<std::string, std::string>> values;
};

struct AnswerOperator {
    RequestId request = 0;
    std::vector<StatusRow> rows;
};

/// Adds to a counter; names as in docs/operations.md.
struct Count {
    std::string_view counter; ///< of static storage
    std::uint64_t increment = 1;
};

/// One line at info level. Only for changes of state.
struct LogLine {
    std::string event; ///< such as "map-changed"
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// All work is done after a drain; the process may exit.
struct Exit {
};

using Effect = std::variant<SendDatagram,
                            ConnectPeer,
                            SendToPeer,
                            ConnectAgent,
                            DisconnectAgent,
                            SendToAgent,
                            ReadMap,
                            WriteMap,
                            AnswerJob,
                            AnswerStatus,
                            AnswerOperator,
                            Count,
                            LogLine,
                            Exit>;

using Effects = std::vector<Effect>;

} // namespace LaburnumFlow::Events
