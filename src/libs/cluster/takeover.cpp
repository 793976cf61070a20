#include "takeover.h"

#include "clusterconstants.h"
#include "ownership.h"
#include "steps.h"

#include <algorithm>

namespace LaburnumFlow::Cluster::Internal {

namespace {

/// Returns whether the member has adopted a map after the epoch, was replaced by a process that has, or is confirmed as dead.
bool hasAcknowledged(const ClusterState &state, const Protocol::EntryRecord &member, Protocol::Epoch epoch)
{
    const auto &dead = state.map->confirmedDead;
    if (std::find(dead.begin(), dead.end(), formatProcessId(member.id)) != dead.end()) {
        return true;
    }
    return std::any_of(state.acknowledged.begin(), state.acknowledged.end(), [&](const auto &each) {
        const auto &[id, acknowledgement] = each;
        // Two processes can't use one address at a time, so a process at the member's address has replaced it.
        const bool same = id == member.id || (id.name == member.id.name && acknowledgement.peer == member.peer);
        return same && acknowledgement.epoch > epoch;
    });
}

bool allSetsAcknowledged(const ClusterState &state)
{
    const auto &sets = state.map->unfenced;
    return std::all_of(sets.begin(), sets.end(), [&](const auto &set) { return acknowledgementCount(state, set) >= (set.entries.size() + 1) / 2; });
}

/// Returns when the authority of all former owners ends, or nothing while acknowledgements are missing.
std::optional<Base::MonoTime> formerAuthorityEndsAt(const Takeover &takeover)
{
    if (takeover.formerProcessEnded) {
        return takeover.mapSeenAt;
    }
    if (!takeover.acknowledgedAt) {
        return std::nullopt;
    }
    return std::max(takeover.mapSeenAt + withClockDrift(Protocol::maxConfirmationAge), *takeover.acknowledgedAt + withClockDrift(Protocol::maxEchoAge));
}

/// Returns when agents refuse all starts of former owners, including delayed ones, or nothing while acknowledgements are missing.
std::optional<Base::MonoTime> fencingEndsAt(const Takeover &takeover)
{
    const std::optional<Base::MonoTime> end = formerAuthorityEndsAt(takeover);
    return end ? std::optional(*end + withClockDrift(Protocol::maxTokenAge)) : std::nullopt;
}

bool allAgentsReplied(const ClusterState &state)
{
    const Takeover &takeover = *state.takeover;
    const auto replied = [&](const std::string &agent) { return takeover.agentsReplied.contains(agent); };
    return std::all_of(state.agents.begin(), state.agents.end(), [&](const auto &agent) { return replied(agent.first); })
           && std::all_of(takeover.agentsOfPeers.begin(), takeover.agentsOfPeers.end(), replied);
}

/// Returns whether each agent that replied is known to have lived on until the moment. The next process of one that ended doesn't know the epoch that its
/// reply promised to refuse.
bool allRepliesHeldUntil(const ClusterState &state, Base::MonoTime moment)
{
    return std::all_of(state.agents.begin(), state.agents.end(), [&](const auto &agent) {
        return !state.takeover->agentsReplied.contains(agent.first) || agent.second.tokenReceivedAt >= moment + maxHeartbeatDelay;
    });
}

void sendFenceQueries(ClusterState &state, Step &step)
{
    Takeover &takeover = *state.takeover;
    if (takeover.partitions.empty()) {
        return;
    }
    for (const auto &[name, agent] : state.agents) {
        if (agent.linkUp && takeover.agentsQueried.insert(name).second) {
            const std::vector<Protocol::Partition> partitions(takeover.partitions.begin(), takeover.partitions.end());
            step.effects.emplace_back(Events::SendToAgent{name, Protocol::FenceQuery{takeover.epoch, partitions}});
            count(step, "takeover.fence-queries");
        }
    }
}

TakeoverRecord makeTakeoverRecord(const ClusterState &state)
{
    const Takeover &takeover = *state.takeover;
    TakeoverRecord record;
    if (takeover.formerProcessEnded) {
        record.at = state.startedWall.value_or(state.wall);
        return record;
    }
    // Former owners may accept submissions until their authority ends, which is later than the write of the new map.
    const Base::MonoTime authorityEnd = formerAuthorityEndsAt(takeover).value_or(state.now);
    const Base::MonoTime since = state.now - authorityEnd;
    record.at = state.wall - std::chrono::duration_cast<Base::WallTime>(since);
    record.complete = allAgentsReplied(state) && allRepliesHeldUntil(state, authorityEnd);
    record.unstartedSince = std::max(state.agentsKnownSince.value_or(state.wall), state.ledgerLostWall);
    return record;
}

void reportRecovered(Step &step, Takeover &takeover)
{
    for (auto &[agent, records] : takeover.recovered) {
        std::erase_if(records, [&](const auto &record) { return !takeover.partitions.contains(record.partition); });
        if (!records.empty()) {
            step.changes.emplace_back(AttemptsRecovered{agent, std::move(records)});
        }
    }
    takeover.recovered.clear();
}

void finishTakeover(ClusterState &state, Step &step)
{
    Takeover &takeover = *state.takeover;
    const TakeoverRecord record = makeTakeoverRecord(state);
    std::size_t missing = 0;
    for (const auto &[name, agent] : state.agents) {
        missing += takeover.agentsReplied.contains(name) ? 0 : 1;
    }
    reportRecovered(step, takeover);
    for (const Protocol::Partition partition : takeover.partitions) {
        state.lastTakeovers[partition] = record;
    }
    count(step, "takeover.finished");
    if (missing > 0) {
        step.effects.emplace_back(Events::Count{"takeover.agents-missing", missing});
    }
    log(step,
        "takeover-finished",
        {{"epoch", std::to_string(takeover.epoch)}, {"partitions", std::to_string(takeover.partitions.size())}, {"agentsMissing", std::to_string(missing)}});
    step.changes.emplace_back(PartitionsGained{{takeover.partitions.begin(), takeover.partitions.end()}});
    takeover.partitions.clear();
}

} // namespace

std::size_t acknowledgementCount(const ClusterState &state, const Protocol::UnfencedSet &set)
{
    return static_cast<std::size_t>(
        std::count_if(set.entries.begin(), set.entries.end(), [&](const auto &member) { return hasAcknowledged(state, member, set.epoch); }));
}

void recordAcknowledgement(ClusterState &state, const Protocol::EntryRecord &from, Protocol::Epoch epoch)
{
    if (epoch == 0) {
        return;
    }
    Acknowledgement &known = state.acknowledged[from.id];
    known.epoch = std::max(known.epoch, epoch);
    known.peer = from.peer;
}

void recordAgentsOfPeer(ClusterState &state, const Protocol::MapAck &ack)
{
    if (state.takeover && ack.epoch >= state.takeover->epoch) {
        state.takeover->agentsOfPeers.insert(ack.agents.begin(), ack.agents.end());
    }
}

void beginTakeover(ClusterState &state, Step &step, std::set<Protocol::Partition> partitions, bool formerProcessEnded)
{
    Takeover takeover;
    takeover.epoch = state.map->epoch;
    takeover.partitions = std::move(partitions);
    takeover.mapSeenAt = state.now;
    takeover.mapSeenWall = state.wall;
    takeover.formerProcessEnded = formerProcessEnded;
    if (!takeover.partitions.empty()) {
        count(step, "takeover.started");
        log(step, "takeover-started", {{"epoch", std::to_string(takeover.epoch)}, {"partitions", std::to_string(takeover.partitions.size())}});
    }
    state.takeover = std::move(takeover);
    takeoverTick(state, step);
}

void takeoverTick(ClusterState &state, Step &step)
{
    if (!state.takeover) {
        return;
    }
    Takeover &takeover = *state.takeover;
    if (!takeover.acknowledgedAt && allSetsAcknowledged(state)) {
        takeover.acknowledgedAt = state.now;
    }
    sendFenceQueries(state, step);
    const std::optional<Base::MonoTime> end = fencingEndsAt(takeover);
    if (!end || state.now < *end) {
        return;
    }
    const bool repliesDue = state.now >= takeover.mapSeenAt + Protocol::fenceReplyTimeout;
    if (!takeover.partitions.empty() && (repliesDue || allAgentsReplied(state))) {
        finishTakeover(state, step);
    }
    if (takeover.partitions.empty() && state.map->unfenced.empty()) {
        state.takeover.reset();
    }
}

void handleFenceReply(ClusterState &state, Step &step, const Base::ProcessId &agent, const Protocol::FenceReply &reply)
{
    const auto known = state.agents.find(agent.name);
    const bool awaited = state.takeover && reply.epoch == state.takeover->epoch && state.takeover->agentsQueried.contains(agent.name);
    if (!awaited || state.takeover->partitions.empty() || known == state.agents.end() || known->second.id != agent) {
        count(step, "takeover.reply-ignored");
        return;
    }
    std::vector<Protocol::AttemptRecord> &records = state.takeover->recovered[agent.name];
    records.insert(records.end(), reply.records.begin(), reply.records.end());
    if (reply.last) {
        state.takeover->agentsReplied.insert(agent.name);
        takeoverTick(state, step);
    }
}

void resetFenceQuery(ClusterState &state, const std::string &agent)
{
    if (state.takeover && !state.takeover->agentsReplied.contains(agent)) {
        state.takeover->agentsQueried.erase(agent);
        state.takeover->recovered.erase(agent);
    }
}

bool mayClearUnfenced(const ClusterState &state)
{
    if (!state.takeover || state.takeover->epoch != state.map->epoch || !isMember(*state.map, state.self.id)) {
        return false;
    }
    const auto self = std::find_if(state.map->entries.begin(), state.map->entries.end(), [&](const auto &entry) { return entry.id == state.self.id; });
    const auto rank = self - state.map->entries.begin();
    const std::optional<Base::MonoTime> end = fencingEndsAt(*state.takeover);
    return end && state.now >= *end + unfencedClearStagger * rank;
}

} // namespace LaburnumFlow::Cluster::Internal
