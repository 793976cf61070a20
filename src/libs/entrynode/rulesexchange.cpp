#include "rulesexchange.h"

#include "entrynodeconstants.h"

#include "base/earliest.h"

#include <algorithm>
#include <tuple>

namespace LaburnumFlow::EntryNode {

namespace {

using Source = RulesExchangeState::Source;

struct Context {
    RulesExchangeState &state;
    RulesExchangeEffects &effects;
};

bool isHeard(const RulesExchangeState &state, const Source &source)
{
    return state.now < source.heardAt + rulesSourceTimeout;
}

/// Returns the name of a source with the newest version, another than the one that was asked last if there are several.
std::string bestSource(const RulesExchangeState &state)
{
    const std::uint64_t newest = newestVersion(state);
    std::string best;
    for (const auto &[name, source] : state.sources) {
        if (source.announced.version == newest && (best.empty() || best == state.lastAsked)) {
            best = name;
        }
    }
    return best;
}

void updateBehind(RulesExchangeState &state)
{
    if (newestVersion(state) <= state.own.version) {
        state.behindSince.reset();
        state.behindReported = false;
        state.request.reset();
    } else if (!state.behindSince) {
        state.behindSince = state.now;
    }
}

bool mayAnnounce(const RulesExchangeState &state)
{
    return state.reader && state.storeAnswers && state.own.version > 0;
}

void loseSource(RulesExchangeState &state, const std::string &name)
{
    state.sources.erase(name);
    if (state.request && state.request->source == name) {
        state.request.reset();
    }
}

void handle(Context &context, const TimePassed &event)
{
    context.state.now = event.now;
}

void handle(Context &context, const OwnRules &event)
{
    RulesExchangeState &state = context.state;
    if (event.rules.version > state.own.version) {
        state.announceNotBefore = {};
        state.needsCompleteUpdate = false;
    }
    state.own = event.rules;
}

void handle(Context &context, const RulesReader &event)
{
    RulesExchangeState &state = context.state;
    const bool could = mayAnnounce(state);
    state.reader = event.reader;
    state.storeAnswers = event.storeAnswers;
    if (!could && mayAnnounce(state)) {
        state.announceNotBefore = {};
    }
}

void handle(Context &context, const RulesAnnounced &event)
{
    RulesExchangeState &state = context.state;
    const Jobs::RulesAnnouncement &announced = event.announcement;
    if (!announced.current) {
        loseSource(state, event.name);
        return;
    }
    state.sources[event.name] = {announced, state.now};
    const bool same = announced.version == state.own.version && announced.digest == state.own.digest;
    if (same && announced.watchAfter > state.own.watchAfter) {
        context.effects.push_back(RulesConfirmed{announced});
    }
}

void handle(Context &context, const RulesSourceLost &event)
{
    loseSource(context.state, event.name);
}

void handle(Context &context, const RulesUpdateArrived &event)
{
    RulesExchangeState &state = context.state;
    state.needsCompleteUpdate = !event.fits;
    // A complete update that doesn't fit either is asked for again after a while.
    const bool mayRetry = event.fits || !state.request || !state.request->complete;
    if (mayRetry && state.request && state.request->source == event.name) {
        state.request.reset();
    }
}

void announce(Context &context)
{
    RulesExchangeState &state = context.state;
    Jobs::RulesAnnouncement announcement = state.own;
    announcement.current = mayAnnounce(state);
    const bool due = announcement.current && state.now >= state.announceNotBefore;
    const bool withdrawn = !announcement.current && state.announced;
    if (due || withdrawn) {
        state.announced = announcement.current;
        state.announceNotBefore = state.now + rulesAnnouncementInterval;
        context.effects.push_back(AnnounceRules{announcement});
    }
}

void requestUpdate(Context &context)
{
    RulesExchangeState &state = context.state;
    if (state.request && state.now >= state.request->sentAt + rulesRequestTimeout) {
        state.request.reset();
    }
    if (!state.behindSince || state.request) {
        return;
    }
    state.request = RulesExchangeState::Request{bestSource(state), state.now, state.needsCompleteUpdate};
    state.lastAsked = state.request->source;
    const Jobs::RulesRequest request = state.needsCompleteUpdate ? Jobs::RulesRequest{} : Jobs::RulesRequest{state.own.version, state.own.digest};
    context.effects.push_back(RequestRulesUpdate{state.request->source, request});
}

void reportBehind(Context &context)
{
    RulesExchangeState &state = context.state;
    if (!state.behindSince || state.behindReported || state.now < *state.behindSince + rulesBehindReportDelay) {
        return;
    }
    state.behindReported = true;
    context.effects.push_back(RulesBehind{state.own.version, newestVersion(state), state.lastAsked, state.now - *state.behindSince});
}

/// Orders entries by their suitability as rules readers, the best first.
auto readerRank(const Jobs::EntryRecord &record)
{
    return std::tuple(-static_cast<std::int64_t>(record.linkKbps), -static_cast<std::int64_t>(record.processorPercent), record.name);
}

} // namespace

RulesExchangeEffects reduce(RulesExchangeState &state, const RulesExchangeEvent &event)
{
    RulesExchangeEffects effects;
    Context context{state, effects};
    std::visit([&context](const auto &what) { handle(context, what); }, event);
    std::erase_if(state.sources, [&state](const auto &source) { return !isHeard(state, source.second); });
    updateBehind(state);
    announce(context);
    requestUpdate(context);
    reportBehind(context);
    return effects;
}

std::optional<Base::MonoTime> nextDue(const RulesExchangeState &state)
{
    Base::Earliest due;
    if (mayAnnounce(state)) {
        due.consider(state.announceNotBefore);
    }
    for (const auto &[name, source] : state.sources) {
        due.consider(source.heardAt + rulesSourceTimeout);
    }
    if (state.request) {
        due.consider(state.request->sentAt + rulesRequestTimeout);
    }
    if (state.behindSince && !state.behindReported) {
        due.consider(*state.behindSince + rulesBehindReportDelay);
    }
    if (state.behindSince && state.now < *state.behindSince + rulesBehindLimit) {
        due.consider(*state.behindSince + rulesBehindLimit);
    }
    return due.time();
}

bool followsPeers(const RulesExchangeState &state)
{
    const bool late = state.behindSince && state.now >= *state.behindSince + rulesBehindLimit;
    return !state.reader && state.own.version > 0 && !state.sources.empty() && !late;
}

std::uint64_t newestVersion(const RulesExchangeState &state)
{
    std::uint64_t newest = state.own.version;
    for (const auto &[name, source] : state.sources) {
        newest = std::max(newest, source.announced.version);
    }
    return newest;
}

bool isRulesReader(const OwnershipState &ownership)
{
    const std::string owner = ownership.owner ? ownership.owner->owner : std::string();
    std::size_t better = 0;
    std::size_t others = 0;
    for (const auto &[name, peer] : ownership.peers) {
        if (!peer.present) {
            continue;
        }
        ++others;
        const bool preferred = name != owner && readerRank(peer.record) < readerRank(ownership.self);
        better += preferred ? 1 : 0;
    }
    if (others == 0) {
        return true;
    }
    return ownership.self.name != owner && better < rulesReaders;
}

} // namespace LaburnumFlow::EntryNode
