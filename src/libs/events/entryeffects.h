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

/// Opens a link to a peer unless one to this incarnation is open or being opened.
struct ConnectPeer {
    Base::ProcessId peer;
    Base::Endpoint to;
};

struct SendToPeer {
    std::string peer;
    Protocol::PeerMessage message;
};

/// Opens a link to an agent unless one to this incarnation is open or being opened.
struct ConnectAgent {
    Base::ProcessId agent;
    Base::Endpoint to;
};

/// Closes the link to the agent, if there is one.
struct DisconnectAgent {
    std::string agent;
};

struct SendToAgent {
    std::string agent;
    Protocol::AgentRequest request;
};

/// Reads the partition map from the store. Its result is a MapRead event.
struct ReadMap {
};

/// Writes the partition map to the store by compare-and-swap. Its result is a MapWritten event.
struct WriteMap {
    Protocol::PartitionMap map;
    std::int64_t expectedModRevision = 0; ///< revision that the stored map must have; 0 if none may exist
};

/// Answers the caller of a job. Emitted exactly once for each JobSubmitted, unless the request was abandoned.
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

/// A row of names and values in an answer to an operator. httpapi converts it to JSON.
struct StatusRow {
    std::string section; ///< "entry", "agent", "partitions", "settings" or "queue"
    std::string name;
    std::vector<std::pair<std::string, std::string>> values;
};

/// Answers StatusRequested, SettingsStatusRequested and ConfirmDeadRequested.
struct AnswerOperator {
    RequestId request = 0;
    std::vector<StatusRow> rows;
};

/// Adds to a counter. docs/operations.md lists the names.
struct Count {
    std::string_view counter; ///< name of the counter, in static storage
    std::uint64_t increment = 1;
};

/// Writes a log line at info level. Used for changes of state only.
struct LogLine {
    std::string event; ///< name of the event, such as "map-changed"
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// Lets the process exit, as all work is done after a drain.
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
