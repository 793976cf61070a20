#pragma once

#include "job.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

/// Messages between the processes that run jobs.
namespace LaburnumFlow::Jobs {

/// The worker of an agent: a backend server that runs tasks. Only startTimeMs is known before the worker's first heartbeat.
struct WorkerInfo {
    std::string id;
    std::int64_t startTimeMs = 0; ///< Unix time of the start of this incarnation.
    std::string service;
    std::string failureDomain;
    std::string kind; ///< Hardware kind; workers of one kind are about equally fast.
    std::string rack;
    std::vector<std::string> labels; ///< Include the kind and the rack.
    Resources capacity;
    bool draining = false;

    bool operator==(const WorkerInfo &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, startTimeMs, service, failureDomain, kind, rack, labels, capacity, draining);
    }
};

/// The first message of an agent on a link.
struct AgentHello {
    std::string name;
    Base::Endpoint peers = {}; ///< Address on which the agent accepts links from entries; port 0 if it accepts none.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, peers);
    }
};

/// The end of a run.
struct RunEnd {
    std::uint64_t number = 0; ///< Sequence number of the end on its worker; 0 if the worker has not listed it.
    RunRef run;
    RunOutcome outcome = RunOutcome::Done;
    std::uint32_t runTimeMs = 0; ///< 0 if unknown.
    std::string checkpoint = {}; ///< Latest checkpoint of the run; empty if there is none.

    bool operator==(const RunEnd &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, run, outcome, runTimeMs, checkpoint);
    }
};

/// Reports a start order that the agent has not executed and never will.
struct RunRefusal {
    enum class Reason : std::uint8_t {
        NoRoom,
        Unhealthy, ///< The worker refuses all work at present.
        Stale, ///< The order was too old, or its run number not higher than an earlier one.
        NoWorker,
        NoAnswer, ///< The worker did not answer the start call, and a stop call then made the start impossible.
        NoTicket, ///< The worker does not accept the ticket any more.
    };

    RunRef run;
    Reason reason = Reason::NoRoom;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run, reason);
    }
};

/// A run that is running on a worker or may be.
struct PossibleRun {
    RunRef run;
    Resources need; ///< 0 if unknown, because an earlier incarnation of the agent started the run.
    std::string checkpoint = {}; ///< Latest checkpoint; empty if there is none.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run, need, checkpoint);
    }
};

/// A new checkpoint of a run.
struct RunCheckpoint {
    RunRef run;
    std::string checkpoint;

    bool operator==(const RunCheckpoint &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run, checkpoint);
    }
};

/// The state of an agent and its worker, sent to the owner.
struct AgentReport {
    std::int64_t token = 0; ///< Steady clock of the agent at sending, in milliseconds.
    std::uint64_t epoch = 0; ///< Highest epoch of an owner that the agent has seen.
    std::uint64_t ordersSeen = 0; ///< Number of the last orders that the report reflects.
    bool full = false; ///< The field running lists every run that may be running, and ends lists all that aren't acknowledged.
    std::optional<WorkerInfo> worker; ///< Set in full reports and when it has changed.
    bool workerSilent = false; ///< The worker does not answer at present.
    bool workerTerminated = false; ///< The worker process has ended and none of its runs is running any more.
    std::uint64_t endsAcknowledged = 0; ///< All ends up to this number are acknowledged to the worker.
    std::vector<PossibleRun> running;
    std::vector<RunEnd> ends;
    std::vector<RunRefusal> refusals;
    std::vector<RunRef> stalled; ///< Runs that make no progress.
    std::vector<RunCheckpoint> checkpoints;
    std::uint64_t formerEpoch = 0; ///< Epoch of the latest owner before this one that has answered a full report of the agent; 0 if there was none.
    /// In a full report: runs that it doesn't list may have ended, as the worker lists further ends once these are acknowledged. Another full report follows.
    bool endsIncomplete = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(token,
                epoch,
                ordersSeen,
                full,
                worker,
                workerSilent,
                workerTerminated,
                endsAcknowledged,
                running,
                ends,
                refusals,
                stalled,
                checkpoints,
                formerEpoch,
                endsIncomplete);
    }
};

/// The requirements of a run that an earlier incarnation of the agent started, and which the agent therefore doesn't know.
struct RunRequirements {
    RunRef run;
    Resources need;
    std::uint32_t latencyTargetMs = 0; ///< 0 for none.

    bool operator==(const RunRequirements &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run, need, latencyTargetMs);
    }
};

/// Starts runs of one job on a worker.
struct StartOrder {
    std::vector<RunRef> runs;
    Resources need; ///< Of each run.
    std::string payload;
    std::string checkpoint = {}; ///< Checkpoint from which the runs resume; empty to start from the beginning.
    std::uint32_t latencyTargetMs = 0; ///< Of each run; 0 for none.
    std::string ticket = {}; ///< Issued by the advice service; empty if the queue needs none.

    bool operator==(const StartOrder &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(runs, need, payload, checkpoint, latencyTargetMs, ticket);
    }
};

/// The orders of the owner to an agent. They are also sent as keep-alives, to echo the agent's token.
struct OwnerOrders {
    std::uint64_t epoch = 0; ///< Fencing epoch: agents and workers obey only the highest that they have seen.
    std::uint64_t number = 0; ///< Sequence number of the orders to this agent under this epoch.
    std::int64_t echo = 0; ///< Latest token of the agent that the owner has received.
    std::int64_t workerStartTimeMs = 0; ///< Worker incarnation to which starts, stops and endsRecorded apply.
    std::vector<StartOrder> starts;
    std::vector<RunRef> stops;
    std::uint64_t endsRecorded = 0; ///< All ends up to this number are recorded, so the worker may drop them.
    std::vector<Base::Endpoint> entries; ///< All entries; empty if unchanged.
    std::vector<RunRequirements> runRequirements;
    bool confirmedByStore = true; ///< The store has recently held this owner's claim. Otherwise it may have a successor that it doesn't know.
    std::uint64_t endsToLapse = 0; ///< Ends up to this number may be acknowledged to the worker only after its lease has ended.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, number, echo, workerStartTimeMs, starts, stops, endsRecorded, entries, runRequirements, confirmedByStore, endsToLapse);
    }
};

/// The first message on a link that an entry has opened.
struct EntryHello {
    std::string name;
    Base::Endpoint peers = {}; ///< Address on which the entry accepts links.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, peers);
    }
};

/// The periodic heartbeat between entries.
struct EntryBeat {
    std::uint64_t ownerEpoch = 0; ///< Epoch under which the sender owns the jobs; 0 if it doesn't own them.
    bool storeReachable = false; ///< The store has answered the sender recently.
    bool steppedDown = false; ///< The sender has just stopped owning the jobs.
    std::int64_t token = 0; ///< Steady clock of the sender at sending, in milliseconds; returned in the reply.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(ownerEpoch, storeReachable, steppedDown, token);
    }
};

/// The reply to an owner's heartbeat. It confirms the owner, or names the one that has replaced it.
struct EntryBeatReply {
    std::int64_t token = 0; ///< From the heartbeat.
    std::uint64_t ownerEpoch = 0; ///< Highest epoch of an owner that the sender knows.
    std::optional<std::uint32_t> readAgeMs; ///< Time since the start of the sender's last read of the owner record that showed this epoch, if there was one.
    Base::Endpoint ownerPeers = {}; ///< Address of the owner of this epoch; port 0 if the sender doesn't know it.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(token, ownerEpoch, readAgeMs, ownerPeers);
    }
};

struct SubmitCall {
    JobId job = 0;
    QueueRules rules; ///< As known to the entry that received the call.
    std::uint64_t rulesVersion = 0;
    bool bestEffort = false; ///< The job isn't stored, and the call is answered when the job has ended.
    bool mayHaveRun = false; ///< A lost owner had received the call, so the answer must not say that the job never ran.
    std::uint32_t callerTimeoutMs = 0; ///< How long the caller waits for the answer; 0 if unknown.
    JobSpec spec;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job, rules, rulesVersion, bestEffort, mayHaveRun, callerTimeoutMs, spec);
    }
};

struct QueryCall {
    JobId job = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job);
    }
};

struct CancelCall {
    JobId job = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job);
    }
};

/// Asks for the number of jobs of a queue of which no task has started.
struct CountCall {
    std::string queue;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(queue);
    }
};

using Call = std::variant<SubmitCall, QueryCall, CancelCall, CountCall>;

/// The owner's answer to a call.
struct CallAnswer {
    enum class Kind : std::uint8_t {
        Accepted, ///< The job or its cancellation is stored.
        State,
        Count,
        NotFound, ///< There is no such job.
        Overloaded, ///< Not accepted and never run.
        Unavailable, ///< Not accepted and never run; the owner can't store it at present.
        Unsupported, ///< Not accepted and never run; there is no worker or no implementation for it.
        OutcomeUnknown, ///< The job may have been accepted.
        UnknownQueue, ///< Not accepted and never run; the owner's rules have no such queue any more.
    };

    Kind kind = Kind::Unavailable;
    JobState state = JobState::Queued;
    std::uint32_t count = 0;
    std::uint32_t retryAfterS = 0; ///< 0 for none.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, state, count, retryAfterS);
    }
};

/// A call that an entry relays to the owner.
struct RelayedCall {
    std::uint64_t number = 0; ///< Chosen by the relaying entry.
    Call call;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, call);
    }
};

struct RelayedAnswer {
    std::uint64_t number = 0;
    bool notOwner = false; ///< The receiver doesn't own the jobs (any more); the call must be forwarded again.
    bool handled = false; ///< With notOwner: the receiver had accepted the call while it owned the jobs.
    CallAnswer answer = {};

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, notOwner, handled, answer);
    }
};

/// The rules that an entry has. Rules readers send it to all entries, at intervals and when the rules change.
struct RulesAnnouncement {
    std::uint64_t version = 0; ///< 0 if the entry has no rules.
    std::uint64_t digest = 0; ///< Of the routes.
    std::int64_t revision = 0; ///< Of the document in the store.
    std::int64_t watchAfter = 0; ///< The entry knows all changes of the document up to this revision of the store.
    bool current = false; ///< The store answers the entry's calls, so that it would know a newer document.

    bool operator==(const RulesAnnouncement &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, digest, revision, watchAfter, current);
    }
};

/// Asks for the changes from the sender's rules to the receiver's.
struct RulesRequest {
    std::uint64_t version = 0; ///< Of the sender's rules; 0 to get all routes.
    std::uint64_t digest = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, digest);
    }
};

/// The answer to RulesRequest.
struct RulesUpdate {
    RulesAnnouncement result; ///< The rules to which the changes lead.
    std::vector<std::uint8_t> changes; ///< Result of Rules::encodeUpdate().

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(result, changes);
    }
};

using LinkMessage = std::variant<AgentHello,
                                 AgentReport,
                                 OwnerOrders,
                                 EntryHello,
                                 EntryBeat,
                                 RelayedCall,
                                 RelayedAnswer,
                                 EntryBeatReply,
                                 RulesAnnouncement,
                                 RulesRequest,
                                 RulesUpdate>;

std::vector<std::uint8_t> encodeMessage(const LinkMessage &message);

/// Returns nothing if the bytes aren't a valid message.
std::optional<LinkMessage> decodeMessage(std::span<const std::uint8_t> bytes);

} // namespace LaburnumFlow::Jobs
