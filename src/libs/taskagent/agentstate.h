#pragma once

#include "jobs/messages.h"

#include "base/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

/// The process beside a worker: the worker's only caller. It starts and stops runs as the owner of the jobs orders,
/// renews the worker's lease while it hears from the owner, and reports what ends.
namespace LaburnumFlow::TaskAgent {

constexpr int fullPacePercent = 100; ///< percent

/// A run that is, or may be, on the worker.
struct LocalRun {
    enum class Phase : std::uint8_t {
        Starting, ///< the start call has not been answered
        Running,
        CancellingStart, ///< the start was not answered; a stop call makes sure that it is not carried out any more
        StartCancelled, ///< the stop was answered; the next list of the worker tells whether the run was there
    };

    Phase phase = Phase::Starting;
    Jobs::Resources need; ///< 0 if not known
    std::uint32_t latencyTargetMs = 0; ///< 0: none, or not known
    bool stopping = false; ///< a stop call is in progress or done
    Base::MonoTime calledAt{};
    Base::MonoTime startedAt{};
    int progressPercent = -1; ///< of its work that is done; -1 if not known
    Base::MonoTime progressChangedAt{};
    bool stallReported = false;
    std::string checkpoint; ///< the latest that the worker has listed
    int pacePercent = fullPacePercent; ///< the share at which the worker lets it work, as far as is known
    bool paceCallInProgress = false; ///< a call that sets it has not been answered
};

struct AgentState {
    Base::MonoTime now{};

    // The worker.
    std::optional<Jobs::WorkerInfo> worker;
    std::uint64_t heartbeatSequence = 0; ///< of the latest heartbeat of this incarnation
    Base::MonoTime workerHeardAt{};
    std::optional<Base::MonoTime> silentSince; ///< since when the worker has answered no hold
    bool silenceReported = false;
    Base::Duration averageResponseTime{}; ///< from a start call to its answer, averaged
    std::optional<Base::Duration> clockOffset; ///< from this process's steady clock to the worker's, or less
    std::unordered_map<Jobs::RunRef, LocalRun, Jobs::RunRefHash> runs;
    Base::MonoTime leaseEndsAt{}; ///< by then everything that the worker runs has ended, unless renewed
    bool runsListed = false; ///< the worker's lists were read under the present epoch
    bool holdInProgress = false;
    Base::MonoTime holdNotBefore{};
    std::uint64_t lastHoldNumber = 0; ///< counts holds, to tell which lists are younger than a stop or an epoch
    std::uint64_t lastHoldBeforeEpoch = 0; ///< holds up to this number carried a lower fence
    std::unordered_map<Jobs::RunRef, std::uint64_t, Jobs::RunRefHash> startCancelledAtHold;
    std::map<Jobs::RunRef, Base::MonoTime> stopRetries;

    // Background runs are slowed down while they disturb runs with a latency target.
    int backgroundPercent = fullPacePercent;
    Base::MonoTime paceChangedAt{};
    Base::MonoTime lastElevatedLatencyAt{}; ///< when such a run was near its target, or over it

    // Ends by the worker's numbers.
    std::map<std::uint64_t, Jobs::RunEnd> ends; ///< not recorded by the owner yet
    std::uint64_t endsRecorded = 0; ///< by the owner
    std::uint64_t endsAckedToWorker = 0; ///< acknowledged to the worker

    // The owner.
    std::uint64_t epoch = 0;
    std::string ownerEntry; ///< the entry that owns the jobs, by the name of its link; empty if there is none
    std::uint64_t ordersSeen = 0; ///< number of the leader's last orders
    std::int64_t echo = 0; ///< youngest own token that the owner has echoed
    bool fullReportDue = false;
    bool stopping = false;
    Base::MonoTime lastReportAt{};
    Jobs::AgentReport nextReport; ///< what the next report carries
    bool nextReportDue = false;
};

// Events.

struct TimePassed {
    Base::MonoTime now{};
};

struct WorkerHeartbeat {
    Jobs::WorkerInfo worker;
    std::uint64_t sequence = 0;
};

struct WorkerLeft {
    std::string id;
};

struct EntryUnlinked {
    std::string entry;
};

struct OrdersArrived {
    std::string entry;
    Jobs::OwnerOrders orders;
};

struct StartAnswered {
    enum class Outcome : std::uint8_t {
        Started,
        Refused, ///< and will not be carried out
        NotSent,
        NoAnswer,
    };

    Jobs::RunRef run;
    std::int64_t workerStartTimeMs = 0; ///< as of the call
    Outcome outcome = Outcome::NoAnswer;
    Jobs::RunRefusal::Reason reason = Jobs::RunRefusal::Reason::NoRoom;
    std::optional<std::chrono::milliseconds> workerClock;
};

struct StopAnswered {
    Jobs::RunRef run;
    bool answered = false;
};

struct PaceAnswered {
    Jobs::RunRef run;
    int percent = fullPacePercent; ///< as in CallPace
    bool answered = false;
};

struct ListedRun {
    Jobs::RunRef run;
    int percent = -1;
    std::string checkpoint = {}; ///< empty if there is none
    std::optional<std::uint32_t> usage = {}; ///< lately: the tail latency in ms of a run with a latency target, the processor in use of others
};

struct HoldAnswered {
    bool answered = false;
    bool refused = false; ///< connection refused: no process listens
    std::int64_t workerStartTimeMs = 0;
    std::optional<std::chrono::milliseconds> workerClock;
    std::uint64_t number = 0; ///< as in CallHold
    Base::MonoTime calledAt{}; ///< as in CallHold
    std::vector<ListedRun> running;
    std::vector<Jobs::RunEnd> ends;
};

/// The process is to stop: no more starts; what runs may end.
struct StopRequested {
};

using AgentEvent = std::
    variant<TimePassed, StopRequested, WorkerHeartbeat, WorkerLeft, EntryUnlinked, OrdersArrived, StartAnswered, StopAnswered, PaceAnswered, HoldAnswered>;

// Effects.

struct CallStart {
    Jobs::RunRef run;
    std::string payload;
    std::string checkpoint; ///< to resume from; empty: from the start
    std::string ticket; ///< of the advice service; empty: none
    std::chrono::milliseconds until{}; ///< on the worker's clock
    std::uint64_t fence = 0;
    std::string workerId;
    std::int64_t workerStartTimeMs = 0;
    Base::Duration timeout{};
};

struct CallStop {
    Jobs::RunRef run;
    std::uint64_t fence = 0;
    Base::Duration timeout{};
};

/// Lets a run work at a share of what it could do.
struct CallPace {
    Jobs::RunRef run;
    int percent = fullPacePercent;
    std::uint64_t fence = 0;
    Base::Duration timeout{};
};

struct CallHold {
    std::optional<std::chrono::milliseconds> until; ///< nothing: the lease is not renewed
    std::uint64_t fence = 0;
    std::uint64_t endsAckedToWorker = 0;
    std::chrono::milliseconds wait{};
    std::uint64_t number = 0;
    Base::Duration timeout{}; ///< includes the wait
    Base::MonoTime calledAt{};
};

struct SendReport {
    std::string entry;
    Jobs::AgentReport report;
};

/// The entries' addresses as the owner knows them.
struct UpdateEntries {
    std::vector<Base::Endpoint> entries;
};

struct Decision {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using AgentEffect = std::variant<CallStart, CallStop, CallPace, CallHold, SendReport, UpdateEntries, Decision>;
using AgentEffects = std::vector<AgentEffect>;

} // namespace LaburnumFlow::TaskAgent
