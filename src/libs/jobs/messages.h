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

/// Messages between the processes that run stored jobs.
namespace LaburnumFlow::Jobs {

/// A backend server that runs tasks, as its agent knows it. Before its first heartbeat only startTimeMs is known.
struct WorkerInfo {
    std::string id;
    std::int64_t startTimeMs = 0; ///< Unix time of its start; tells incarnations with the same id apart
    std::string service;
    std::string failureDomain;
    std::string kind; ///< of machine; workers of a kind are about as fast
    std::string rack;
    std::vector<std::string> labels; ///< including kind and rack
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
    Base::Endpoint peers = {}; ///< where it takes links of entries; port 0: nowhere

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, peers);
    }
};

struct RunEnd {
    std::uint64_t number = 0; ///< the worker's numbering of its ends; 0 if the worker has not listed the end
    RunRef run;
    RunOutcome outcome = RunOutcome::Done;
    std::uint32_t runTimeMs = 0; ///< 0 if unknown
    std::string checkpoint = {}; ///< the latest of the run; empty if there is none

    bool operator==(const RunEnd &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, run, outcome, runTimeMs, checkpoint);
    }
};

/// A start order that was not carried out and will not be.
struct RunRefusal {
    enum class Reason : std::uint8_t {
        NoRoom,
        Unhealthy, ///< the worker refuses all work for the moment
        Stale, ///< the order was too old, or its run not higher than an earlier one
        NoWorker,
        NoAnswer, ///< the worker did not answer; the run was then barred from starting
        NoTicket, ///< the worker does not take the ticket any more
    };

    RunRef run;
    Reason reason = Reason::NoRoom;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run, reason);
    }
};

/// A run that is, or may be, on a worker.
struct PossibleRun {
    RunRef run;
    Resources need; ///< 0 if the agent does not know, as it was started by a former life of the agent
    std::string checkpoint = {}; ///< the latest; empty if there is none

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

/// What an agent tells the owner.
struct AgentReport {
    std::int64_t token = 0; ///< the agent's steady clock at the time of sending, in milliseconds
    std::uint64_t epoch = 0; ///< the highest owner's epoch that the agent has seen
    std::uint64_t ordersSeen = 0; ///< number of the last orders that the report takes into account
    bool full = false; ///< running lists everything that may run, and all ends that are not acknowledged are sent again
    std::optional<WorkerInfo> worker; ///< sent when full or changed
    bool workerSilent = false; ///< the worker does not answer at present
    bool workerTerminated = false; ///< the worker has left or died; nothing of it runs any more
    std::uint64_t endsAcknowledged = 0; ///< ends up to this number are recorded
    std::vector<PossibleRun> running;
    std::vector<RunEnd> ends;
    std::vector<RunRefusal> refusals;
    std::vector<RunRef> stalled; ///< runs that make no progress
    std::vector<RunCheckpoint> checkpoints;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(token, epoch, ordersSeen, full, worker, workerSilent, workerTerminated, endsAcknowledged, running, ends, refusals, stalled, checkpoints);
    }
};

/// What an agent does not know of a run that a former life of it started.
struct RunRequirements {
    RunRef run;
    Resources need;
    std::uint32_t latencyTargetMs = 0; ///< 0: none

    bool operator==(const RunRequirements &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run, need, latencyTargetMs);
    }
};

/// Runs of one job that are to start on a worker.
struct StartOrder {
    std::vector<RunRef> runs;
    Resources need; ///< of each run
    std::string payload;
    std::string checkpoint = {}; ///< from which the runs resume; empty: from the start
    std::uint32_t latencyTargetMs = 0; ///< of each run; 0: none
    std::string ticket = {}; ///< of the advice service; empty if the queue needs none

    bool operator==(const StartOrder &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(runs, need, payload, checkpoint, latencyTargetMs, ticket);
    }
};

/// What the owner tells an agent.
struct OwnerOrders {
    std::uint64_t epoch = 0; ///< the fence; agents and workers obey the highest that they have seen
    std::uint64_t number = 0; ///< counts the orders to the agent under this epoch
    std::int64_t echo = 0; ///< the youngest token of the agent that the owner has received
    std::int64_t workerStartTimeMs = 0; ///< the incarnation that starts, stops and endsRecorded are meant for
    std::vector<StartOrder> starts;
    std::vector<RunRef> stops;
    std::uint64_t endsRecorded = 0; ///< ends up to this number are recorded and may be forgotten
    std::vector<Base::Endpoint> entries; ///< all entries, if they have changed
    std::vector<RunRequirements> runRequirements;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, number, echo, workerStartTimeMs, starts, stops, endsRecorded, entries, runRequirements);
    }
};

/// The first message on a link that an entry has dialed.
struct EntryHello {
    std::string name;
    Base::Endpoint peers = {}; ///< where it takes links

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, peers);
    }
};

/// What entries tell each other at intervals.
struct EntryBeat {
    std::uint64_t ownerEpoch = 0; ///< the epoch that the sender owns the jobs with; 0 if it does not
    bool storeReachable = false; ///< the store has answered the sender lately
    bool steppedDown = false; ///< the sender has just given the jobs up

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(ownerEpoch, storeReachable, steppedDown);
    }
};

struct SubmitCall {
    JobId job = 0;
    QueueRules rules; ///< as the entry that took the call knows them
    std::uint64_t rulesVersion = 0;
    bool bestEffort = false; ///< not stored; answered when the job has ended
    bool mayHaveRun = false; ///< an earlier owner had the call and was lost; a refusal would not be true
    std::uint32_t callerTimeoutMs = 0; ///< for which the caller waits; 0 if unknown
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

/// Asks for the number of a queue's jobs of which no task has started.
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
        Accepted, ///< the job, or its cancelling, is stored
        State,
        Count,
        NotFound, ///< no such job
        Overloaded, ///< not accepted and never run
        Unavailable, ///< not accepted and never run; the owner cannot store it now
        Unsupported, ///< not accepted and never run; no worker or no code for it
        OutcomeUnknown, ///< it may have been accepted
    };

    Kind kind = Kind::Unavailable;
    JobState state = JobState::Queued;
    std::uint32_t count = 0;
    std::uint32_t retryAfterS = 0; ///< 0: none

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, state, count, retryAfterS);
    }
};

struct RelayedCall {
    std::uint64_t number = 0; ///< the relaying entry's numbering
    Call call;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, call);
    }
};

struct RelayedAnswer {
    std::uint64_t number = 0;
    bool notOwner = false; ///< the receiver does not own the jobs, or no more; the call is to be passed on again
    bool handled = false; ///< with notOwner: the receiver had taken the call while it owned the jobs
    CallAnswer answer = {};

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, notOwner, handled, answer);
    }
};

using LinkMessage = std::variant<AgentHello, AgentReport, OwnerOrders, EntryHello, EntryBeat, RelayedCall, RelayedAnswer>;

std::vector<std::uint8_t> encodeMessage(const LinkMessage &message);

/// Nothing if the bytes are no message.
std::optional<LinkMessage> decodeMessage(std::span<const std::uint8_t> bytes);

} // namespace LaburnumFlow::Jobs
