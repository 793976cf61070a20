#include "ownerchangemodel.h"

#include <algorithm>
#include <utility>

namespace LaburnumFlow::EntryNode::Testing {

namespace {

constexpr double slowMessageShare = 0.003;
constexpr double lostResponseShare = 0.03;
constexpr Base::Duration storeTimeout = 150ms;

/// What an entry is told of a call that the store may have executed.
OwnershipEvent unknownOutcome(const OwnershipEvent &result)
{
    return std::visit([](const auto &known) -> OwnershipEvent { return std::decay_t<decltype(known)>{}; }, result);
}

std::pair<std::size_t, std::size_t> pairOf(std::size_t one, std::size_t other)
{
    return std::minmax({one, other});
}

} // namespace

bool OwnerChangeModel::isLeaseValid(std::int64_t lease) const
{
    const auto found = store_.leases.find(lease);
    return found != store_.leases.end() && now_ < found->second;
}

ClusterRead::Content OwnerChangeModel::readCluster()
{
    std::erase_if(store_.presence, [this](const auto &entry) { return !isLeaseValid(entry.second.first); });
    ClusterRead::Content content{store_.owner, store_.ownerRevision, {}, store_.confirmers, store_.confirmersRevision};
    for (const auto &[name, presence] : store_.presence) {
        content.entries.push_back(presence.second);
    }
    return content;
}

void OwnerChangeModel::callStore(NodeIndex index, const OwnershipEvent &refused, const std::function<OwnershipEvent()> &execute)
{
    if (now_ < entries_[index].refusedByStoreUntil) {
        postToEntry(2ms, index, [this, index, refused] { feedOwnership(index, refused); });
        return;
    }
    const std::uint64_t incarnation = entries_[index].record.incarnation;
    post(randomTime(1ms, 6ms), [this, index, incarnation, execute, refused] {
        const OwnershipEvent result = execute();
        if (!entries_[index].up || entries_[index].record.incarnation != incarnation) {
            return;
        }
        if (resetsStoreConnection()) {
            const OwnershipEvent reported = options_.secondSendingsRefused ? refused : unknownOutcome(result);
            postToEntry(randomTime(1ms, 3ms), index, [this, index, reported] { feedOwnership(index, reported); });
            return;
        }
        if (std::holds_alternative<ClaimEnded>(result) && chance(lostResponseShare)) {
            postToEntry(storeTimeout, index, [this, index] { feedOwnership(index, ClaimEnded{ClaimEnded::Outcome::Unknown, 0}); });
            return;
        }
        if (std::holds_alternative<ConfirmersWritten>(result) && chance(lostResponseShare)) {
            postToEntry(storeTimeout, index, [this, index] { feedOwnership(index, ConfirmersWritten{}); });
            return;
        }
        postToEntry(randomTime(1ms, 6ms), index, [this, index, result] { feedOwnership(index, result); });
    });
}

bool OwnerChangeModel::resetsStoreConnection()
{
    return options_.storeResetShare > 0 && chance(options_.storeResetShare);
}

ClaimEnded OwnerChangeModel::executeClaim(const Claim &claim)
{
    if (claim.expectedRevision != store_.ownerRevision || claim.confirmers.expectedRevision != store_.confirmersRevision) {
        return {ClaimEnded::Outcome::Lost, 0};
    }
    ++store_.lastRevision;
    store_.owner = claim.record;
    store_.ownerRevision = store_.lastRevision;
    store_.confirmers = claim.confirmers.record;
    store_.confirmersRevision = store_.lastRevision;
    return {ClaimEnded::Outcome::Won, store_.lastRevision};
}

ConfirmersWritten OwnerChangeModel::executeWrite(const WriteConfirmers &write)
{
    if (write.expectedRevision != store_.confirmersRevision) {
        return {ConfirmersWritten::Outcome::Unknown, 0};
    }
    store_.confirmers = write.record;
    store_.confirmersRevision = ++store_.lastRevision;
    return {ConfirmersWritten::Outcome::Written, store_.confirmersRevision};
}

void OwnerChangeModel::commit(NodeIndex index, const Jobs::Commit &commit)
{
    const Base::MonoTime sentAt = now_;
    const std::uint64_t epoch = entries_[index].owner->epoch;
    const std::uint64_t incarnation = entries_[index].record.incarnation;
    const auto answer = [this, index, epoch, sentAt](const Jobs::CommitResult &result) {
        const auto &owner = entries_[index].owner;
        if (!owner || owner->epoch != epoch) {
            return;
        }
        if (std::holds_alternative<Jobs::Committed>(result)) {
            feedOwnership(index, OwnerCommitted{sentAt});
        }
        feedOwner(index, Jobs::CommitEnded{result});
    };
    if (now_ < entries_[index].refusedByStoreUntil) {
        postToEntry(2ms, index, [answer] { answer(Jobs::CommitRefused{}); });
        return;
    }
    const bool late = options_.lateCommitShare > 0 && chance(options_.lateCommitShare);
    if (late) {
        postToEntry(storeTimeout, index, [answer] { answer(Jobs::CommitUnknown{}); });
    }
    post(late ? randomTime(500ms, 6s) : randomTime(1ms, 6ms), [this, index, incarnation, commit, answer, late] {
        Jobs::CommitResult result = Jobs::CommitConflict{store_.owner, store_.ownerRevision};
        if (commit.expectedOwnerRevision == store_.ownerRevision) {
            store_.owner = Jobs::decodeOwnerRecord(commit.writes.front().value);
            for (std::size_t write = 1; write < commit.writes.size(); ++write) {
                store_.jobs[commit.writes[write].key] = commit.writes[write].value;
            }
            for (const std::string &key : commit.deletes) {
                store_.jobs.erase(key);
            }
            store_.ownerRevision = ++store_.lastRevision;
            result = Jobs::Committed{store_.ownerRevision};
        }
        if (late || !entries_[index].up || entries_[index].record.incarnation != incarnation) {
            return;
        }
        if (resetsStoreConnection()) {
            const Jobs::CommitResult reported = options_.secondSendingsRefused ? Jobs::CommitResult(Jobs::CommitRefused{}) : Jobs::CommitUnknown{};
            postToEntry(randomTime(1ms, 3ms), index, [answer, reported] { answer(reported); });
            return;
        }
        const bool lost = chance(lostResponseShare);
        postToEntry(lost ? storeTimeout : randomTime(1ms, 6ms), index, [answer, lost, result] { answer(lost ? Jobs::CommitUnknown{} : result); });
    });
}

OwnerChangeModel::LinkId OwnerChangeModel::addLink(NodeIndex dialer, NodeIndex acceptor)
{
    links_[++lastLink_] = {dialer, acceptor, false, {}};
    return lastLink_;
}

void OwnerChangeModel::send(LinkId id, NodeIndex receiver, Action action)
{
    const auto link = links_.find(id);
    if (link == links_.end() || link->second.broken) {
        return;
    }
    const Base::Duration delay = chance(slowMessageShare) ? randomTime(50ms, 1500ms) : randomTime(1ms, 8ms);
    Base::MonoTime &arrival = link->second.arrival[receiver];
    arrival = std::max(arrival + Base::Duration(1), now_ + delay);
    const std::uint64_t incarnation = receiver < firstAgent ? entries_[receiver].record.incarnation : 0;
    post(arrival - now_, [this, id, receiver, incarnation, action = std::move(action)] {
        if (links_.at(id).broken) {
            return;
        }
        if (receiver >= firstAgent) {
            deliverToAgent(receiver, action);
        } else {
            deliverToEntry(receiver, incarnation, action);
        }
    });
}

/// Both ends learn of the loss at different times.
void OwnerChangeModel::breakLink(LinkId id, Base::Duration noticeFrom, Base::Duration noticeTo)
{
    Link &link = links_.at(id);
    if (link.broken) {
        return;
    }
    link.broken = true;
    for (const NodeIndex node : {link.dialer, link.acceptor}) {
        postTo(randomTime(noticeFrom, noticeTo), node, [this, node, id] { noticeEnd(node, id); });
    }
}

void OwnerChangeModel::noticeEnd(NodeIndex node, LinkId id)
{
    const auto isLink = [id](const auto &link) { return link.second == id; };
    if (node >= firstAgent) {
        if (std::erase_if(agentAt(node).entryLinks, isLink) > 0) {
            feedAgent(node, TaskAgent::EntryUnlinked{std::to_string(id)});
        }
        return;
    }
    Entry &entry = entries_[node];
    if (const auto agent = std::find_if(entry.agentLinks.begin(), entry.agentLinks.end(), isLink); agent != entry.agentLinks.end()) {
        const std::string name = agentAt(agent->first).name;
        entry.agentLinks.erase(agent);
        feedOwner(node, Jobs::AgentUnlinked{name});
    }
    if (const auto peer = std::find_if(entry.peerLinks.begin(), entry.peerLinks.end(), isLink); peer != entry.peerLinks.end()) {
        const std::string name = peer->first;
        entry.peerLinks.erase(peer);
        feedOwnership(node, PeerUnlinked{name, false});
    }
}

void OwnerChangeModel::cut(NodeIndex one, NodeIndex other, Base::Duration time)
{
    Base::MonoTime &until = cutUntil_[pairOf(one, other)];
    until = std::max(until, now_ + time);
    for (const auto &[id, link] : links_) {
        if (pairOf(link.dialer, link.acceptor) == pairOf(one, other)) {
            breakLink(id, 200ms, 1500ms);
        }
    }
}

bool OwnerChangeModel::isCut(NodeIndex one, NodeIndex other) const
{
    const auto found = cutUntil_.find(pairOf(one, other));
    return found != cutUntil_.end() && now_ < found->second;
}

void OwnerChangeModel::dialPeer(NodeIndex index, const std::string &name)
{
    constexpr Base::Duration dialTimeout = 300ms;
    const NodeIndex peer = entryIndex(name);
    const LinkId id = addLink(index, peer);
    entries_[index].peerLinks[name] = id;
    const bool refused = !isCut(index, peer) && !entries_[peer].up;
    const bool connected = !isCut(index, peer) && !refused;
    links_.at(id).broken = !connected;
    postToEntry(connected || refused ? 2ms : dialTimeout, index, [this, index, name, id, refused] {
        Entry &entry = entries_[index];
        const auto link = entry.peerLinks.find(name);
        if (link == entry.peerLinks.end() || link->second != id) {
            return;
        }
        if (!links_.at(id).broken) {
            feedOwnership(index, PeerLinked{name});
            return;
        }
        entry.peerLinks.erase(link);
        feedOwnership(index, PeerUnlinked{name, refused});
    });
}

/// An agent reads the entries while it has no owner, or one that may have a successor. Otherwise it knows those that the owner lists.
void OwnerChangeModel::readEntries(NodeIndex agent)
{
    Agent &reader = agentAt(agent);
    const Base::Duration interval = reader.state.ownerEntry.empty() ? 120ms : 500ms;
    const bool due = reader.state.ownerEntry.empty() || !reader.state.ownerConfirmedByStore;
    if (!due || now_ < reader.cutFromStoreUntil || now_ - reader.entriesReadAt < interval) {
        return;
    }
    reader.entriesReadAt = now_;
    for (const Jobs::EntryRecord &record : readCluster().entries) {
        reader.knownEntries.push_back(record.peers);
    }
    std::sort(reader.knownEntries.begin(), reader.knownEntries.end());
    reader.knownEntries.erase(std::unique(reader.knownEntries.begin(), reader.knownEntries.end()), reader.knownEntries.end());
}

void OwnerChangeModel::dialEntries(NodeIndex agent)
{
    if (now_ < agentAt(agent).standsStillUntil) {
        post(agentAt(agent).standsStillUntil - now_, [this, agent] { dialEntries(agent); });
        return;
    }
    readEntries(agent);
    const std::vector<Base::Endpoint> &known = agentAt(agent).knownEntries;
    for (NodeIndex index = 0; index < entries_.size(); ++index) {
        auto &dialed = agentAt(agent).entryLinks;
        const bool isKnown = std::find(known.begin(), known.end(), entries_[index].record.peers) != known.end();
        if (!isKnown || dialed.contains(index) || !entries_[index].up || isCut(index, agent)) {
            continue;
        }
        const LinkId link = addLink(agent, index);
        dialed[index] = link;
        send(link, index, [this, index, agent, link] { acceptAgent(index, agent, link); });
    }
    post(randomTime(150ms, 250ms), [this, agent] { dialEntries(agent); });
}

void OwnerChangeModel::acceptAgent(NodeIndex entry, NodeIndex agent, LinkId link)
{
    const std::string &name = agentAt(agent).name;
    if (entries_[entry].agentLinks.contains(agent)) {
        feedOwner(entry, Jobs::AgentUnlinked{name});
    }
    entries_[entry].agentLinks[agent] = link;
    feedOwner(entry, Jobs::AgentLinked{name});
}

} // namespace LaburnumFlow::EntryNode::Testing
