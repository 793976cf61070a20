#include "callrouter.h"

#include "entrynodeconstants.h"

#include "jobs/jobsconstants.h"

#include <algorithm>

namespace LaburnumFlow::EntryNode {

namespace {

constexpr std::uint32_t retryAfterS = 1; ///< a new owner is found within about a second

bool isRefusal(const Jobs::CallAnswer &answer)
{
    using Kind = Jobs::CallAnswer::Kind;
    return answer.kind == Kind::Overloaded || answer.kind == Kind::Unavailable || answer.kind == Kind::Unsupported || answer.kind == Kind::UnknownQueue;
}

/// Turns an owner's refusal into an unknown outcome if an earlier owner may have run the job. That concerns only best-effort jobs: an owner
/// that finds no stored job knows that none was accepted, but of best-effort jobs it only knows its own.
Jobs::CallAnswer adjustForPossibleRun(const Jobs::Call &call, const Jobs::CallAnswer &answer)
{
    const auto *submit = std::get_if<Jobs::SubmitCall>(&call);
    if (submit != nullptr && submit->bestEffort && submit->mayHaveRun && isRefusal(answer)) {
        return {.kind = Jobs::CallAnswer::Kind::OutcomeUnknown};
    }
    return answer;
}

bool isCancellation(const Jobs::Call &call)
{
    return std::holds_alternative<Jobs::CancelCall>(call);
}

/// Returns whether the answer stays true whatever other owners do.
bool isDefinitive(const Jobs::CallAnswer &answer)
{
    return answer.kind == Jobs::CallAnswer::Kind::Accepted || (answer.kind == Jobs::CallAnswer::Kind::State && Jobs::isFinal(answer.state));
}

Jobs::CallAnswer timeoutAnswer(const Jobs::Call &call, bool everForwarded)
{
    const bool submits = std::holds_alternative<Jobs::SubmitCall>(call);
    if (everForwarded && (submits || isCancellation(call))) {
        return {.kind = Jobs::CallAnswer::Kind::OutcomeUnknown};
    }
    return answerWithoutOwner(call);
}

} // namespace

Jobs::CallAnswer answerWithoutOwner(const Jobs::Call &call)
{
    const auto *submit = std::get_if<Jobs::SubmitCall>(&call);
    if (submit != nullptr && submit->bestEffort) {
        return {.kind = Jobs::CallAnswer::Kind::OutcomeUnknown};
    }
    return {.kind = Jobs::CallAnswer::Kind::Unavailable, .retryAfterS = retryAfterS};
}

std::optional<RouterEffect> CallRouter::forward(CallNumber number, Pending &pending, Base::MonoTime now)
{
    const bool isLate = now >= pending.answerBy && !isCancellation(pending.call);
    if (isLate || std::holds_alternative<NoRoute>(route_)) {
        return std::nullopt;
    }
    auto *submit = std::get_if<Jobs::SubmitCall>(&pending.call);
    pending.handled |= pending.forwardId != 0 && !pending.returned;
    if (submit != nullptr && pending.handled) {
        submit->mayHaveRun = true;
    }
    pending.forwardId = ++lastForwardId_;
    pending.returned = false;
    pending.forwardIds.push_back(pending.forwardId);
    callsByForwardId_.emplace(pending.forwardId, number);
    if (const auto *peer = std::get_if<PeerRoute>(&route_)) {
        return SendToPeer{peer->name, {pending.forwardId, pending.call}};
    }
    return HandleLocally{pending.forwardId, pending.call};
}

Base::MonoTime CallRouter::dueTime(const Pending &pending) const
{
    return pending.forwardId != 0 ? pending.answerBy : std::min(pending.answerBy, pending.refuseAt);
}

RouterEffects CallRouter::accept(CallNumber number, Jobs::Call call, std::optional<Base::Duration> callerTimeout, Base::MonoTime now)
{
    const Base::Duration wait = std::max<Base::Duration>(callerTimeout.value_or(Jobs::defaultCallerTimeout) - answerMargin, answerMargin);
    Pending &pending = calls_[number];
    pending.call = std::move(call);
    pending.answerBy = now + wait;
    pending.refuseAt = now + submitTimeout;
    RouterEffects effects;
    if (auto effect = forward(number, pending, now)) {
        effects.push_back(std::move(*effect));
    }
    due_.emplace(dueTime(pending), number);
    return effects;
}

RouterEffects CallRouter::route(Route route, Base::MonoTime now)
{
    route_ = std::move(route);
    RouterEffects effects;
    for (auto &[number, pending] : calls_) {
        due_.erase({dueTime(pending), number});
        if (auto effect = forward(number, pending, now)) {
            effects.push_back(std::move(*effect));
        }
        due_.emplace(dueTime(pending), number);
    }
    return effects;
}

std::optional<CallNumber> CallRouter::callOf(ForwardId forwardId) const
{
    const auto found = callsByForwardId_.find(forwardId);
    return found == callsByForwardId_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<DroppedCall> CallRouter::drop(CallNumber number)
{
    Pending &pending = calls_.at(number);
    if (isCancellation(pending.call)) {
        return std::nullopt;
    }
    const Jobs::CallAnswer answer = timeoutAnswer(pending.call, pending.forwardId != 0);
    DroppedCall dropped{number, std::move(pending.call), answer};
    remove(number);
    return dropped;
}

std::vector<DroppedCall> CallRouter::dropUnattended(const std::function<bool(CallNumber)> &isCallerGone)
{
    std::vector<CallNumber> gone;
    for (const auto &[number, pending] : calls_) {
        if (isCallerGone(number)) {
            gone.push_back(number);
        }
    }
    std::vector<DroppedCall> dropped;
    for (const CallNumber number : gone) {
        if (std::optional<DroppedCall> call = drop(number)) {
            dropped.push_back(std::move(*call));
        }
    }
    return dropped;
}

void CallRouter::remove(CallNumber number)
{
    const auto found = calls_.find(number);
    due_.erase({dueTime(found->second), number});
    for (const ForwardId forwardId : found->second.forwardIds) {
        callsByForwardId_.erase(forwardId);
    }
    calls_.erase(found);
}

RouterEffects CallRouter::handleAnswer(ForwardId forwardId, const Jobs::CallAnswer &answer)
{
    const auto found = callsByForwardId_.find(forwardId);
    if (found == callsByForwardId_.end()) {
        return {};
    }
    const CallNumber number = found->second;
    if (calls_.at(number).forwardId != forwardId && !isDefinitive(answer)) {
        return {};
    }
    const Jobs::CallAnswer finalAnswer = adjustForPossibleRun(calls_.at(number).call, answer);
    remove(number);
    return {AnswerCaller{number, finalAnswer}};
}

void CallRouter::handleReturned(ForwardId forwardId, bool handled)
{
    const auto found = callsByForwardId_.find(forwardId);
    if (found == callsByForwardId_.end()) {
        return;
    }
    Pending &pending = calls_.at(found->second);
    pending.handled |= handled;
    pending.returned |= pending.forwardId == forwardId;
}

RouterEffects CallRouter::retry(ForwardId forwardId, Base::MonoTime now)
{
    const auto attempt = callsByForwardId_.find(forwardId);
    const auto found = attempt == callsByForwardId_.end() ? calls_.end() : calls_.find(attempt->second);
    if (found == calls_.end() || found->second.forwardId != forwardId || !found->second.returned) {
        return {};
    }
    const CallNumber number = found->first;
    due_.erase({dueTime(found->second), number});
    std::optional<RouterEffect> effect = forward(number, found->second, now);
    due_.emplace(dueTime(found->second), number);
    return effect ? RouterEffects{std::move(*effect)} : RouterEffects{};
}

RouterEffects CallRouter::answerAll()
{
    return expire(Base::MonoTime::max());
}

RouterEffects CallRouter::expire(Base::MonoTime now)
{
    RouterEffects effects;
    while (!due_.empty() && due_.begin()->first <= now) {
        const CallNumber number = due_.begin()->second;
        const Pending &pending = calls_.at(number);
        effects.push_back(AnswerCaller{number, timeoutAnswer(pending.call, pending.forwardId != 0)});
        remove(number);
    }
    return effects;
}

std::optional<Base::MonoTime> CallRouter::nextDue() const
{
    return due_.empty() ? std::nullopt : std::optional(due_.begin()->first);
}

} // namespace LaburnumFlow::EntryNode
