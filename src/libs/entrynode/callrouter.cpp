#include "callrouter.h"

#include "entrynodeconstants.h"

#include <algorithm>

namespace LaburnumFlow::EntryNode {

namespace {

constexpr std::uint32_t retryAfterS = 1; ///< an owner is found within about a second

Jobs::CallAnswer lateAnswer(const Jobs::Call &call, bool everPassedOn)
{
    const bool submits = std::holds_alternative<Jobs::SubmitCall>(call);
    const bool cancels = std::holds_alternative<Jobs::CancelCall>(call);
    if (everPassedOn && (submits || cancels)) {
        return {.kind = Jobs::CallAnswer::Kind::Undecided};
    }
    return {.kind = Jobs::CallAnswer::Kind::Unavailable, .retryAfterS = retryAfterS};
}

} // namespace

std::optional<RouterEffect> CallRouter::passOn(CallNumber number, Pending &pending) const
{
    if (std::holds_alternative<NoRoute>(route_)) {
        return std::nullopt;
    }
    pending.passedOn = true;
    pending.everPassedOn = true;
    if (const auto *peer = std::get_if<PeerRoute>(&route_)) {
        return SendToPeer{peer->name, {number, pending.call}};
    }
    return HandleHere{number, pending.call};
}

Base::MonoTime CallRouter::dueOf(const Pending &pending) const
{
    return pending.everPassedOn ? pending.answerBy : std::min(pending.answerBy, pending.refuseAt);
}

RouterEffects CallRouter::accept(CallNumber number, Jobs::Call call, std::optional<Base::Duration> patience, Base::MonoTime now)
{
    const Base::Duration wait = std::max<Base::Duration>(patience.value_or(defaultPatience) - answerMargin, answerMargin);
    Pending &pending = calls_[number];
    pending.call = std::move(call);
    pending.answerBy = now + wait;
    pending.refuseAt = now + submitPatience;
    RouterEffects effects;
    if (auto effect = passOn(number, pending)) {
        effects.push_back(std::move(*effect));
    }
    due_.emplace(dueOf(pending), number);
    return effects;
}

RouterEffects CallRouter::route(Route route)
{
    route_ = std::move(route);
    RouterEffects effects;
    for (auto &[number, pending] : calls_) {
        pending.passedOn = false;
        due_.erase({dueOf(pending), number});
        if (auto effect = passOn(number, pending)) {
            effects.push_back(std::move(*effect));
        }
        due_.emplace(dueOf(pending), number);
    }
    return effects;
}

void CallRouter::forget(CallNumber number)
{
    const auto found = calls_.find(number);
    due_.erase({dueOf(found->second), number});
    calls_.erase(found);
}

RouterEffects CallRouter::answered(CallNumber number, const Jobs::CallAnswer &answer)
{
    if (!calls_.contains(number)) {
        return {};
    }
    forget(number);
    return {AnswerCaller{number, answer}};
}

void CallRouter::returned(CallNumber number)
{
    const auto found = calls_.find(number);
    if (found != calls_.end()) {
        found->second.passedOn = false;
    }
}

RouterEffects CallRouter::retry(CallNumber number)
{
    const auto found = calls_.find(number);
    if (found == calls_.end() || found->second.passedOn) {
        return {};
    }
    due_.erase({dueOf(found->second), number});
    std::optional<RouterEffect> effect = passOn(number, found->second);
    due_.emplace(dueOf(found->second), number);
    return effect ? RouterEffects{std::move(*effect)} : RouterEffects{};
}

RouterEffects CallRouter::expire(Base::MonoTime now)
{
    RouterEffects effects;
    while (!due_.empty() && due_.begin()->first <= now) {
        const CallNumber number = due_.begin()->second;
        const Pending &pending = calls_.at(number);
        effects.push_back(AnswerCaller{number, lateAnswer(pending.call, pending.everPassedOn)});
        forget(number);
    }
    return effects;
}

std::optional<Base::MonoTime> CallRouter::nextDue() const
{
    return due_.empty() ? std::nullopt : std::optional(due_.begin()->first);
}

} // namespace LaburnumFlow::EntryNode
