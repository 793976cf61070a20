#include "rulesfeed.h"

#include "entrynodeconstants.h"

#include <algorithm>

namespace LaburnumFlow::EntryNode {

namespace {

using Phase = RulesFeedState::Phase;

struct Context {
    RulesFeedState &state;
    RulesFeedEffects &effects;
};

/// Lets the next call begin at once, unless the latest one has ended too soon.
void beginNextCall(RulesFeedState &state)
{
    state.phase = Phase::Waiting;
    state.callNotBefore = std::max(state.now, state.callStartedAt + minRulesCallInterval);
}

/// Calls that fail at once are spaced out; one that has waited for an answer in vain is repeated at once.
void retry(RulesFeedState &state)
{
    state.phase = Phase::Waiting;
    state.callNotBefore = std::max(state.now, state.callStartedAt + rulesRetryDelay);
}

void watchFrom(RulesFeedState &state, std::int64_t revision)
{
    state.watchAfter = revision;
    state.nextWatchAfter.reset();
}

/// A late answer may hold an older document than an earlier one.
void adopt(Context &context, const RulesText &document)
{
    if (document.revision <= context.state.adoptedRevision) {
        return;
    }
    context.state.adoptedRevision = document.revision;
    context.effects.push_back(AdoptRules{document});
}

void handle(Context &context, const TimePassed &event)
{
    context.state.now = event.now;
}

void handle(Context &context, const RulesRead &event)
{
    RulesFeedState &state = context.state;
    state.storeAnswers = event.document.has_value();
    if (!event.document) {
        retry(state);
        return;
    }
    beginNextCall(state);
    watchFrom(state, std::max(event.storeRevision, event.document->revision));
    adopt(context, *event.document);
}

/// Moves the start of the watch on, so that it stays within the store's history. A store may withhold a change for a while, so the revision that came with
/// an answer without changes counts only once a later answer still names no change.
void advanceWatch(RulesFeedState &state, std::int64_t storeRevision)
{
    const WatchStart heard{storeRevision, state.now};
    if (!state.nextWatchAfter) {
        state.nextWatchAfter = heard;
        return;
    }
    if (state.now - state.nextWatchAfter->heardAt >= watchSettleTime) {
        state.watchAfter = std::max(state.watchAfter, state.nextWatchAfter->revision);
        state.nextWatchAfter = heard;
    }
}

void handle(Context &context, const RulesWatched &event)
{
    RulesFeedState &state = context.state;
    state.storeAnswers = event.outcome != RulesWatched::Outcome::Failed;
    if (!state.storeAnswers) {
        retry(state);
        return;
    }
    beginNextCall(state);
    if (event.outcome == RulesWatched::Outcome::HistoryLost) {
        watchFrom(state, 0);
        return;
    }
    // The revisions of a store that was restored from a backup begin anew.
    if (event.storeRevision < state.watchAfter) {
        watchFrom(state, 0);
        state.adoptedRevision = 0;
        return;
    }
    if (event.document) {
        adopt(context, *event.document);
    }
    if (event.changedAt > 0) {
        watchFrom(state, event.changedAt);
    } else {
        advanceWatch(state, event.storeRevision);
    }
}

void handle(Context &context, const RulesRole &event)
{
    context.state.followsPeers = event.followsPeers;
    context.state.readsForOthers = event.readsForOthers;
}

void handle(Context &context, const RulesLearned &event)
{
    RulesFeedState &state = context.state;
    state.adoptedRevision = std::max(state.adoptedRevision, event.revision);
    // A lost history is made up for by a read only.
    if (state.watchAfter != 0 && event.watchAfter > state.watchAfter) {
        watchFrom(state, event.watchAfter);
    }
}

bool needsStore(const RulesFeedState &state)
{
    return !state.followsPeers || state.adoptedRevision == 0;
}

Base::MonoTime callDue(const RulesFeedState &state)
{
    if (state.watchAfter != 0 || state.readStartedAt == Base::MonoTime{}) {
        return state.callNotBefore;
    }
    return std::max(state.callNotBefore, state.readStartedAt + rulesRetryDelay);
}

void call(Context &context)
{
    RulesFeedState &state = context.state;
    if (state.phase != Phase::Waiting || !needsStore(state) || state.now < callDue(state)) {
        return;
    }
    state.callStartedAt = state.now;
    if (state.watchAfter == 0) {
        state.phase = Phase::Reading;
        state.readStartedAt = state.now;
        context.effects.push_back(ReadRules{});
        return;
    }
    state.phase = Phase::Watching;
    context.effects.push_back(WatchRules{state.watchAfter, state.readsForOthers ? readersWatchWait : watchWait});
}

} // namespace

RulesFeedEffects reduce(RulesFeedState &state, const RulesFeedEvent &event)
{
    RulesFeedEffects effects;
    Context context{state, effects};
    std::visit([&context](const auto &what) { handle(context, what); }, event);
    call(context);
    return effects;
}

std::optional<Base::MonoTime> nextDue(const RulesFeedState &state)
{
    return state.phase == Phase::Waiting && needsStore(state) ? std::optional(callDue(state)) : std::nullopt;
}

} // namespace LaburnumFlow::EntryNode
