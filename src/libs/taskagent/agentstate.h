#pragma once

#include "calltimeout.h"

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

/// The agent runs beside a worker and is the worker's only caller. It starts and stops runs on the orders of the entry
/// that owns the jobs, renews the worker's lease while it receives recent orders, and reports the runs that have ended.
namespace LaburnumFlow::TaskAgent {

constexpr int fullPacePercent = 100; ///< pace of a run that isn't slowed down

/// A run that the worker has, or may have.
struct LocalRun {
    enum class Phase : std::uint8_t {
        Starting, ///< the start call is in progress
        Running,
        CancellingStart, ///< the start call got no response; a stop call ensures that the worker doesn't carry it out later
        StartCancelled, ///< the stop call was answered; the worker's next list tells whether the run had been started
    };

    Phase phase = Phase::Starting;
    Jobs::Resources need; ///< reserved resources; 0 if not known
    std::uint32_t latencyTargetMs = 0; ///< target of the tail latency; 0 if there is none or it isn't known
    bool stopping = false; ///< a stop call is in progress or was answered
    bool listed = false; ///< a list of the worker's current incarnation has shown the run; only a list names the process that gives it
    Base::MonoTime possibleUntil{}; ///< the worker may execute the start call late until then, whatever its lease
    Base::MonoTime calledAt{};
    Base::MonoTime startedAt{};
    int progressPercent = -1; ///< share of the work that is done; -1 if not known
    Base::MonoTime progressChangedAt{};
    bool stallReported = false;
    std::string checkpoint; ///< latest one that the worker has listed; empty if there is none
    int pacePercent = fullPacePercent; ///< last pace that the worker is known to have applied
    bool paceCallInProgress = false; ///< a call that changes the pace is in progress
};

struct AgentState {
    Base::MonoTime now{};
    Base::MonoTime startedAt{}; ///< start of this process

    // The worker.
    std::optional<Jobs::WorkerInfo> worker;
    std::int64_t heartbeatStartTimeMs = 0; ///< incarnation of the worker that sent the latest heartbeat
    std::uint64_t heartbeatSequence = 0; ///< number of the latest heartbeat of that incarnation
    Base::MonoTime workerHeardAt{};
    bool leaving = false; ///< a leave call arrived that may be a former incarnation's; the worker's answers and its next heartbeat decide
    std::optional<Base::MonoTime> silentSince; ///< start of the first of the hold calls that have failed in a row
    bool silenceReported = false;
    CallTimeout callTimeout; ///< from start calls
    std::optional<Base::Duration> clockOffset; ///< worker's clock minus this process's steady clock; lower than the true offset by the time a response takes
    std::unordered_map<Jobs::RunRef, LocalRun, Jobs::RunRefHash> runs;
    Base::MonoTime leaseEndsAt{}; ///< all runs of the worker have ended by then unless the lease is renewed
    bool runsListed = false; ///< the worker's lists were read under the current epoch
    bool holdInProgress = false;
    Base::MonoTime holdNotBefore{};
    std::uint64_t lastHoldNumber = 0; ///< number of the latest hold call; tells which lists are newer than a stop or an epoch
    std::optional<std::chrono::milliseconds> newestListClock; ///< worker's clock in the newest answer to a hold call of this incarnation
    std::uint64_t oldestValidHold = 0; ///< answers to earlier hold calls are ignored: a newer answer or a newer incarnation is known
    std::uint64_t fenceTimeMs = 0; ///< lower part of the fence that calls carry; the epoch is the upper part
    Base::MonoTime fenceRaisedAt{}; ///< calls sent before carry a lower fence
    std::uint64_t lastHoldBeforeEpoch = 0; ///< hold calls up to this number carried a lower fence
    std::unordered_map<Jobs::RunRef, std::uint64_t, Jobs::RunRefHash> startCancelledAtHold; ///< number of the latest hold call when the stop was answered
    std::map<Jobs::RunRef, Base::MonoTime> unansweredStarts; ///< start calls without a response, and until when the worker may execute them
    std::map<Jobs::RunRef, Base::MonoTime> stopRetries; ///< when to resend stop calls that got no response

    // Background runs are slowed down while runs with a latency target on the same worker miss it.
    int backgroundPercent = fullPacePercent;
    Base::MonoTime paceChangedAt{};
    Base::MonoTime lastElevatedLatencyAt{}; ///< when the latency of such a run was last near or above its target

    // Ended runs, by the numbers that the worker has given them.
    std::map<std::uint64_t, Jobs::RunEnd> ends; ///< ends that the owner has not recorded yet
    std::optional<std::uint64_t> firstEndListed; ///< lowest number in the latest list of this incarnation, 0 if it had no ends; no value before
    bool endsComplete = false; ///< a list has shown all ends of this incarnation of the worker; this process knows all runs since
    bool endsGapUnconfirmed = false; ///< the latest list lacks numbers above endsRecorded, and the list before doesn't show that they are missing
    std::uint64_t endsRecorded = 0; ///< the owner has recorded all ends up to this number
    std::uint64_t endsAckedToWorker = 0; ///< all ends up to this number are acknowledged to the worker
    std::uint64_t endsToLapse = 0; ///< ends up to this number may be acknowledged only after the worker's lease has ended
    std::uint64_t endsLapsed = 0; ///< ends up to this number were listed before the worker's lease last ended

    // The owner.
    std::uint64_t epoch = 0;
    std::int64_t fullReportToken = 0; ///< token of the latest full report with all ends to this owner; 0 if there was none
    std::uint64_t judgedEpoch = 0; ///< epoch of the latest owner whose orders tell which ends of a full report need a lapse
    std::uint64_t formerEpoch = 0; ///< the same before this owner
    std::string ownerEntry; ///< link name of the entry that owns the jobs; empty if there is none
    bool ownerConfirmedByStore = true; ///< otherwise the owner may have a successor that it doesn't know
    std::uint64_t ordersSeen = 0; ///< number of the latest orders of the owner
    std::int64_t echo = 0; ///< most recent token of this process that the owner has echoed, in milliseconds of the steady clock
    bool fullReportDue = false;
    bool stopping = false;
    Base::MonoTime lastReportAt{};
    Jobs::AgentReport nextReport; ///< collects changes until the next report is sent
    bool nextReportDue = false; ///< nextReport holds something that can't wait for the next keep-alive
};

// Events.

struct TimePassed {
    Base::MonoTime now{};
};

struct WorkerHeartbeat {
    Jobs::WorkerInfo worker;
    std::uint64_t sequence = 0;
};

/// A worker has announced its end. The call names no incarnation and may arrive after a restart under the same id.
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
        Refused, ///< the worker won't carry out the call
        NotSent, ///< the worker can't have received the call
        NoAnswer, ///< the worker may have carried out the call
    };

    Jobs::RunRef run;
    std::int64_t workerStartTimeMs = 0; ///< incarnation that was called
    Outcome outcome = Outcome::NoAnswer;
    Jobs::RunRefusal::Reason reason = Jobs::RunRefusal::Reason::NoRoom;
    std::optional<std::chrono::milliseconds> workerClock;
};

struct StopAnswered {
    Jobs::RunRef run;
    std::int64_t workerStartTimeMs = 0; ///< incarnation that was called
    bool answered = false;
};

struct PaceAnswered {
    Jobs::RunRef run;
    int percent = fullPacePercent; ///< pace from CallPace
    bool answered = false;
};

/// A run on the worker as its answer to a hold call lists it.
struct ListedRun {
    Jobs::RunRef run;
    int percent = -1; ///< share of the work that is done; -1 if not known
    std::string checkpoint = {}; ///< empty if there is none
    std::optional<std::uint32_t> usage = {}; ///< recent tail latency of a run with a latency target, in milliseconds; processor use of other runs
};

struct HoldAnswered {
    bool answered = false;
    bool refused = false; ///< connection refused: no process listens at the worker's address
    std::int64_t workerStartTimeMs = 0;
    std::optional<std::chrono::milliseconds> workerClock;
    std::uint64_t number = 0; ///< number from CallHold
    Base::MonoTime calledAt{}; ///< time from CallHold
    std::vector<ListedRun> running;
    std::vector<Jobs::RunEnd> ends;
    bool endsTruncated = false; ///< the worker may have more ends, which it lists once these are acknowledged
    std::optional<std::uint64_t> refusedFence = {}; ///< fence from CallHold if the worker refused the call because it has seen a higher one
};

/// The process was told to stop. It starts no more runs; those on the worker may end.
struct StopRequested {
};

using AgentEvent = std::
    variant<TimePassed, StopRequested, WorkerHeartbeat, WorkerLeft, EntryUnlinked, OrdersArrived, StartAnswered, StopAnswered, PaceAnswered, HoldAnswered>;

// Effects.

struct CallStart {
    Jobs::RunRef run;
    std::string payload;
    std::string checkpoint; ///< to resume from; empty to begin at the start
    std::string ticket; ///< from the advice service; empty if there is none
    std::chrono::milliseconds until{}; ///< end of the worker's lease, on the worker's clock
    std::uint64_t fence = 0;
    std::string workerId;
    std::int64_t workerStartTimeMs = 0;
    Base::Duration timeout{};
};

struct CallStop {
    Jobs::RunRef run;
    std::uint64_t fence = 0;
    std::int64_t workerStartTimeMs = 0;
    Base::Duration timeout{};
};

/// Limits a run to a share of its full speed.
struct CallPace {
    Jobs::RunRef run;
    int percent = fullPacePercent;
    std::uint64_t fence = 0;
    Base::Duration timeout{};
};

/// Renews the worker's lease, acknowledges ends, and asks for the lists of running and ended runs.
struct CallHold {
    std::optional<std::chrono::milliseconds> until; ///< new end of the lease, on the worker's clock; without a value the lease isn't renewed
    std::uint64_t fence = 0;
    std::uint64_t endsAckedToWorker = 0;
    std::chrono::milliseconds wait{}; ///< how long the worker may wait for a run to end before it answers
    std::uint64_t number = 0;
    Base::Duration timeout{}; ///< for the whole call, including the wait
    Base::MonoTime calledAt{};
};

struct SendReport {
    std::string entry;
    Jobs::AgentReport report;
};

/// The endpoints of all entries, as the owner has listed them.
struct UpdateEntries {
    std::vector<Base::Endpoint> entries;
};

/// An event for the decision log.
struct Decision {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using AgentEffect = std::variant<CallStart, CallStop, CallPace, CallHold, SendReport, UpdateEntries, Decision>;
using AgentEffects = std::vector<AgentEffect>;

} // namespace LaburnumFlow::TaskAgent
