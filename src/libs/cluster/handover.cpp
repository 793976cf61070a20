#include "handover.h"

#include "clusterconstants.h"
#include "ownership.h"
#include "steps.h"

#include <algorithm>
#include <iterator>

namespace LaburnumFlow::Cluster::Internal {

namespace {

/// Returns false while a takeover may have missed submissions that are still in the deduplication window. The new owner would take their ids for new ones.
bool knowsAllSubmissions(const ClusterState &state, Protocol::Partition partition)
{
    const auto found = state.lastTakeovers.find(partition);
    if (found == state.lastTakeovers.end()) {
        return true;
    }
    const TakeoverRecord &record = found->second;
    const Base::WallTime from = record.complete ? record.unstartedSince : std::max(record.at, record.unstartedSince);
    return state.wall > from + Protocol::deduplicationWindow + Protocol::maxClockSkew;
}

void abandonHandovers(ClusterState &state, Step &step)
{
    for (auto &[owner, handover] : state.handovers) {
        if (!handover.sent) {
            count(step, "handover.abandoned");
            step.changes.emplace_back(PartitionsLost{std::move(handover.partitions)});
        }
    }
    state.handovers.clear();
    state.receivedHandoverRecords.clear();
}

void sendHandover(Step &step, const std::string &owner, Handover &handover)
{
    handover.sent = true;
    step.changes.emplace_back(HandoverDue{owner, handover.partitions});
    step.changes.emplace_back(PartitionsLost{handover.partitions});
    count(step, "handover.sent");
    log(step, "handover-sent", {{"to", owner}, {"partitions", std::to_string(handover.partitions.size())}});
}

/// Ends the takeover of those of the partitions that this entry still waits for, and returns them.
std::vector<Protocol::Partition> claimAwaitedPartitions(ClusterState &state, const std::vector<Protocol::Partition> &partitions)
{
    std::vector<Protocol::Partition> awaited;
    for (const Protocol::Partition partition : partitions) {
        if (state.takeover && state.takeover->partitions.erase(partition) > 0) {
            awaited.push_back(partition);
            state.lastTakeovers.erase(partition);
        }
    }
    return awaited;
}

} // namespace

void beginHandovers(ClusterState &state, Step &step, const std::vector<Protocol::Partition> &lost, bool direct)
{
    abandonHandovers(state, step);
    std::vector<Protocol::Partition> dropped;
    for (const Protocol::Partition partition : lost) {
        const Protocol::EntryRecord *owner = ownerRecord(*state.map, partition);
        if (!direct || owner == nullptr || owner->id.name == state.self.id.name || !knowsAllSubmissions(state, partition)) {
            dropped.push_back(partition);
        } else {
            Handover &handover = state.handovers[owner->id.name];
            handover.epoch = state.map->epoch;
            handover.since = state.now;
            handover.partitions.push_back(partition);
        }
        state.lastTakeovers.erase(partition);
    }
    if (!dropped.empty()) {
        step.changes.emplace_back(PartitionsLost{std::move(dropped)});
    }
    handoverTick(state, step);
}

void handoverTick(ClusterState &state, Step &step)
{
    for (auto each = state.handovers.begin(); each != state.handovers.end();) {
        auto &[owner, handover] = *each;
        const auto peer = state.peers.find(owner);
        if (!handover.sent && peer != state.peers.end() && peer->second.linkUp) {
            sendHandover(step, owner, handover);
        }
        if (state.now - handover.since <= handoverTimeout) {
            ++each;
            continue;
        }
        count(step, "handover.abandoned");
        if (!handover.sent) {
            step.changes.emplace_back(PartitionsLost{std::move(handover.partitions)});
        }
        each = state.handovers.erase(each);
    }
}

void handleLedgerHandover(ClusterState &state, Step &step, const Base::ProcessId &from, const Protocol::LedgerHandover &handover)
{
    if (!state.map || handover.epoch != state.map->epoch) {
        count(step, "handover.epoch-mismatch");
        return;
    }
    std::vector<Protocol::LedgerRecord> &records = state.receivedHandoverRecords[from.name];
    records.insert(records.end(), handover.records.begin(), handover.records.end());
    if (!handover.last) {
        return;
    }
    std::vector<Protocol::LedgerRecord> received = std::move(records);
    state.receivedHandoverRecords.erase(from.name);
    step.effects.emplace_back(Events::SendToPeer{from.name, Protocol::HandoverAck{state.self.id, handover.epoch}});
    std::vector<Protocol::Partition> gained = claimAwaitedPartitions(state, handover.partitions);
    if (gained.empty()) {
        count(step, "handover.too-late");
        return;
    }
    std::erase_if(received, [&](const auto &record) { return std::find(gained.begin(), gained.end(), record.partition) == gained.end(); });
    count(step, "handover.received");
    log(step, "handover-received", {{"from", from.name}, {"partitions", std::to_string(gained.size())}, {"records", std::to_string(received.size())}});
    step.changes.emplace_back(LedgerReceived{std::move(received)});
    step.changes.emplace_back(PartitionsGained{std::move(gained)});
}

void handleHandoverAck(ClusterState &state, const Protocol::HandoverAck &ack)
{
    const auto found = state.handovers.find(ack.from.name);
    if (found != state.handovers.end() && found->second.sent && found->second.epoch == ack.epoch) {
        state.handovers.erase(found);
    }
}

void leaveTick(ClusterState &state, Step &step)
{
    if (!state.leaving || state.leaveFinished) {
        return;
    }
    const bool member = state.map && isMember(*state.map, state.self.id);
    const bool alone = member && state.map->entries.size() == 1;
    const bool done = !state.mapWritePending && state.handovers.empty() && (!member || alone);
    const bool late = state.now - state.leaveRequestedAt >= leaveTimeout;
    if (!done && !late) {
        return;
    }
    state.leaveFinished = true;
    count(step, done ? "leave.finished" : "leave.given-up");
    log(step, "left", {{"member", member ? "yes" : "no"}});
}

} // namespace LaburnumFlow::Cluster::Internal
