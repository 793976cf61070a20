#include "ownerchangemodel.h"

#include <algorithm>
#include <utility>

namespace LaburnumFlow::EntryNode::Testing {

namespace {

constexpr double agentRestartShare = 0.15; ///< Of the times at which a fault begins.
constexpr double agentStandStillShare = 0.15; ///< Of the times at which a fault begins.
constexpr double workerRestartShare = 0.15; ///< Of the times at which a fault begins.

} // namespace

/// Faults hit the owner more often than others, as only those change the owner.
OwnerChangeModel::NodeIndex OwnerChangeModel::likelyOwner()
{
    for (NodeIndex index = 0; index < entries_.size(); ++index) {
        if (entries_[index].owner && chance(0.6)) {
            return index;
        }
    }
    return randomIndex(entries_.size());
}

void OwnerChangeModel::beginFault()
{
    nextFaultAt_ = now_ + randomTime(100ms, 1500ms);
    const NodeIndex index = likelyOwner();
    if (options_.agentsRestart && chance(agentRestartShare)) {
        restartAgent(firstAgent + randomIndex(agents_.size()));
    }
    if (options_.workersRestart && chance(workerRestartShare)) {
        restartWorker(firstAgent + randomIndex(agents_.size()));
    }
    if (options_.agentsStandStill && chance(agentStandStillShare)) {
        suspendAgent(firstAgent + randomIndex(agents_.size()));
    }
    switch (randomIndex(7)) {
    case 0:
        refuseByStore(index, randomTime(300ms, 6s));
        return;
    case 1:
        entries_[index].standsStillUntil = now_ + randomTime(100ms, 3s);
        note(entries_[index].record.name + " stands still");
        return;
    case 2:
        kill(index, randomTime(100ms, 3s));
        return;
    case 3:
        cutAgents(index);
        return;
    case 4:
    case 5:
        beginPartitionFault(index);
        return;
    default:
        isolateEntry(index, randomTime(200ms, 4s));
        return;
    }
}

void OwnerChangeModel::beginPartitionFault(NodeIndex index)
{
    switch (options_.witnesses) {
    case Witnesses::WithFormerOwner:
        separate(index);
        return;
    case Witnesses::Absent:
        isolateLastEntry(index);
        return;
    case Witnesses::LinkedToSuccessor:
    case Witnesses::Killed:
    case Witnesses::StandStill:
        supersede(index);
        return;
    }
}

/// The store turns away one entry at a time, except in a partition.
void OwnerChangeModel::refuseByStore(NodeIndex index, Base::Duration time)
{
    const bool other = std::any_of(entries_.begin(), entries_.end(), [this](const Entry &entry) { return now_ < entry.refusedByStoreUntil; });
    if (other) {
        return;
    }
    entries_[index].refusedByStoreUntil = now_ + time;
    note("the store turns away " + entries_[index].record.name);
}

void OwnerChangeModel::kill(NodeIndex index, Base::Duration downTime)
{
    Entry &entry = entries_[index];
    if (!entry.up) {
        return;
    }
    note(entry.record.name + " is killed");
    entry.up = false;
    entry.owner.reset();
    const Base::MonoTime refusedUntil = entry.refusedByStoreUntil;
    for (const auto &[id, link] : links_) {
        if (link.dialer == index || link.acceptor == index) {
            breakLink(id, 1ms, 5ms);
        }
    }
    post(downTime, [this, index, refusedUntil] {
        startEntry(index);
        entries_[index].refusedByStoreUntil = refusedUntil;
        note(entries_[index].record.name + " starts again");
    });
}

/// Lets another entry take over from the given one, which the store turns away, while most agents stay with the former owner. Entries that
/// are linked to it are down or stand still; they have the store and answer when they run again.
void OwnerChangeModel::supersede(NodeIndex index)
{
    if (now_ < isolationUntil_ || !entries_[index].up) {
        return;
    }
    const NodeIndex successor = (index + 1 + randomIndex(entries_.size() - 1)) % entries_.size();
    const Base::Duration refused = randomTime(4500ms, 6s);
    const Base::Duration time = refused + randomTime(500ms, 2s);
    refuseByStore(index, refused);
    const bool ownerAlone = options_.witnesses == Witnesses::LinkedToSuccessor;
    isolateEntry(ownerAlone ? index : successor, time);
    for (NodeIndex agent = firstAgent; agent < firstAgent + agents_.size(); ++agent) {
        const bool stays = chance(0.6);
        for (NodeIndex other = 0; stays && other < entries_.size(); ++other) {
            if (other == successor || (ownerAlone && other != index)) {
                cut(other, agent, time);
            }
        }
    }
    for (NodeIndex other = 0; !ownerAlone && other < entries_.size(); ++other) {
        if (other != index && other != successor) {
            suspendWitness(other, randomTime(4s, 6s));
        }
    }
    nextFaultAt_ = now_ + time;
}

/// Cuts the given entries and about half of the agents off from the store, the other entries and the other agents.
void OwnerChangeModel::partition(const std::vector<NodeIndex> &side, Base::Duration time)
{
    const auto isOnSide = [&side](NodeIndex node) { return std::find(side.begin(), side.end(), node) != side.end(); };
    for (const NodeIndex index : side) {
        entries_[index].refusedByStoreUntil = now_ + time;
        note(entries_[index].record.name + " is cut off from the store");
    }
    for (NodeIndex index = 0; index < entries_.size(); ++index) {
        for (const NodeIndex member : side) {
            if (!isOnSide(index)) {
                cut(member, index, time);
            }
        }
    }
    for (NodeIndex agent = firstAgent; agent < firstAgent + agents_.size(); ++agent) {
        const bool withSide = chance(0.5);
        if (withSide) {
            agentAt(agent).cutFromStoreUntil = now_ + time;
            note(agentAt(agent).name + " is cut off from the store");
        }
        for (NodeIndex index = 0; index < entries_.size(); ++index) {
            if (isOnSide(index) != withSide) {
                cut(index, agent, time);
            }
        }
    }
    isolationUntil_ = now_ + time;
    nextFaultAt_ = now_ + time + randomTime(500ms, 2s);
}

/// Separates most entries, the given one among them, from the store and the others.
void OwnerChangeModel::separate(NodeIndex index)
{
    if (now_ < isolationUntil_ || !entries_[index].up) {
        return;
    }
    std::vector<NodeIndex> side;
    for (std::size_t offset = 0; offset < entries_.size() / 2 + 1; ++offset) {
        side.push_back((index + offset) % entries_.size());
    }
    partition(side, randomTime(options_.partitionTime.shortest, options_.partitionTime.longest));
}

/// Separates the given entry from the store and the others after the others have been down for so long that their presence has lapsed.
void OwnerChangeModel::isolateLastEntry(NodeIndex index)
{
    if (now_ < isolationUntil_ || !entries_[index].up) {
        return;
    }
    constexpr Base::Duration lapse = 2s;
    for (NodeIndex other = 0; other < entries_.size(); ++other) {
        if (other != index) {
            kill(other, lapse + randomTime(100ms, 1s));
        }
    }
    const Base::Duration time = randomTime(options_.partitionTime.shortest, options_.partitionTime.longest);
    isolationUntil_ = now_ + lapse;
    nextFaultAt_ = now_ + lapse + time;
    post(lapse, [this, index, time] { partition({index}, time); });
}

void OwnerChangeModel::suspendWitness(NodeIndex index, Base::Duration time)
{
    if (options_.witnesses == Witnesses::Killed) {
        kill(index, time);
        return;
    }
    entries_[index].standsStillUntil = now_ + time;
    note(entries_[index].record.name + " stands still");
}

void OwnerChangeModel::cutAgents(NodeIndex index)
{
    const Base::Duration time = randomTime(200ms, 4s);
    for (NodeIndex agent = firstAgent; agent < firstAgent + agents_.size(); ++agent) {
        if (chance(0.6)) {
            cut(index, agent, time);
            note(entries_[index].record.name + " is cut off from " + agentAt(agent).name);
        }
    }
}

void OwnerChangeModel::isolateEntry(NodeIndex index, Base::Duration time)
{
    if (now_ < isolationUntil_) {
        return;
    }
    isolationUntil_ = now_ + time;
    for (NodeIndex other = 0; other < entries_.size(); ++other) {
        if (other != index) {
            cut(index, other, time);
        }
    }
    note(entries_[index].record.name + " is cut off from the other entries");
}

} // namespace LaburnumFlow::EntryNode::Testing
