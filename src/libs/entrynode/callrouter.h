#pragma once

#include "jobs/messages.h"

#include "base/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace LaburnumFlow::EntryNode {

using CallNumber = std::uint64_t;

/// Identifies one attempt to forward a call to an owner; a call may be forwarded several times.
using ForwardId = std::uint64_t;

/// No owner can be reached.
struct NoRoute {
};

/// The owner is in this process.
struct LocalRoute {
};

/// The owner is another entry.
struct PeerRoute {
    std::string name;
};

using Route = std::variant<NoRoute, LocalRoute, PeerRoute>;

/// Passes the call to the owner in this process.
struct HandleLocally {
    ForwardId forwardId = 0;
    Jobs::Call call;
};

/// Relays the call to the entry that owns the jobs.
struct SendToPeer {
    std::string name;
    Jobs::RelayedCall call; ///< its number is the forward id
};

/// Sends the caller its only answer.
struct AnswerCaller {
    CallNumber number = 0;
    Jobs::CallAnswer answer;
};

/// A call that the router has removed without an answer of an owner.
struct DroppedCall {
    CallNumber number = 0;
    Jobs::Call call;
    Jobs::CallAnswer answer; ///< what is known of its outcome
};

using RouterEffect = std::variant<HandleLocally, SendToPeer, AnswerCaller>;
using RouterEffects = std::vector<RouterEffect>;

/// Returns the answer to a call that isn't forwarded to an owner. A stored job has not run. The outcome of a best-effort job is unknown,
/// as it may be a resubmission of a job that has run, and only owners know of those.
Jobs::CallAnswer answerWithoutOwner(const Jobs::Call &call);

/// Forwards the calls of this entry's clients to the owner of the jobs. A call is forwarded again when the owner changes; job ids make
/// that idempotent. Each call is answered in time, even if no owner can be reached.
class CallRouter
{
public:
    /// Takes a call and forwards it if there is a route. callerTimeout is how long the caller waits, without a value defaultCallerTimeout.
    RouterEffects accept(CallNumber number, Jobs::Call call, std::optional<Base::Duration> callerTimeout, Base::MonoTime now);

    /// Sets the route and forwards all pending calls along it, including those that were forwarded before. Calls whose timeout has passed stay for expire(): the
    /// process may have been suspended, and jobs of such calls may have been cancelled elsewhere.
    RouterEffects route(Route route, Base::MonoTime now);

    /// Removes the calls whose callers have gone, but for cancellations. Must precede route().
    std::vector<DroppedCall> dropUnattended(const std::function<bool(CallNumber)> &isCallerGone);

    /// Handles an owner's answer. One that another owner may contradict, such as a refusal, only counts for the latest attempt, as a later
    /// owner may have accepted the call.
    RouterEffects handleAnswer(ForwardId forwardId, const Jobs::CallAnswer &answer);

    /// Handles a call that came back because the receiver doesn't own the jobs (any more). It waits for the next route or for retry().
    /// handled tells whether the receiver had accepted the call while it was the owner.
    void handleReturned(ForwardId forwardId, bool handled);

    /// Returns the pending call of this attempt; nothing if it has been answered.
    std::optional<CallNumber> callOf(ForwardId forwardId) const;

    /// Removes one call whose caller has gone. Returns nothing if it is a cancellation, which stays. The call must be pending.
    std::optional<DroppedCall> drop(CallNumber number);

    /// Forwards a returned call again along the current route.
    RouterEffects retry(ForwardId forwardId, Base::MonoTime now);

    /// Answers the calls whose timeout has passed.
    RouterEffects expire(Base::MonoTime now);

    /// Answers all pending calls with what is known about their outcome. Used when the process stops.
    RouterEffects answerAll();

    std::optional<Base::MonoTime> nextDue() const;

    std::size_t pending() const
    {
        return calls_.size();
    }

private:
    struct Pending {
        Jobs::Call call;
        Base::MonoTime answerBy{}; ///< shortly before the caller stops waiting
        Base::MonoTime refuseAt{}; ///< when the call is answered if it has not been forwarded by then
        ForwardId forwardId = 0; ///< latest attempt; 0 if there was none
        std::vector<ForwardId> forwardIds; ///< all attempts
        bool returned = false; ///< the receiver of the latest attempt didn't own the jobs
        bool handled = false; ///< a former owner has, or may have, accepted the call
    };

    std::optional<RouterEffect> forward(CallNumber number, Pending &pending, Base::MonoTime now);
    Base::MonoTime dueTime(const Pending &pending) const;
    void remove(CallNumber number);

    Route route_;
    std::unordered_map<CallNumber, Pending> calls_;
    std::unordered_map<ForwardId, CallNumber> callsByForwardId_; ///< of pending calls
    ForwardId lastForwardId_ = 0;
    std::set<std::pair<Base::MonoTime, CallNumber>> due_;
};

} // namespace LaburnumFlow::EntryNode
