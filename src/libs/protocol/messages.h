#pragma once

#include "job.h"
#include "membership.h"

#include <cereal/types/map.hpp>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Messages between laburnumflow's own processes. Serialized with cereal's portable binary archive; see codec.h.
namespace LaburnumFlow::Protocol {

/// Revision of each team's settings subtree; the empty name is the root.
using RevisionMap = std::map<std::string, std::uint64_t>;

// ---- UDP ----

/// Entry to entry, every heartbeatInterval.
struct EntryHeartbeat {
    EntryRecord from;
    Epoch mapEpoch = 0;
    std::uint64_t settingsDigest = 0; ///< xxhash64 over the revision map
    std::int64_t sentMonoUs = 0; ///< the sender's clock
    std::string to; ///< name of the entry meant
    std::uint64_t echoIncarnation = 0; ///< the receiver's incarnation that echoMonoUs belongs to
    std::int64_t echoMonoUs = 0; ///< newest sentMonoUs that the sender has of the receiver; 0 if none
    bool leaving = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, mapEpoch, settingsDigest, sentMonoUs, to, echoIncarnation, echoMonoUs, leaving);
    }
};

/// Agent to each entry it knows, every heartbeatInterval and at once on a change of state.
struct AgentHeartbeat {
    Base::ProcessId from;
    Base::Endpoint tcp; ///< where entries connect
    Base::Endpoint udp; ///< where EntryHello goes
    std::string failureDomain;
    std::string worker;
    std::vector<std::string> kinds; ///< kinds the backend server runs; empty means all
    ClockToken token;
    AgentState state = AgentState::Active;
    AgentLoad load;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, tcp, udp, failureDomain, worker, kinds, token, state, load);
    }
};

/// Entry to agent, in answer to each AgentHeartbeat. Renews the leases of the entry's tasks.
struct EntryHello {
    Base::ProcessId from;
    Epoch mapEpoch = 0;
    ClockToken echo; ///< newest token the entry has of this agent
    std::vector<Base::Endpoint> entries; ///< peer endpoints of all entries of the map

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, mapEpoch, echo, entries);
    }
};

using Datagram = std::variant<EntryHeartbeat, AgentHeartbeat, EntryHello>;

// ---- TCP, entry to entry ----

/// Hands a job to the owner of its partition. The relaying entry keeps the body until the answer.
struct RelayJob {
    std::uint64_t request = 0; ///< the relaying entry's own number, returned in the answer
    Base::Uuid submission;
    JobBody body;
    std::uint32_t remainingMs = 0;
    bool resubmitted = false; ///< the relaying entry has relayed it before, to a former owner

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, submission, body, remainingMs, resubmitted);
    }
};

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

struct MapAnnounce {
    PartitionMap map;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(map);
    }
};

/// The sender knows the map of this epoch and no longer acts by an older one.
struct MapAck {
    Base::ProcessId from;
    Base::Endpoint peer;
    Epoch epoch = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, peer, epoch);
    }
};

/// Asks for all subtrees whose revision is higher than the sender's.
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

/// What the sender has in force. Sent on each change and in answer to SettingsContents.
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
    Queued, ///< accepted by the agent, not started at the backend server
    Running,
    Succeeded,
    Failed, ///< the backend server ran it and reported a failure
    Refused, ///< not run and never will be under this attempt number
    Stopped, ///< was running and was stopped: cancelled, lease ended or over its limit
    Lost, ///< was started and its end can't be known
};

std::string_view toString(AttemptState state);

/// Why an agent refused an attempt or stopped it. Each has a counter "agent.refused.NAME" or "agent.stopped.NAME".
enum class AgentReason : std::uint8_t {
    None,
    EpochTooLow,
    TokenTooOld,
    SettingsTooOld,
    QueueFull,
    Draining,
    Fenced, ///< QueryAttempts or CancelTasks came before the start
    KindUnknown,
    BackendBusy, ///< the backend server said that it did not start the task
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

/// What an agent says about one attempt.
struct TaskUpdate {
    Base::AttemptKey key;
    AttemptState state = AttemptState::Queued;
    AgentReason reason = AgentReason::None;
    std::uint32_t runMs = 0; ///< time on the backend server, once ended
    std::string result; ///< JSON text when Succeeded, the backend server's message when Failed

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, state, reason, runMs, result);
    }
};

/// An agent's record of an attempt, as listed after a takeover.
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

/// A submission of the ledger, handed to a new owner on a graceful restart.
struct LedgerRecord {
    Base::Uuid submission;
    Partition partition = 0;
    JobBody body; ///< tasks are empty once the job has ended
    std::uint64_t bodyDigest = 0;
    std::uint32_t remainingMs = 0;
    JobStatus status;
    std::vector<TaskUpdate> attempts; ///< the newest attempt of each started task
    std::vector<std::string> agents; ///< for each of attempts, the agent's name

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(submission, partition, body, bodyDigest, remainingMs, status, attempts, agents);
    }
};

struct LedgerHandover {
    Base::ProcessId from;
    Epoch epoch = 0; ///< the new map's
    std::vector<Partition> partitions; ///< all partitions handed over to the receiver
    std::vector<LedgerRecord> records;
    bool last = true; ///< false while more parts follow

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, epoch, partitions, records, last);
    }
};

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
    std::uint64_t settingsRevision = 0; ///< of the team's subtree
    std::uint64_t rootRevision = 0;
    bool idempotent = false;
    bool urgent = false;
    std::uint32_t expectedMs = 0; ///< learned or declared run time at reference speed
    std::uint32_t limitMs = 0; ///< the kind's run time limit; 0 means none
    std::uint32_t remainingMs = 0; ///< until the job's deadline

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, partition, bodyDigest, team, kind, payload, settingsRevision, rootRevision, idempotent, urgent, expectedMs, limitMs, remainingMs);
    }
};

struct StartBatch {
    Epoch epoch = 0;
    ClockToken token; ///< the newest that the entry has of this agent
    std::vector<StartTask> tasks;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, token, tasks);
    }
};

/// Stops attempts that are queued or running; attempts that the agent does not know are fenced.
struct CancelTasks {
    Epoch epoch = 0;
    std::vector<Base::AttemptKey> keys;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, keys);
    }
};

/// Asks for the state of attempts. An attempt that the agent does not know is fenced: it answers Refused/Fenced
/// and refuses a start that arrives later.
struct QueryAttempts {
    Epoch epoch = 0;
    std::vector<Base::AttemptKey> keys;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, keys);
    }
};

/// Raises the agent's epoch for the partitions and asks for all its records of them. After it the agent sends
/// updates about these partitions to the new owner, and renews their leases by its echoes.
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

struct FenceReply {
    Epoch epoch = 0;
    ClockToken token;
    std::vector<AttemptRecord> records;
    bool last = true; ///< false while more parts follow

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

/// Sent on a link that has nothing else to say, so that a silent connection is noticed.
struct LinkPing {
    template<class Archive>
    void serialize(Archive &)
    {
    }
};

/// Everything that travels on a TCP link.
using LinkMessage = std::variant<LinkHello, LinkPing, PeerMessage, AgentRequest, AgentReply>;

} // namespace LaburnumFlow::Protocol
