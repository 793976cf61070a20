#pragma once

#include "jobs/messages.h"

#include "base/types.h"

#include <cstdint>
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

/// Identifies one passing of a call to an owner, as a call may be passed on several times.
using ForwardId = std::uint64_t;

/// Where calls are handled at present.
struct NoRoute {
};

struct LocalRoute {
};

struct PeerRoute {
    std::string name;
};

using Route = std::variant<NoRoute, LocalRoute, PeerRoute>;

/// Hands the call to the owner in this process.
struct HandleLocally {
    ForwardId forwardId = 0;
    Jobs::Call call;
};

struct SendToPeer {
    std::string name;
    Jobs::RelayedCall call; ///< numbered by its pass
};

/// The final answer for the caller.
struct AnswerCaller {
    CallNumber number = 0;
    Jobs::CallAnswer answer;
};

using RouterEffect = std::variant<HandleLocally, SendToPeer, AnswerCaller>;
using RouterEffects = std::vector<RouterEffect>;

/// The answer to a call that is not passed on to an owner. A best-effort job may be one that its caller sends again after it
/// has run under an owner, and only owners know of it; a stored job has not run.
Jobs::CallAnswer answerWithoutOwner(const Jobs::Call &call);

/// Calls of this entry's clients on their way to the owner. A call is passed on again when the owner changes, as jobs
/// are known by their IDs; it is answered in time even if no owner can be reached.
class CallRouter
{
public:
    /// callerTimeout: how long the caller waits.
    RouterEffects accept(CallNumber number, Jobs::Call call, std::optional<Base::Duration> callerTimeout, Base::MonoTime now);

    /// Calls that were passed on elsewhere are passed on again.
    RouterEffects route(Route route);

    /// A refusal counts only if it answers the latest pass: a later owner may have accepted the call.
    RouterEffects handleAnswer(ForwardId forwardId, const Jobs::CallAnswer &answer);

    /// The receiver does not own the jobs, or no more; the call waits for the next route, or for retry().
    /// handled: the receiver had taken it before.
    void handleReturned(ForwardId forwardId, bool handled);

    /// Passes a returned call on by the present route.
    RouterEffects retry(ForwardId forwardId);

    /// Answers the calls whose time has run out.
    RouterEffects expire(Base::MonoTime now);

    /// Answers all calls, as far as is known what became of them.
    RouterEffects answerAll();

    std::optional<Base::MonoTime> nextDue() const;

    std::size_t pending() const
    {
        return calls_.size();
    }

private:
    struct Pending {
        Jobs::Call call;
        Base::MonoTime answerBy{}; ///< the caller stops waiting soon after
        Base::MonoTime refuseAt{}; ///< if no owner has seen the call by then
        ForwardId forwardId = 0; ///< the latest; 0 if there is none
        std::vector<ForwardId> forwardIds; ///< all of them
        bool returned = false;
        bool handled = false; ///< by an owner that is one no more
    };

    std::optional<RouterEffect> forward(CallNumber number, Pending &pending);
    Base::MonoTime dueTime(const Pending &pending) const;
    void remove(CallNumber number);

    Route route_;
    std::unordered_map<CallNumber, Pending> calls_;
    std::unordered_map<ForwardId, CallNumber> callsByForwardId_; ///< of pending calls
    ForwardId lastForwardId_ = 0;
    std::set<std::pair<Base::MonoTime, CallNumber>> due_;
};

} // namespace LaburnumFlow::EntryNode
