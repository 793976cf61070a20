#pragma once

#include "job.h"
#include "membership.h"

#include <cereal/types/map.hpp>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Messages between the processes of laburnumflow, serialized by codec.h.
namespace LaburnumFlow::Protocol {

/// Revision of each settings subtree by team; the empty name is the root.
using RevisionMap = std::map<std::string, std::uint64_t>;

// ---- UDP ----

/// Sent by an entry to each other entry every heartbeatInterval.
struct EntryHeartbeat {
    EntryRecord from;
    Epoch mapEpoch = 0;
    std::uint64_t settingsDigest = 0; ///< xxhash64 over the revision map
    std::int64_t sentMonoUs = 0; ///< steady clock of the sender at sending, in microseconds
    std::string to; ///< name of the receiving entry; empty if the sender doesn't know it
    std::uint64_t echoIncarnation = 0; ///< incarnation of the receiver whose clock echoMonoUs is
    std::int64_t echoMonoUs = 0; ///< newest sentMonoUs that the sender has received from the receiver; 0 if none
    bool leaving = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, mapEpoch, settingsDigest, sentMonoUs, to, echoIncarnation, echoMonoUs, leaving);
    }
};

/// Sent by an agent to each entry that it knows, every heartbeatInterval and at once when its state changes.
struct AgentHeartbeat {
    Base::ProcessId from;
    Base::Endpoint tcp; ///< endpoint for links of entries
    Base::Endpoint udp; ///< endpoint for EntryHello
    std::string failureDomain;
    std::string worker;
    std::vector<std::string> kinds; ///< kinds that the backend server runs; empty means all
    ClockToken token;
    AgentState state = AgentState::Active;
    AgentLoad load;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, tcp, udp, failureDomain, worker, kinds, token, state, load);
    }
};

/// Sent by an entry to an agent in reply to each AgentHeartbeat. Renews the leases of the entry's tasks.
struct EntryHello {
    Base::ProcessId from;
    Epoch mapEpoch = 0;
    ClockToken echo; ///< newest token of the agent that the entry may echo
    std::vector<Base::Endpoint> entries; ///< peer endpoints of all entries of the map

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, mapEpoch, echo, entries);
    }
};

using Datagram = std::variant<EntryHeartbeat, AgentHeartbeat, EntryHello>;

// ---- TCP, entry to entry ----

/// Relays a job to the owner of its partition. The relaying entry keeps the body until the answer arrives.
struct RelayJob {
    std::uint64_t request = 0; ///< request id of the relaying entry, returned with the answer
    Base::Uuid submission;
    JobBody body;
    std::uint32_t remainingMs = 0; ///< until the job's deadline
    bool resubmitted = false; ///< the relaying entry has relayed the job before, to a former owner

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, submission, body, remainingMs, resubmitted);
    }
};

/// Answers RelayJob.
struct RelayAnswer {
    std::uint64_t request = 0;
    Base::Uuid submission;
    JobAnswer answer;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, submission, answer);
    }
};

struct RelayCancel {
    std::uint64_t request = 0;
    std::string team;
    Base::Uuid submission;
    std::string orderingKey;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, team, submission, orderingKey);
    }
};

struct RelayStatus {
    std::uint64_t request = 0;
    std::string team;
    Base::Uuid submission;
    std::string orderingKey;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, team, submission, orderingKey);
    }
};

/// Answers RelayCancel and RelayStatus.
struct RelayStatusAnswer {
    std::uint64_t request = 0;
    JobStatus status;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, status);
    }
};

/// Tells a peer the sender's partition map.
struct MapAnnounce {
    PartitionMap map;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(map);
    }
};

/// Acknowledges that the sender has adopted the map of this epoch and no longer acts on an older one.
struct MapAck {
    Base::ProcessId from;
    Base::Endpoint peer; ///< peer endpoint of the sender
    Epoch epoch = 0;
    std::vector<std::string> agents; ///< names of the agents that the sender knows; it may have started tasks there as a former owner

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, peer, epoch, agents);
    }
};

/// Requests all subtrees whose revision is higher than the sender's.
struct SettingsFetch {
    RevisionMap known;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(known);
    }
};

struct SettingsSubtree {
    std::string team; ///< empty for the root defaults
    std::uint64_t revision = 0;
    std::string changeId;
    std::string yaml;

    bool operator==(const SettingsSubtree &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(team, revision, changeId, yaml);
    }
};

struct SettingsContents {
    std::vector<SettingsSubtree> subtrees;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(subtrees);
    }
};

/// Tells the sender's active revisions. Sent after each change, when a link comes up, and in reply to SettingsContents.
struct SettingsAck {
    Base::ProcessId from;
    RevisionMap activeRevisions;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, activeRevisions);
    }
};

/// State of an attempt, in updates and in the records that agents and owners keep.
enum class AttemptState : std::uint8_t {
    Queued, ///< accepted by the agent but not yet sent to the backend server
    Running,
    Succeeded,
    Failed, ///< the backend server ran it and reported a failure
    Refused, ///< not run, and never will be with this attempt number
    Stopped, ///< stopped while it ran: cancelled, its lease expired, or its run time limit exceeded
    Lost, ///< was started, but whether it ran to its end can't be known
};

std::string_view toString(AttemptState state);

/// Why an agent refused or stopped an attempt. Each reason has a counter "agent.refused.NAME" or "agent.stopped.NAME".
enum class AgentReason : std::uint8_t {
    None,
    EpochTooLow,
    TokenTooOld,
    SettingsTooOld,
    QueueFull,
    Draining,
    Fenced, ///< QueryAttempts or CancelTasks arrived before the start
    KindUnknown,
    BackendBusy, ///< the backend server reported that it did not start the task
    BackendUnreachable,
    BackendError,
    BackendLost, ///< the connection to the backend server broke after the task was sent
    Cancelled,
    LeaseEnded,
    RunTimeLimit,
    DeadlinePast,
    Duplicate, ///< another attempt of the same task is queued or running here
};

std::string_view toString(AgentReason reason);

/// State of an attempt, as reported by its agent.
struct TaskUpdate {
    Base::AttemptKey key;
    AttemptState state = AttemptState::Queued;
    AgentReason reason = AgentReason::None;
    std::uint32_t runMs = 0; ///< run time on the backend server, once the attempt has ended
    std::string result; ///< JSON text if Succeeded, the backend server's message if Failed

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, state, reason, runMs, result);
    }
};

/// An agent's record of an attempt, sent to the new owner during a takeover.
struct AttemptRecord {
    TaskUpdate update;
    Partition partition = 0;
    std::uint64_t bodyDigest = 0;
    std::string team;
    std::string kind;
    bool idempotent = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(update, partition, bodyDigest, team, kind, idempotent);
    }
};

/// An owner's record of a submission, sent to the new owner in a handover.
struct LedgerRecord {
    Base::Uuid submission;
    Partition partition = 0;
    JobBody body; ///< tasks are empty once the job has ended
    std::uint64_t bodyDigest = 0;
    std::uint32_t remainingMs = 0;
    JobStatus status;
    std::vector<TaskUpdate> attempts; ///< the newest attempt of each started task
    std::vector<std::string> agents; ///< names of the agents, in the order of attempts

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(submission, partition, body, bodyDigest, remainingMs, status, attempts, agents);
    }
};

/// Hands the ledger of partitions over to their new owner, in one or more messages.
struct LedgerHandover {
    Base::ProcessId from;
    Epoch epoch = 0; ///< epoch of the map that names the new owner
    std::vector<Partition> partitions; ///< all partitions handed over to the receiver
    std::vector<LedgerRecord> records;
    bool last = true; ///< false if more messages follow

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, epoch, partitions, records, last);
    }
};

/// Acknowledges a complete LedgerHandover.
struct HandoverAck {
    Base::ProcessId from;
    Epoch epoch = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, epoch);
    }
};

using PeerMessage = std::variant<RelayJob,
                                 RelayAnswer,
                                 RelayCancel,
                                 RelayStatus,
                                 RelayStatusAnswer,
                                 MapAnnounce,
                                 MapAck,
                                 SettingsFetch,
                                 SettingsContents,
                                 SettingsAck,
                                 LedgerHandover,
                                 HandoverAck>;

// ---- TCP, entry to agent ----

struct StartTask {
    Base::AttemptKey key;
    Partition partition = 0;
    std::uint64_t bodyDigest = 0;
    std::string team;
    std::string kind;
    std::string payload;
    std::uint64_t settingsRevision = 0; ///< active revision of the team's subtree
    std::uint64_t rootRevision = 0; ///< active revision of the root subtree
    bool idempotent = false;
    bool urgent = false;
    std::uint32_t expectedMs = 0; ///< estimated or declared run time at reference speed
    std::uint32_t limitMs = 0; ///< run time limit of the kind; 0 means none
    std::uint32_t remainingMs = 0; ///< until the job's deadline

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, partition, bodyDigest, team, kind, payload, settingsRevision, rootRevision, idempotent, urgent, expectedMs, limitMs, remainingMs);
    }
};

/// Starts tasks. The agent refuses them if the epoch is too low or the token too old.
struct StartBatch {
    Epoch epoch = 0;
    ClockToken token; ///< newest token that the entry has received from the agent
    std::vector<StartTask> tasks;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, token, tasks);
    }
};

/// Stops queued and running attempts. An attempt that the agent does not know is fenced: a start that arrives later is refused.
struct CancelTasks {
    Epoch epoch = 0;
    std::vector<Base::AttemptKey> keys;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, keys);
    }
};

/// Requests the state of attempts. An attempt that the agent does not know is fenced: the agent replies Refused with the reason Fenced, and refuses a start
/// that arrives later.
struct QueryAttempts {
    Epoch epoch = 0;
    std::vector<Base::AttemptKey> keys;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, keys);
    }
};

/// Raises the agent's epoch for the partitions and requests all its records of them. From then on, the agent sends updates about these partitions to the new
/// owner, and the new owner's echoes renew their leases.
struct FenceQuery {
    Epoch epoch = 0;
    std::vector<Partition> partitions;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, partitions);
    }
};

using AgentRequest = std::variant<StartBatch, CancelTasks, QueryAttempts, FenceQuery>;

/// Reports changes of attempts, and the agent's load.
struct TaskUpdates {
    ClockToken token;
    AgentLoad load;
    std::vector<TaskUpdate> updates;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(token, load, updates);
    }
};

/// Replies to FenceQuery in one or more messages.
struct FenceReply {
    Epoch epoch = 0; ///< epoch of the query
    ClockToken token;
    std::vector<AttemptRecord> records;
    bool last = true; ///< false if more messages follow

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, token, records, last);
    }
};

using AgentReply = std::variant<TaskUpdates, FenceReply>;

// ---- links ----

/// First message in each direction of a TCP link.
struct LinkHello {
    Base::ProcessId from;
    bool isAgent = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, isAgent);
    }
};

/// Keep-alive, sent on a link without other messages so that a broken connection is detected.
struct LinkPing {
    template<class Archive>
    void serialize(Archive &)
    {
    }
};

/// A message on a TCP link.
using LinkMessage = std::variant<LinkHello, LinkPing, PeerMessage, AgentRequest, AgentReply>;

} // namespace LaburnumFlow::Protocol
